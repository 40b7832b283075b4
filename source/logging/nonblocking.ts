/**
 * Makes writes to the standard streams fail rather than wait. A write that waits
 * for a reader holds a thread of the runtime, which then cannot end the process.
 */
import {fstatSync} from 'node:fs';

const STDOUT_FILE_DESCRIPTOR = 1;
const STDERR_FILE_DESCRIPTOR = 2;

/**
 * Makes a standard stream that is a pipe or a socket return EAGAIN where it would
 * wait. Does nothing for other files, which do not wait for a reader.
 *
 * ```ts
 * avoidWaiting(1);
 * ```
 */
export function avoidWaiting(descriptor: number): void {
  try {
    const file = fstatSync(descriptor);
    if (!file.isFIFO() && !file.isSocket()) return;
    // The runtime switches the descriptor when it first creates the stream, which
    // fails where the process has no descriptor left.
    if (descriptor === STDOUT_FILE_DESCRIPTOR) void process.stdout;
    if (descriptor === STDERR_FILE_DESCRIPTOR) void process.stderr;
  } catch {
    return;
  }
}
