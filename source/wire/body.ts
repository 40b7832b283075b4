/** Reads the whole body of a message within a bound of bytes. */
import type {IncomingMessage} from 'node:http';

import type {CancellationSignal} from '../cancellation/index.js';
import {Refusal} from '../errors/index.js';
import {ByteCollector} from './collector.js';

/** What a body is put together in. */
interface BodySink {
  readonly length: number;
  push(piece: Buffer): void;
  take(): Buffer;
  clear(): void;
}

/** How a body is read, beside its bound. */
export interface BodyReadingOptions {
  /** Its length, where that is known. It is then put together in one buffer. */
  readonly length?: number | undefined;
  /** Once aborted, the rest is dropped and what was read is let go. */
  readonly signal?: CancellationSignal;
  /**
   * A step in bytes before which more room is needed: reading pauses there until
   * the promise has resolved, and fails with it.
   */
  readonly step?: {readonly bytes: number; readonly pass: () => Promise<void>};
}

/**
 * The whole body. Throws a Refusal for one that is too large, or that ends
 * before it is whole.
 *
 * ```ts
 * const body = await readBytes(request, 4_194_304);
 * ```
 */
export function readBytes(
  message: IncomingMessage,
  limit: number,
  {length, signal, step}: BodyReadingOptions = {},
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    let sink: BodySink =
      length === undefined ? new ByteCollector() : new FixedBuffer(length);
    let isPassed = false;
    const drop = () => {
      sink.clear();
      message.removeListener('data', take);
      message.resume();
    };
    const fail = (error: unknown) => {
      drop();
      reject(error);
    };
    const passStep = ({pass}: NonNullable<typeof step>) => {
      isPassed = true;
      message.pause();
      pass().then(() => {
        const larger = new FixedBuffer(limit);
        larger.push(sink.take());
        sink = larger;
        message.resume();
      }, fail);
    };
    const take = (bytes: Buffer) => {
      if (sink.length + bytes.length > limit) return fail(tooLargeBody(limit));
      sink.push(bytes);
      if (step && !isPassed && sink.length > step.bytes) passStep(step);
    };
    message.on('data', take);
    message.on('end', () => {
      stopWatching();
      resolve(sink.take());
    });
    message.on('error', () => {
      stopWatching();
      sink.clear();
      const detail = 'the body is cut short';
      reject(new Refusal('malformed-request', 'not-run', detail));
    });
    const stopWatching = signal?.onAbort(drop) ?? (() => {});
  });
}

/** The refusal of a body that is over a limit in bytes. */
export function tooLargeBody(limit: number): Refusal {
  const detail = `the body is over ${limit} bytes`;
  return new Refusal('body-too-large', 'not-run', detail);
}

/** Puts together a body in one buffer, which is allocated with its first bytes. */
class FixedBuffer implements BodySink {
  private buffer: Buffer | undefined;
  length = 0;

  constructor(private readonly capacity: number) {}

  push(piece: Buffer): void {
    this.buffer ??= Buffer.allocUnsafeSlow(this.capacity);
    this.length += piece.copy(this.buffer, this.length);
  }

  /** Keeps no memory that is mostly unused. */
  take(): Buffer {
    const bytes = this.buffer?.subarray(0, this.length) ?? Buffer.alloc(0);
    this.clear();
    const isMostlyUsed = bytes.length * 2 >= this.capacity;
    return isMostlyUsed ? bytes : Buffer.from(bytes);
  }

  clear(): void {
    this.buffer = undefined;
    this.length = 0;
  }
}
