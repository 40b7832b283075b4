/**
 * What a request would find at an endpoint whose service rate is known. Costs
 * are in milliseconds that the request waits or makes others wait.
 */
import {ASSUMED_RATE, type ServiceRate} from '../servicerates/index.js';
import {penalties, type Candidate} from './choose.js';
import type {BelievedLoad} from './loadhistory.js';
import type {Prompt} from './prompt.js';

/** What a request would find at one endpoint. */
export interface Estimate {
  readonly rate: ServiceRate;
  readonly load: BelievedLoad;
  /** Milliseconds until its first event or answer. */
  readonly wait: number;
  /** Milliseconds of prefill that it adds there, at the usual speed. */
  readonly prefill: number;
  /** Work that the endpoint does in a millisecond, relative to the others. */
  readonly speed: number;
  readonly cost: number;
}

/**
 * Cost of a request that runs at an engine, in tokens of a response there: each
 * one makes every step longer.
 */
const RUNNING_COST_TOKENS = 0.5;

/**
 * What a request with a prompt would find at an engine with a believed load.
 *
 * ```ts
 * const {cost} = engineEstimate(candidate, prompt, rate, beliefs.of(load));
 * ```
 */
export function engineEstimate(
  candidate: Candidate,
  prompt: Prompt,
  rate: ServiceRate,
  load: BelievedLoad,
): Estimate {
  const {workFactor} = rate;
  const prefill =
    (prompt.tokens - candidate.cachedTokens) / rate.prefillTokensPerMillisecond;
  const wait = (load.prefillMilliseconds + prefill) * workFactor;
  const step = rate.millisecondsPerToken * workFactor;
  const running = load.requests * RUNNING_COST_TOKENS * step;
  const cost = wait + running + penalties(candidate, load.requests);
  const speed = ASSUMED_RATE.millisecondsPerToken / step;
  return {rate, load, wait, prefill, speed, cost};
}

/** What a request without a prompt would find at an endpoint. */
export function plainEstimate(
  candidate: Candidate,
  rate: ServiceRate,
  load: BelievedLoad,
): Estimate {
  const duration = rate.plainMilliseconds * rate.workFactor;
  const wait = duration * (1 + load.requests / candidate.slots);
  const cost = wait + penalties(candidate, load.requests);
  const speed = ASSUMED_RATE.plainMilliseconds / duration;
  return {rate, load, wait, prefill: 0, speed, cost};
}
