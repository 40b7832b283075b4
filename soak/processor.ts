/** How long a process has waited for a processor. */
import {readFileSync} from 'node:fs';

const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/**
 * Milliseconds for which the main thread of a process was ready to run and had no
 * processor; 0 where the process is gone.
 */
export function processorWaitOf(pid: number | undefined): number {
  try {
    const [, waited] = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(
      ' ',
    );
    return Number(waited) / NANOSECONDS_PER_MILLISECOND;
  } catch {
    return 0;
  }
}
