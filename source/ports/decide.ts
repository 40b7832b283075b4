/** Which errors of a port waiting may mend. */

/** Another program holds the port, or the system lacks resources for now. */
const PASSING_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EAGAIN',
  'EAI_AGAIN',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/**
 * Whether a port that could not be opened may open later without a change of
 * settings or rights.
 *
 * ```ts
 * canWaitFor('EADDRINUSE'); // true
 * canWaitFor('EADDRNOTAVAIL'); // false
 * ```
 */
export function canWaitFor(code: string): boolean {
  return PASSING_CODES.has(code);
}

/** The system's code of an error, such as `EADDRINUSE`; `unknown` without one. */
export function codeOf(error: Error): string {
  return 'code' in error && typeof error.code === 'string'
    ? error.code
    : 'unknown';
}
