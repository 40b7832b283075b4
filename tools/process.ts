/** What the system says of a running process. */
import {readFileSync} from 'node:fs';

/** Readings of a process at one moment. */
export interface Reading {
  /** Seconds of processor time since the start. */
  readonly processor: number;
  /** Bytes read and written since the start, over sockets and files. */
  readonly bytes: number;
  readonly residentMegabytes: number;
}

const TICKS_PER_SECOND = 100;

function textOf(pid: number, file: string): string {
  return readFileSync(`/proc/${pid}/${file}`, 'utf8');
}

/** Reads a process’s counters. */
export function readProcess(pid: number): Reading {
  const fields = textOf(pid, 'stat').split(') ')[1]?.split(' ') ?? [];
  const ticks = Number(fields[11]) + Number(fields[12]);
  const io = textOf(pid, 'io');
  const read = Number(/rchar: (\d+)/.exec(io)?.[1]);
  const written = Number(/wchar: (\d+)/.exec(io)?.[1]);
  const resident = Number(/VmRSS:\s+(\d+)/.exec(textOf(pid, 'status'))?.[1]);
  return {
    processor: ticks / TICKS_PER_SECOND,
    bytes: read + written,
    residentMegabytes: resident / 1_024,
  };
}
