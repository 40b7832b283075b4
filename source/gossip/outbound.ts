/**
 * A connection to another host on which this host only writes. The other host
 * acknowledges in its own pulses what has arrived, so the caller detects there
 * that the connection is dead, and replaces it.
 */
import {connect, type Socket} from 'node:net';

import type {Cancel, Clock} from '../clock/index.js';
import {connectShortage, openDescriptors} from '../descriptors/index.js';
import {encodeFrame} from '../peers/index.js';
import {abandonSocket, partsOf} from '../wire/index.js';
import type {GossipMessage} from './message.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** Bytes that may be buffered in a connection; beyond that it is dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
/**
 * Messages that are kept until the connection is established; if there are
 * more, the newest.
 */
const MAX_PENDING_MESSAGES = 8;

/**
 * A write-only connection to another host, which is established when it is
 * needed.
 */
export class OutboundConnection {
  private socket: Socket | undefined;
  private connected = false;
  /** Messages sent while the connection is being established. */
  private pending: GossipMessage[] = [];
  private stopTimer: Cancel = () => {};

  constructor(
    readonly address: string,
    private readonly clock: Clock,
  ) {}

  /**
   * Sends a message as soon as there is a connection. The message may be lost
   * without notice.
   */
  send(message: GossipMessage): void {
    if (!this.socket) this.open();
    const {socket} = this;
    if (!socket || !this.connected) {
      this.pending = [...this.pending, message].slice(-MAX_PENDING_MESSAGES);
      return;
    }
    if (socket.writableLength > MAX_BUFFERED_BYTES) return this.reset();
    socket.write(encodeFrame(message));
  }

  /**
   * Drops the connection, what is held up on its way and the pending messages; the
   * next message opens a new one.
   */
  reset(): void {
    this.stopTimer();
    if (this.socket) abandonSocket(this.socket);
    this.socket = undefined;
    this.connected = false;
    this.pending = [];
  }

  private open(): void {
    const socket = connect({...partsOf(this.address), noDelay: true});
    this.socket = socket;
    openDescriptors.addSocket('hosts', socket);
    this.stopTimer = this.clock.after(CONNECT_TIMEOUT_MILLISECONDS, () =>
      this.reset(),
    );
    socket.once('connect', () => {
      this.stopTimer();
      this.connected = true;
      for (const message of this.pending) socket.write(encodeFrame(message));
      this.pending = [];
    });
    socket.on('error', error => {
      connectShortage(error);
      this.handleDisconnect(socket);
    });
    socket.on('close', () => this.handleDisconnect(socket));
  }

  private handleDisconnect(socket: Socket): void {
    if (this.socket === socket) this.reset();
  }
}
