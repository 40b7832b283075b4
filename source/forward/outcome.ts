/**
 * What a caller is told when its request gets no answer. 429 and 503 promise
 * that the request has not run and never will; where that is not certain, the
 * status promises nothing. A caller that may come back is told when: soon
 * enough that it still has time, and spread out so that they do not all return
 * in the same moment.
 */
import {Refusal} from '../errors/index.js';
import type {Random} from '../random/index.js';

const UNAVAILABLE = 503;
const SERVER_ERROR = 500;
/** Share of the time left that callers are willing to wait. */
const WAITING_SHARE = 0.3;
const LEAST_SECONDS = 0.05;
const MOST_SECONDS = 0.6;
/** Spread of the returns around their mean. */
const SPREAD = 0.5;

/** What is known when a request is given up. */
export interface GivenUp {
  readonly refusal: Refusal;
  /** Whether an endpoint may have run it. */
  readonly mayHaveRun: boolean;
  /** Milliseconds that the caller has left. */
  readonly timeLeft: number;
}

/** The status of the answer to a request that is given up. */
export function statusOf({refusal, mayHaveRun}: GivenUp): number {
  const {status, outcome} = refusal;
  if (status < SERVER_ERROR && status !== 429) return status;
  if (mayHaveRun)
    return status === UNAVAILABLE || status === 429 ? 502 : status;
  return outcome === 'not-run' ? UNAVAILABLE : status;
}

/**
 * Seconds after which the caller may come back; 0 where it should not.
 *
 * ```ts
 * const seconds = retryAfterOf(givenUp, random);
 * ```
 */
export function retryAfterOf(givenUp: GivenUp, random: Random): number {
  if (statusOf(givenUp) !== UNAVAILABLE) return 0;
  const longest = (givenUp.timeLeft * WAITING_SHARE) / 1_000;
  const mean = Math.min(longest, MOST_SECONDS) / (1 + SPREAD / 2);
  if (mean < LEAST_SECONDS) return 0;
  return mean * (1 - SPREAD / 2 + random.next() * SPREAD);
}
