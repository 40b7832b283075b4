/**
 * Which endpoint gets a request. Warm ones go before cold ones, the host’s own
 * availability zone before others, and then the one whose share is least used.
 * An endpoint that answers slowly is used when the others are full, and its
 * slowness is forgotten with time, so that it is probed. A suspect gets nothing
 * for a while and then a single request; only where every endpoint of the pool
 * is suspect are they all used, so no run of failures can empty a pool.
 */
import type {Allowances} from './allowance.js';
import {FAILURES_BEFORE_SUSPECT, type EndpointState} from './endpoint.js';

/** What a request asks of an endpoint. */
export interface Demand {
  readonly zone: string;
  /** Endpoints that this request has failed at already. */
  readonly avoid: ReadonlySet<string>;
  /** Whether it may, and then should, run on a cheap endpoint. */
  readonly cheap: 'never' | 'preferred';
  /** The endpoint that is likely to hold its prefix. */
  readonly holder: string | undefined;
}

const COLD_PENALTY = 100;
const OTHER_ZONE_PENALTY = 0.5;
const FAILED_BEFORE_PENALTY = 500;
const CHEAP_BONUS = 0.25;
const PREFIX_BONUS = 0.3;
/** Times the usual latency from which an endpoint counts as slow. */
const SLOW_RATIO = 1.5;
const SLOWNESS_MOST = 4;
/** Milliseconds without an answer after which half of a slowness is forgotten. */
const SLOWNESS_HALF_LIFE_MILLISECONDS = 5_000;

/** Whether an endpoint may get new work at all. */
function takesWork({state, zoneIn}: EndpointState): boolean {
  return zoneIn && state !== 'leaving' && state !== 'gone';
}

/** The endpoints of a pool that may get new work from this host now. */
export function usable(
  pool: readonly EndpointState[],
  allowances: Allowances,
  now: number,
): EndpointState[] {
  const open = pool.filter(takesWork);
  const sound = open.some(({failures}) => failures < FAILURES_BEFORE_SUSPECT);
  return open.filter(candidate => {
    const {running, failures, suspectUntil} = candidate;
    if (running >= allowances.of(candidate, now)) return false;
    if (!sound || failures < FAILURES_BEFORE_SUSPECT) return true;
    return now >= suspectUntil && running === 0;
  });
}

/**
 * The best endpoint for a request, or nothing where none has room.
 *
 * ```ts
 * const chosen = choose(pool, demand, allowances, clock.monotonic());
 * ```
 */
export function choose(
  pool: readonly EndpointState[],
  demand: Demand,
  allowances: Allowances,
  now: number,
): EndpointState | undefined {
  const usual = usualLatency(pool);
  let best: EndpointState | undefined;
  let least = Infinity;
  for (const candidate of usable(pool, allowances, now)) {
    const allowance = allowances.of(candidate, now);
    if (demand.cheap === 'never' && candidate.endpoint.cheap) continue;
    const score = scoreOf(candidate, demand, allowance, usual, now);
    if (score < least) {
      least = score;
      best = candidate;
    }
  }
  return best;
}

function scoreOf(
  candidate: EndpointState,
  demand: Demand,
  allowance: number,
  usual: number,
  now: number,
): number {
  const {endpoint, warm} = candidate;
  let score = (candidate.running + 1) / allowance;
  score += slowness(candidate, usual, now);
  if (!warm) score += COLD_PENALTY;
  if (endpoint.zone !== demand.zone) score += OTHER_ZONE_PENALTY;
  if (demand.avoid.has(endpoint.name)) score += FAILED_BEFORE_PENALTY;
  if (endpoint.cheap) score -= CHEAP_BONUS;
  if (endpoint.name === demand.holder) score -= PREFIX_BONUS;
  return score;
}

/** How much slower than usual, from zero. */
function slowness(
  {latency, answeredAt}: EndpointState,
  usual: number,
  now: number,
): number {
  if (latency < usual * SLOW_RATIO || usual === 0) return 0;
  const age = now - answeredAt;
  const kept = 0.5 ** (age / SLOWNESS_HALF_LIFE_MILLISECONDS);
  return kept * Math.min(latency / usual - 1, SLOWNESS_MOST);
}

/** The least latency of the pool, which stands for one in good health. */
function usualLatency(pool: readonly EndpointState[]): number {
  let least = 0;
  for (const {latency} of pool) {
    if (latency > 0 && (least === 0 || latency < least)) least = latency;
  }
  return least;
}
