/**
 * The status and the Retry-After delay of a refusal. The statuses 429 and 503
 * guarantee that the request has not run and never will; where that is not
 * certain, another status is used, which guarantees nothing. The delay is short
 * enough that the caller still has time for a retry, and has jitter so that
 * callers that were refused together do not return at the same moment.
 */
import {Refusal, type RefusalCode} from '../errors/index.js';
import type {RandomSource} from '../random/index.js';

const UNAVAILABLE = 503;
const SERVER_ERROR = 500;
/** Share of their remaining time that callers are willing to wait. */
const MAX_RETRY_DELAY_SHARE = 0.3;
/** Shorter mean delays are not offered; the caller is told not to retry. */
const MIN_RETRY_DELAY_SECONDS = 0.05;
const MAX_RETRY_DELAY_SECONDS = 0.6;
/** Width of the range of delays, as a share of their mean. */
const JITTER_SHARE = 0.5;

/** What is known about a request when it is refused. */
export interface RefusedRequest {
  readonly refusal: Refusal;
  /** Whether an endpoint may have run it. */
  readonly mayHaveRun: boolean;
  /** Milliseconds until the caller stops waiting. */
  readonly timeLeft: number;
}

/** Returns the HTTP status of the response to a refused request. */
export function refusalStatus({refusal, mayHaveRun}: RefusedRequest): number {
  const {status, outcome} = refusal;
  if (status < SERVER_ERROR && status !== 429) return status;
  if (mayHaveRun)
    return status === UNAVAILABLE || status === 429 ? 502 : status;
  return outcome === 'not-run' ? UNAVAILABLE : status;
}

/** Refusals whose reason lasts for longer than callers wait. */
const LASTING_REFUSALS: ReadonlySet<RefusalCode> = new Set([
  'prompt-blocked',
  'request-blocked',
  'stream-version-unknown',
]);

/**
 * Returns the seconds after which the caller may retry; 0 where it should not.
 *
 * ```ts
 * const seconds = retryAfterSeconds(refused, random);
 * ```
 */
export function retryAfterSeconds(
  refused: RefusedRequest,
  random: RandomSource,
): number {
  const {refusal} = refused;
  if (refusalStatus(refused) !== UNAVAILABLE) return 0;
  if (LASTING_REFUSALS.has(refusal.code)) return 0;
  const longest = (refused.timeLeft * MAX_RETRY_DELAY_SHARE) / 1_000;
  const mean =
    Math.min(longest, MAX_RETRY_DELAY_SECONDS) / (1 + JITTER_SHARE / 2);
  if (mean < MIN_RETRY_DELAY_SECONDS) return 0;
  return mean * (1 - JITTER_SHARE / 2 + random.next() * JITTER_SHARE);
}
