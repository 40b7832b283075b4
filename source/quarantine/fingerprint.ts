/**
 * Identifies requests that are alike: a caller that sends a request again sends
 * the same bytes, under another id and to any host.
 */
import {createHash} from 'node:crypto';

/** What requests that are alike have in common. */
export interface RequestContent {
  readonly method: string;
  /** The name under which the caller addresses the service. */
  readonly host: string;
  /** Path and query. */
  readonly url: string;
  /** Name of the caller's team; empty where callers need no key. */
  readonly team: string;
  readonly body: Buffer;
}

/** Hexadecimal digits of a fingerprint; 128 bits of the digest. */
const FINGERPRINT_LENGTH = 32;

/**
 * Returns a text that is the same for requests that are alike. Its digest covers
 * the team and resists collisions, so that no caller can make a request with the
 * fingerprint of another caller's.
 *
 * ```ts
 * const fingerprint = fingerprintOf({method, host, url, team, body});
 * ```
 */
export function fingerprintOf(content: RequestContent): string {
  const {method, host, url, team, body} = content;
  return createHash('sha256')
    .update(JSON.stringify([method, host, url, team]))
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_LENGTH);
}
