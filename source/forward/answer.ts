/**
 * The answer to one caller. Its head is held back until there is something to
 * show, so that an attempt which fails before can be made again unseen.
 */
import type {ServerResponse} from 'node:http';

import {Refusal} from '../errors/index.js';
import type {AnswerHead} from './protocol.js';

/** Headers that a stream gets anew, since its length is not known. */
const LENGTH_HEADER = 'content-length';

/** The answer to one caller. */
export class CallerAnswer {
  constructor(private readonly response: ServerResponse) {}

  /** Whether the head has been sent. */
  get begun(): boolean {
    return this.response.headersSent;
  }

  /** Whether everything has been handed over to the connection. */
  get ended(): boolean {
    return this.response.writableEnded;
  }

  /** Calls back when the connection closes before the answer was whole. */
  onLost(callback: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished) callback();
    });
  }

  /** Sends an endpoint's whole answer as it is. */
  sendWhole({status, headers}: AnswerHead, body: Buffer): void {
    this.response.writeHead(status, headers as never);
    this.response.end(body);
  }

  /** Sends the head of an answer whose length is not known. */
  begin({status, headers}: AnswerHead): void {
    if (this.begun) return;
    const kept: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
      const [name = '', value = ''] = headers.slice(index, index + 2);
      if (name.toLowerCase() !== LENGTH_HEADER) kept.push(name, value);
    }
    this.response.writeHead(status, kept as never);
  }

  /** Sends a piece of the body; answers whether there is room for more. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Calls back once when there is room again. */
  onRoom(callback: () => void): void {
    this.response.once('drain', callback);
  }

  /** Ends the answer, whole. */
  end(): void {
    this.response.end();
  }

  /** Closes the connection, so that what was sent does not look whole. */
  breakOff(): void {
    this.response.destroy();
  }

  /**
   * Ends the request with a refusal; `retryAfter` is in seconds, and 0 where
   * coming back is of no use.
   */
  refuse(refusal: Refusal, status: number, retryAfter: number): void {
    if (this.ended) return;
    if (this.begun) {
      this.breakOff();
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
    this.response.end(body);
  }
}
