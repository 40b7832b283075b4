/**
 * Writes a line before it returns, for a process that is about to end. Where the
 * file is a pipe, a reader that does not read cannot keep the process alive.
 */
import {closeSync, constants, fstatSync, openSync, writeSync} from 'node:fs';

/**
 * Writes a line, or nothing if it cannot be written at once. An error is ignored:
 * a reader that has gone away must not change how the process ends, and there is
 * nowhere to report it.
 *
 * ```ts
 * writeLineNow(2, 'arbutusslip-edge: nodeId: is absent\n');
 * ```
 */
export function writeLineNow(descriptor: number, line: string): void {
  let own: number | undefined;
  try {
    own = openWithoutWaiting(descriptor);
    writeSync(own ?? descriptor, line);
  } catch {
    return;
  } finally {
    if (own !== undefined) closeSync(own);
  }
}

/** Opens a pipe anew so that writes to it do not wait; undefined for other files. */
function openWithoutWaiting(descriptor: number): number | undefined {
  if (!fstatSync(descriptor).isFIFO()) return undefined;
  const path = `/proc/self/fd/${descriptor}`;
  try {
    return openSync(path, constants.O_WRONLY | constants.O_NONBLOCK);
  } catch {
    return undefined;
  }
}
