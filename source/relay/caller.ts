/**
 * The caller's side of an answer. The head is sent with the first event, so
 * that an attempt which fails before it can be made again unseen. Comments
 * keep an event stream alive that has nothing to say.
 */
import type {ServerResponse} from 'node:http';

import type {Cancel, Clock} from '../clock/index.js';
import {OUTCOME_HEADER, Refusal, type Outcome} from '../errors/index.js';

const EVENT_STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-cache',
};

/** The answer to one caller. */
export class CallerAnswer {
  private stopHeartbeat: Cancel = () => {};
  private quiet = true;
  private finished = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    /** Milliseconds. */
    private readonly heartbeat: number,
  ) {}

  /** Whether the head has been sent. */
  get begun(): boolean {
    return this.response.headersSent;
  }

  /** Calls back when the caller has left before the answer was whole. */
  onGone(callback: () => void): void {
    this.response.once('close', () => {
      this.stopHeartbeat();
      if (!this.response.writableFinished) callback();
    });
  }

  /** Sends the head of an event stream. */
  beginStream(): void {
    if (this.begun) return;
    this.response.writeHead(200, EVENT_STREAM_HEADERS);
    this.stopHeartbeat = this.clock.every(this.heartbeat, () => this.beat());
  }

  /** Writes text of the stream; answers whether there is room for more. */
  write(text: string): boolean {
    this.quiet = false;
    return this.response.write(text);
  }

  /** Calls back once when there is room again. */
  onRoom(callback: () => void): void {
    this.response.once('drain', callback);
  }

  /** Ends the stream, whole. */
  endStream(): void {
    this.close();
    this.response.end();
  }

  /** Sends a whole answer. */
  sendWhole(
    status: number,
    headers: Readonly<Record<string, string>>,
    body: Uint8Array,
    outcome: Outcome,
  ): void {
    if (this.finished || this.begun) return;
    this.close();
    this.response.writeHead(status, {
      ...headers,
      [OUTCOME_HEADER]: outcome,
      'content-length': body.length,
    });
    this.response.end(body);
  }

  /**
   * Tells the caller of a refusal: as an answer, or as the last event of a
   * stream that has begun, which is then ended without its end marker.
   */
  refuse(refusal: Refusal): void {
    if (this.finished) return;
    this.close();
    const body = JSON.stringify(refusal.body());
    if (this.begun) {
      this.response.end(`data: ${body}\n\n`);
      return;
    }
    this.response.writeHead(refusal.status, headersOf(refusal, body));
    this.response.end(body);
  }

  private close(): void {
    this.finished = true;
    this.stopHeartbeat();
  }

  private beat(): void {
    if (this.quiet && !this.response.writableNeedDrain) {
      this.response.write(': heartbeat\n\n');
    }
    this.quiet = true;
  }
}

function headersOf(refusal: Refusal, body: string): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
    [OUTCOME_HEADER]: refusal.outcome,
  };
  if (refusal.retryAfter > 0)
    headers['retry-after'] = String(refusal.retryAfter);
  return headers;
}
