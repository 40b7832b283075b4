/** Reads an answer that is passed on only when all of it is there. */
import type {IncomingMessage} from 'node:http';

import type {CancellationSignal} from '../cancellation/index.js';
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
  signal: CancellationSignal,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let length = 0;
    let ended = false;
    const fail = (stage: WireError['stage'], detail: string) => {
      if (ended) return;
      ended = true;
      clearTimeout(timer);
      stopWatching();
      body.destroy();
      reject(new WireError(stage, detail));
    };
    const timer = setTimeout(
      () => fail('between-events', 'answer is silent'),
      silence,
    );
    body.on('data', (part: Buffer) => {
      timer.refresh();
      parts.push(part);
      length += part.length;
      if (length > limit) fail('malformed', `answer is over ${limit} bytes`);
    });
    body.on('end', () => {
      if (!body.complete) return fail('cut', 'answer is cut short');
      ended = true;
      clearTimeout(timer);
      stopWatching();
      resolve(Buffer.concat(parts));
    });
    body.on('error', error => fail('cut', error.message));
    body.on('close', () => fail('cut', 'connection is closed'));
    const stopWatching = signal.onAbort(() => fail('cut', 'aborted'));
    // It may have failed together with its head, before the listeners were set.
    if (body.destroyed && !body.complete) {
      fail('cut', body.errored?.message ?? 'connection is closed');
    }
  });
}
