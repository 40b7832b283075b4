/** The connection to another host, and which pulses that host has acknowledged. */
import type {OutboundConnection} from './outbound.js';

/** Another host to which pulses are sent. */
export class Peer {
  /** Sequence number of the last pulse that was sent. */
  private sequence = 0;
  /**
   * Sequence number of the last pulse that the other host has acknowledged; 0
   * for none.
   */
  private acknowledged = 0;

  /**
   * `acknowledgedAt` is the time in monotonic milliseconds of that
   * acknowledgement, or of the last time that the connection was created or
   * replaced.
   */
  constructor(
    readonly outbound: OutboundConnection,
    private acknowledgedAt: number,
  ) {}

  /** The sequence number of the next pulse. */
  takeSequence(): number {
    return ++this.sequence;
  }

  /** Records that the other host has received the pulses up to one. */
  acknowledge(sequence: number, now: number): void {
    if (sequence <= this.acknowledged) return;
    this.acknowledged = sequence;
    this.acknowledgedAt = now;
  }

  /**
   * Replaces the connection if nothing has been acknowledged for longer than
   * `timeout` milliseconds; returns whether it was replaced.
   */
  renewIfSilent(timeout: number, now: number): boolean {
    if (now - this.acknowledgedAt <= timeout) return false;
    this.outbound.reset();
    this.acknowledgedAt = now;
    return true;
  }
}
