/**
 * One connection to another host, on which this one only writes. What becomes
 * of the bytes is told by the other side's pulses, so a connection that has
 * gone silent is noticed there and made anew.
 */
import {connect, type Socket} from 'node:net';

import type {Cancel, Clock} from '../clock/index.js';
import {encodeFrame} from '../peers/index.js';
import {partsOf} from '../wire/index.js';
import type {Gossip} from './message.js';

const CONNECT_MILLISECONDS = 1_000;
/** Bytes that may wait in a connection before messages are dropped. */
const WAITING_BYTES_MOST = 1_048_576;
/** Messages that wait for a connection; of more, the newest. */
const PENDING_MOST = 8;

/** The way to another host. */
export class Outbox {
  private socket: Socket | undefined;
  private connected = false;
  /** What was sent while the connection is being made. */
  private pending: Gossip[] = [];
  private stopTimer: Cancel = () => {};

  constructor(
    readonly address: string,
    private readonly clock: Clock,
  ) {}

  /** Sends a message, once there is a connection. */
  send(message: Gossip): void {
    if (!this.socket) this.open();
    const {socket} = this;
    if (!socket || !this.connected) {
      this.pending = [...this.pending, message].slice(-PENDING_MOST);
      return;
    }
    if (socket.writableLength > WAITING_BYTES_MOST) return this.renew();
    socket.write(encodeFrame(message));
  }

  /** Drops the connection; the next message begins another. */
  renew(): void {
    this.stopTimer();
    this.socket?.destroy();
    this.socket = undefined;
    this.connected = false;
    this.pending = [];
  }

  private open(): void {
    const socket = connect({...partsOf(this.address), noDelay: true});
    this.socket = socket;
    this.stopTimer = this.clock.after(CONNECT_MILLISECONDS, () => this.renew());
    socket.once('connect', () => {
      this.stopTimer();
      this.connected = true;
      for (const message of this.pending) socket.write(encodeFrame(message));
      this.pending = [];
    });
    socket.on('error', () => this.lost(socket));
    socket.on('close', () => this.lost(socket));
  }

  private lost(socket: Socket): void {
    if (this.socket === socket) this.renew();
  }
}
