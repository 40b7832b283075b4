/**
 * Identifies duplicate requests: those of the same team, route and idempotency
 * key. Two teams that choose the same key never share a claim.
 */
import {digestOf} from '../configuration/index.js';
import {Refusal} from '../errors/index.js';

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;
const CLAIM_ID_CHARACTERS = 40;

/**
 * Returns the idempotency key of a header, or undefined if the header is
 * absent. Throws a Refusal if the key is malformed or the header was sent more
 * than once.
 */
export function parseIdempotencyKey(
  header: string | string[] | undefined,
): string | undefined {
  if (header === undefined) return undefined;
  if (typeof header === 'string' && IDEMPOTENCY_KEY.test(header)) return header;
  const detail = 'an idempotency key has 1 to 255 visible characters';
  throw new Refusal('idempotency-key-invalid', 'not-run', detail);
}

/**
 * Returns the id under which a request is claimed: a digest of its team, route
 * and idempotency key.
 *
 * ```ts
 * const id = claimIdFor('editors', 'revisions', key);
 * ```
 */
export function claimIdFor(team: string, route: string, key: string): string {
  return digestOf(`${team}\n${route}\n${key}`).slice(0, CLAIM_ID_CHARACTERS);
}
