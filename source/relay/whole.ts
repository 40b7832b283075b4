/** Reads an answer that is passed on only when all of it is there. */
import type {IncomingMessage} from 'node:http';

import type {CancellationSignal} from '../cancellation/index.js';
import {WireError} from '../errors/index.js';
import {ByteCollector, type WholenessCheck} from '../wire/index.js';

/** Within what bounds an answer is read. */
export interface WholeAnswerOptions {
  /** Bytes. */
  readonly limit: number;
  /** Milliseconds. */
  readonly silence: number;
  readonly signal: CancellationSignal;
  /** Tells, once the answer has ended, whether all of it has come. */
  readonly isWhole: WholenessCheck;
  /** Called with the further bytes of memory that the answer takes. */
  readonly onMemory?: (bytes: number) => void;
}

/**
 * The bytes of a whole answer. Throws a WireError where it is cut short, too
 * large or silent for too long.
 *
 * ```ts
 * const options = {limit: 8_388_608, silence: 5_000, signal, isWhole};
 * const body = await readWhole(answer.body, options);
 * ```
 */
export function readWhole(
  body: IncomingMessage,
  {limit, silence, signal, isWhole, onMemory}: WholeAnswerOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const collector = new ByteCollector();
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
    body.on('data', (bytes: Buffer) => {
      timer.refresh();
      const heldBefore = collector.heldBytes;
      collector.push(bytes);
      const held = collector.heldBytes - heldBefore;
      if (held > 0) onMemory?.(held);
      if (collector.length > limit)
        fail('malformed', `answer is over ${limit} bytes`);
    });
    const finish = (whole: boolean) => {
      if (!whole) return fail('cut', 'answer is cut short');
      if (ended) return;
      ended = true;
      clearTimeout(timer);
      stopWatching();
      resolve(collector.take());
    };
    let hasAllBytes = false;
    body.on('end', () => {
      hasAllBytes = true;
      if (body.complete) void isWhole().then(finish);
      else finish(false);
    });
    body.on('error', error => fail('cut', error.message));
    body.on('close', () => {
      if (!hasAllBytes) fail('cut', 'connection is closed');
    });
    const stopWatching = signal.onAbort(() => fail('cut', 'aborted'));
    // It may have failed together with its head, before the listeners were set.
    if (body.destroyed && !body.complete) {
      fail('cut', body.errored?.message ?? 'connection is closed');
    }
  });
}
