/** Writes a line before it returns, for a process that is about to end. */
import {writeSync} from 'node:fs';

import {avoidWaiting} from './nonblocking.js';

/**
 * Writes a line to a standard stream, or nothing if it cannot be written at once.
 * An error is ignored: a reader that has gone away or does not read must not
 * change how the process ends, and there is nowhere to report it.
 *
 * ```ts
 * writeLineNow(2, 'arbutusslip-edge: nodeId: is absent\n');
 * ```
 */
export function writeLineNow(descriptor: number, line: string): void {
  avoidWaiting(descriptor);
  try {
    writeSync(descriptor, line);
  } catch {
    return;
  }
}
