/** Reads an answer that is passed on only when all of it is there. */
import type {IncomingMessage} from 'node:http';

import {WireError} from '../errors/index.js';

/**
 * The bytes of a whole answer. Throws a WireError where it is cut short, too
 * large or silent for too long.
 *
 * ```ts
 * const body = await readWhole(answer.body, 8_388_608, 5_000, signal);
 * ```
 */
export function readWhole(
  body: IncomingMessage,
  limit: number,
  /** Milliseconds. */
  silence: number,
  signal: AbortSignal,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let length = 0;
    const fail = (stage: WireError['stage'], detail: string) => {
      clearTimeout(timer);
      signal.removeEventListener('abort', abort);
      body.destroy();
      reject(new WireError(stage, detail));
    };
    const abort = () => fail('cut', 'aborted');
    const timer = setTimeout(
      () => fail('between-events', 'answer is silent'),
      silence,
    );
    signal.addEventListener('abort', abort, {once: true});
    body.on('data', (part: Buffer) => {
      timer.refresh();
      parts.push(part);
      length += part.length;
      if (length > limit) fail('malformed', `answer is over ${limit} bytes`);
    });
    body.on('end', () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', abort);
      if (body.complete) resolve(Buffer.concat(parts));
      else fail('cut', 'answer is cut short');
    });
    body.on('error', error => fail('cut', error.message));
    body.on('close', () => fail('cut', 'connection is closed'));
    if (signal.aborted) abort();
  });
}
