/** One digest for keys, bodies and states, so that all hosts compute the same. */
import {createHash} from 'node:crypto';

/**
 * SHA-256 in hexadecimal.
 *
 * ```ts
 * digestOf('secret') === key.digest;
 * ```
 */
export function digestOf(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}
