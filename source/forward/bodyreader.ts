/**
 * Reads the bodies of callers into the memory that the host has for them. A body
 * whose length is known gets room for it before it is read. A chunked one gets
 * room for a small body, and beyond that at once for the largest one: if such
 * bodies took room as they grow, they could all wait for each other.
 */
import type {IncomingMessage} from 'node:http';

import {SMALL_BODY_BYTES, type MemoryAccount} from '../memory/index.js';
import {readBytes, tooLargeBody} from '../wire/index.js';
import type {RequestContext} from './context.js';

/** Share of the remaining time for which a request may wait for room. */
const MAX_WAIT_SHARE = 0.6;
/** What a chunked body gets first, one byte less than a large one. */
const FIRST_CHUNKED_BYTES = SMALL_BODY_BYTES - 1;

/** Reads bodies as there is room. */
export class BodyReader {
  constructor(private readonly memory: MemoryAccount) {}

  /**
   * Reads the body of a request, of at most `limit` bytes, into its context.
   * Throws a Refusal if it is too large or cut short, or if there is no room for
   * it in time.
   */
  async read(
    context: RequestContext,
    message: IncomingMessage,
    limit: number,
  ): Promise<void> {
    const {headers} = message;
    if (headers['transfer-encoding'] !== undefined)
      return this.readChunked(context, message, limit);
    const length = Number(headers['content-length'] ?? 0);
    if (length > limit) throw tooLargeBody(limit);
    if (length === 0) {
      await readBytes(message, limit);
      return;
    }
    await this.readDeclared(context, message, length);
  }

  private async readDeclared(
    context: RequestContext,
    message: IncomingMessage,
    length: number,
  ): Promise<void> {
    const {cancellation: signal} = context;
    await this.takeRoom(context, length, 0);
    context.body = await readBytes(message, length, {length, signal});
  }

  private async readChunked(
    context: RequestContext,
    message: IncomingMessage,
    limit: number,
  ): Promise<void> {
    const {cancellation: signal} = context;
    const most = Math.min(limit, this.memory.largestBody);
    const first = Math.min(FIRST_CHUNKED_BYTES, most);
    await this.takeRoom(context, first, 0);
    const step = {
      bytes: first,
      pass: () => this.takeRoom(context, most, first),
    };
    const body = await readBytes(message, most, {signal, step});
    context.body = body;
    context.holding?.shrinkTo(body.length);
  }

  /**
   * Gives a request room for its body in place of what it has. `readBefore` is in
   * bytes. Throws a Refusal if there is none in time.
   */
  private async takeRoom(
    context: RequestContext,
    bytes: number,
    readBefore: number,
  ): Promise<void> {
    const {memory} = this;
    const {cancellation: signal, tier, team, arrived, timeLeft} = context;
    context.dropBody();
    const holding =
      memory.tryReserve(bytes) ??
      (await memory.reserve(
        {
          tier,
          team: team?.name ?? '',
          arrived,
          bytes,
          readBefore,
          patience: timeLeft * MAX_WAIT_SHARE,
        },
        signal,
      ));
    if (signal.aborted) holding.release();
    else context.holding = holding;
  }
}
