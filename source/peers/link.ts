/**
 * One connection between two hosts. Writing into a connection that something
 * on the way has forgotten succeeds, so a link counts as alive only while
 * heartbeats come back; one that is silent for too long is dropped and made
 * anew.
 */
import type {Socket} from 'node:net';

import type {Cancel, Clock} from '../clock/index.js';
import {
  messageSchema,
  type Heartbeat,
  type Hello,
  type Message,
} from '../messages/index.js';
import {encodeFrame, FrameReader} from './frame.js';

/** Heartbeats that may be missing before a link is dropped. */
const SILENT_PERIODS = 2.5;
const FIRST_PERIOD_MILLISECONDS = 1_000;
const SILENCE_CHECK_MILLISECONDS = 500;
/** Bytes that may wait in a link before messages for it are dropped. */
const BACKLOG_BYTES_MOST = 8_388_608;

/** What a link tells its owner. */
export interface LinkHandlers {
  readonly hello: () => Hello;
  /** What a heartbeat says, but for its own counts. */
  readonly pulse: () => Omit<
    Heartbeat,
    'kind' | 'sequence' | 'heard' | 'period'
  >;
  /** Milliseconds between heartbeats; longer where there are many links. */
  readonly period: () => number;
  readonly up: (link: Link, hello: Hello) => void;
  readonly message: (link: Link, message: Message) => void;
  readonly down: (link: Link) => void;
  /** Something was dropped: a frame, a message or a silent connection. */
  readonly fault: (reason: string) => void;
}

/** One connection to another host. */
export class Link {
  /** What the other side said of itself; undefined until then. */
  peer: Hello | undefined;
  private readonly reader = new FrameReader();
  private readonly stopCheck: Cancel;
  private stopBeat: Cancel = () => {};
  private peerPeriod = FIRST_PERIOD_MILLISECONDS;
  private sequence = 0;
  private heard = 0;
  private heardAt: number;
  private open = true;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
    private readonly handlers: LinkHandlers,
  ) {
    this.heardAt = clock.monotonic();
    socket.setNoDelay(true);
    socket.on('data', bytes => this.take(bytes));
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
    this.stopCheck = clock.every(SILENCE_CHECK_MILLISECONDS, () =>
      this.checkSilence(),
    );
    this.send(handlers.hello());
  }

  /** Sends a message; one that finds the link full or closed is dropped. */
  send(message: Message): void {
    if (!this.open) return;
    if (this.socket.writableLength > BACKLOG_BYTES_MOST) {
      this.handlers.fault('backlog');
      return;
    }
    this.socket.write(encodeFrame(message));
  }

  /** Ends the link. */
  close(): void {
    if (!this.open) return;
    this.open = false;
    this.stopCheck();
    this.stopBeat();
    // eslint-disable-next-line no-restricted-syntax -- the other side drops a link that is replaced
    this.socket.destroy();
    this.handlers.down(this);
  }

  private take(bytes: Buffer): void {
    let values: unknown[];
    try {
      values = this.reader.push(bytes);
    } catch {
      this.handlers.fault('frame');
      this.close();
      return;
    }
    for (const value of values) this.takeValue(value);
  }

  private takeValue(value: unknown): void {
    if (!this.open) return;
    const parsed = messageSchema.safeParse(value);
    const early = this.peer === undefined;
    if (!parsed.success || (early && parsed.data.kind !== 'hello')) {
      this.handlers.fault('message');
      this.close();
      return;
    }
    this.heardAt = this.clock.monotonic();
    const message = parsed.data;
    if (message.kind === 'hello') {
      if (!early) return;
      this.peer = message;
      this.handlers.up(this, message);
      this.beat();
      return;
    }
    if (message.kind === 'heartbeat') {
      this.heard = message.sequence;
      this.peerPeriod = message.period;
    }
    this.handlers.message(this, message);
  }

  private beat(): void {
    if (!this.peer) return;
    this.sequence++;
    const {sequence, heard} = this;
    const pulse = this.handlers.pulse();
    const period = this.handlers.period();
    this.send({kind: 'heartbeat', sequence, heard, period, ...pulse});
    this.stopBeat();
    this.stopBeat = this.clock.after(period, () => this.beat());
  }

  private checkSilence(): void {
    const silence = this.clock.monotonic() - this.heardAt;
    if (silence < SILENT_PERIODS * this.peerPeriod) return;
    this.handlers.fault('silent');
    this.close();
  }
}
