/** What the kernel knows of a process beside its counters. */
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

/** Whether a process handles SIGHUP. */
export function listensForReload(pid: number | undefined): boolean {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const [, caught = ''] = /SigCgt:\s+(\w+)/.exec(status) ?? [];
    return (parseInt(caught.slice(-1), 16) & 1) === 1;
  } catch {
    return false;
  }
}
