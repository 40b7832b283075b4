/**
 * Reads responses whose body is not needed, so that their connections can be
 * reused. One that is long or slow costs more than a new connection does.
 */
import type {IncomingMessage} from 'node:http';

import type {Clock} from '../clock/index.js';
import type {WholenessCheck} from './answer.js';

const MAX_DISCARDED_BYTES = 65_536;
const DISCARD_TIMEOUT_MILLISECONDS = 250;

/** How a discarded response ended: `given-up` where this host closed it. */
export type DiscardEnd = 'complete' | 'cut' | 'given-up';

/** A response whose body is still to be read. */
export interface UnreadResponse {
  readonly message: IncomingMessage;
  /** Tells, once the message has ended, whether all of it has come. */
  readonly isComplete: WholenessCheck;
}

/**
 * Reads the rest of a response and drops it; closes the connection of one that
 * does not end soon. Resolves with how it ended. Never throws.
 *
 * ```ts
 * const isComplete = (await discardBody(response, clock)) === 'complete';
 * ```
 */
export function discardBody(
  {message, isComplete}: UnreadResponse,
  clock: Clock,
): Promise<DiscardEnd> {
  return new Promise(resolve => {
    let received = 0;
    let isGivenUp = false;
    const giveUp = () => {
      isGivenUp = true;
      message.destroy();
    };
    const stopTimer = clock.after(DISCARD_TIMEOUT_MILLISECONDS, giveUp);
    const finish = () => {
      stopTimer();
      if (!message.complete) return resolve(isGivenUp ? 'given-up' : 'cut');
      void isComplete().then(whole => resolve(whole ? 'complete' : 'cut'));
    };
    message.on('data', (bytes: Buffer) => {
      received += bytes.length;
      if (received > MAX_DISCARDED_BYTES) giveUp();
    });
    message.once('end', finish);
    message.once('close', finish);
    message.on('error', () => {});
    if (message.destroyed) finish();
  });
}
