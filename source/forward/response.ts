/**
 * The response to one caller. Its head is not sent until there is something to
 * pass on, so that an attempt that fails earlier can be retried without the
 * caller noticing.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Clock} from '../clock/index.js';
import {Refusal} from '../errors/index.js';
import type {ResponseHead} from './protocol.js';

/** Not passed on with a stream, whose length is unknown. */
const CONTENT_LENGTH_HEADER = 'content-length';

/**
 * Time for which the rest of a refused body is read and dropped. A connection that
 * is closed before would be reset, and the refusal might be lost with it.
 */
const MAX_DROP_MILLISECONDS = 5_000;

/** The response to one caller. */
export class CallerResponse {
  constructor(
    private readonly response: ServerResponse,
    private readonly clock: Clock,
  ) {}

  /** Whether the head has been sent. */
  get isHeadSent(): boolean {
    return this.response.headersSent;
  }

  /** Whether all of it has been handed to the connection. */
  get isEnded(): boolean {
    return this.response.writableEnded;
  }

  /** Calls back if the connection closes before the response is complete. */
  onDisconnect(callback: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished) callback();
    });
  }

  /** Calls back once when it has been sent or its connection has closed. */
  onClose(callback: () => void): void {
    if (this.response.closed) callback();
    else this.response.once('close', callback);
  }

  /** Sends an endpoint's complete response unchanged. */
  sendComplete({status, headers}: ResponseHead, body: Buffer): void {
    this.response.writeHead(status, headers as never);
    this.response.end(body);
  }

  /** Sends the head of a stream; does nothing if a head has been sent. */
  sendStreamHead({status, headers}: ResponseHead): void {
    if (this.isHeadSent) return;
    const kept: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
      const [name = '', value = ''] = headers.slice(index, index + 2);
      if (name.toLowerCase() !== CONTENT_LENGTH_HEADER) kept.push(name, value);
    }
    this.response.writeHead(status, kept as never);
  }

  /** Writes a part of the body; returns false while the buffer is full. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Calls back once when the buffer has drained. */
  onDrain(callback: () => void): void {
    this.response.once('drain', callback);
  }

  /** Ends the response normally. */
  end(): void {
    this.response.end();
  }

  /** Closes the connection, so that the response does not look complete. */
  abort(): void {
    this.response.destroy();
  }

  /**
   * Ends the request with a refusal; `retryAfter` is in seconds, and 0 where a
   * retry is of no use. Where the head has been sent, closes the connection
   * instead. Does nothing if the response has ended.
   */
  refuse(refusal: Refusal, status: number, retryAfter: number): void {
    if (this.isEnded) return;
    if (this.isHeadSent) {
      this.abort();
      return;
    }
    const body = Buffer.from(JSON.stringify(refusal.body()));
    const headers = [
      'content-type',
      'application/json',
      'content-length',
      String(body.length),
    ];
    if (retryAfter > 0) headers.push('retry-after', retryAfter.toFixed(2));
    this.response.writeHead(status, headers as never);
    if (!isBodyComing(this.response.req)) {
      this.response.end(body);
      return;
    }
    this.response.write(body);
    this.dropBody(() => this.response.end());
  }

  /** Reads the rest of the caller's body; calls back when it has ended. */
  private dropBody(callback: () => void): void {
    const {req: message} = this.response;
    const finish = () => {
      stopTimer();
      message.removeListener('end', finish);
      message.removeListener('close', finish);
      callback();
    };
    const stopTimer = this.clock.after(MAX_DROP_MILLISECONDS, finish);
    message.once('end', finish);
    message.once('close', finish);
    message.on('error', () => {});
    message.resume();
  }
}

/** Whether some of a body is still to come. */
function isBodyComing({complete, headers}: IncomingMessage): boolean {
  if (complete) return false;
  const {'content-length': length, 'transfer-encoding': encoding} = headers;
  return encoding !== undefined || Number(length ?? 0) > 0;
}
