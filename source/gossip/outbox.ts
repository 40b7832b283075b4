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

/** The way to another host. */
export class Outbox {
  private socket: Socket | undefined;
  private connected = false;
  private stopTimer: Cancel = () => {};

  constructor(
    readonly address: string,
    private readonly clock: Clock,
  ) {}

  /** Sends a message, if there is a connection; otherwise begins one. */
  send(message: Gossip): void {
    if (!this.socket) this.open();
    const {socket} = this;
    if (!socket || !this.connected) return;
    if (socket.writableLength > WAITING_BYTES_MOST) return this.renew();
    socket.write(encodeFrame(message));
  }

  /** Drops the connection; the next message begins another. */
  renew(): void {
    this.stopTimer();
    this.socket?.destroy();
    this.socket = undefined;
    this.connected = false;
  }

  private open(): void {
    const socket = connect({...partsOf(this.address), noDelay: true});
    this.socket = socket;
    this.stopTimer = this.clock.after(CONNECT_MILLISECONDS, () => this.renew());
    socket.once('connect', () => {
      this.stopTimer();
      this.connected = true;
    });
    socket.on('error', () => this.lost(socket));
    socket.on('close', () => this.lost(socket));
  }

  private lost(socket: Socket): void {
    if (this.socket === socket) this.renew();
  }
}
