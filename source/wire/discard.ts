/**
 * Reads responses whose body is not needed, so that their connections can be
 * reused. One that is long or slow costs more than a new connection does.
 */
import type {IncomingMessage} from 'node:http';

import type {Clock} from '../clock/index.js';

const MAX_DISCARDED_BYTES = 65_536;
const DISCARD_TIMEOUT_MILLISECONDS = 250;

/**
 * Reads the rest of a response and drops it; closes the connection of one that
 * does not end soon. Resolves with whether the response was complete. Never
 * throws.
 *
 * ```ts
 * const isComplete = await discardBody(message, clock);
 * ```
 */
export function discardBody(
  message: IncomingMessage,
  clock: Clock,
): Promise<boolean> {
  return new Promise(resolve => {
    let received = 0;
    const stopTimer = clock.after(DISCARD_TIMEOUT_MILLISECONDS, () =>
      message.destroy(),
    );
    const finish = () => {
      stopTimer();
      resolve(message.complete);
    };
    message.on('data', (bytes: Buffer) => {
      received += bytes.length;
      if (received > MAX_DISCARDED_BYTES) message.destroy();
    });
    message.once('end', finish);
    message.once('close', finish);
    message.on('error', () => {});
    if (message.destroyed) finish();
  });
}
