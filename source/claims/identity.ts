/**
 * What makes two requests the same: the team, the route and the idempotency
 * key. The key of one team never meets that of another.
 */
import {digestOf} from '../configuration/index.js';
import {Refusal} from '../errors/index.js';

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;
const ID_CHARACTERS = 40;

/** The idempotency key of a header, or nothing. Throws a Refusal for a bad one. */
export function idempotencyKeyOf(
  header: string | string[] | undefined,
): string | undefined {
  if (header === undefined) return undefined;
  if (typeof header === 'string' && IDEMPOTENCY_KEY.test(header)) return header;
  const detail = 'an idempotency key has 1 to 255 visible characters';
  throw new Refusal('idempotency-key-invalid', 'not-run', detail);
}

/**
 * The id of a claim.
 *
 * ```ts
 * const id = claimIdOf('editors', 'revisions', header);
 * ```
 */
export function claimIdOf(team: string, route: string, key: string): string {
  return digestOf(`${team}\n${route}\n${key}`).slice(0, ID_CHARACTERS);
}
