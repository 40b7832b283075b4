/** The limit of this process on open files, as the system states it. */
import {readFileSync} from 'node:fs';

const LIMITS_PATH = '/proc/self/limits';
const SOFT_LIMIT_PATTERN = /^Max open files\s+(\d+)/m;

/**
 * Reads how many files the process may have open; undefined if that is unlimited
 * or cannot be read. Opens a file: call it once, at the start.
 *
 * ```ts
 * const limit = processDescriptorLimit();
 * ```
 */
export function processDescriptorLimit(
  read: () => string = readLimits,
): number | undefined {
  try {
    const [, digits] = SOFT_LIMIT_PATTERN.exec(read()) ?? [];
    return digits === undefined ? undefined : Number(digits);
  } catch {
    // Some systems have no such file or refuse to open it.
    return undefined;
  }
}

function readLimits(): string {
  return readFileSync(LIMITS_PATH, 'utf8');
}
