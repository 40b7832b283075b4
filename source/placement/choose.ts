/**
 * Chooses the endpoint for a request. Warm endpoints go before cold ones, those
 * in the host’s own availability zone before others, and then the one with the
 * smallest part of its slot quota in use. An endpoint that responds slowly is
 * used when the others are full, and its slowness decays with time, so that it
 * is tried again. A suspect endpoint gets nothing for a while and then a single
 * request as a probe; but if every endpoint of the pool is suspect they are all
 * used, so that no series of failures can leave a pool without endpoints.
 */
import {FAILURES_BEFORE_SUSPECT, type EndpointState} from './endpoint.js';
import type {SlotQuotas} from './quota.js';

/** What the choice of an endpoint depends on, besides the endpoints. */
export interface PlacementCriteria {
  /** The host’s own availability zone. */
  readonly zone: string;
  /** Endpoints at which this request has failed; used as a last resort. */
  readonly avoid: ReadonlySet<string>;
  /** Whether it may, and then should, run on a reclaimable endpoint. */
  readonly cheap: 'never' | 'preferred';
  /** The endpoint that is likely to have the prompt’s prefix in its cache. */
  readonly prefixHolder: string | undefined;
}

// The endpoint with the lowest score is chosen. The unit of a score is the
// whole slot quota of an endpoint: one that would be full scores 1.
const COLD_PENALTY = 100;
const OTHER_ZONE_PENALTY = 0.5;
const FAILED_BEFORE_PENALTY = 500;
const CHEAP_BONUS = 0.25;
const PREFIX_BONUS = 0.3;
/** Multiple of the baseline latency from which an endpoint counts as slow. */
const SLOW_RATIO = 1.5;
const MAX_SLOWNESS = 4;
/** Milliseconds without a response after which slowness counts half. */
const SLOWNESS_HALF_LIFE_MILLISECONDS = 5_000;

/** Whether an endpoint may get new work at all. */
function acceptsWork({state, zoneIn}: EndpointState): boolean {
  return zoneIn && state !== 'leaving' && state !== 'gone';
}

/**
 * The endpoints of a pool that may get new work from this host at the
 * monotonic time `now`.
 */
export function eligibleEndpoints(
  pool: readonly EndpointState[],
  quotas: SlotQuotas,
  now: number,
): EndpointState[] {
  const accepting = pool.filter(acceptsWork);
  const anyHealthy = accepting.some(
    ({failures}) => failures < FAILURES_BEFORE_SUSPECT,
  );
  return accepting.filter(candidate => {
    const {running, failures, suspectUntil} = candidate;
    if (running >= quotas.slotsAt(candidate, now)) return false;
    if (!anyHealthy || failures < FAILURES_BEFORE_SUSPECT) return true;
    return now >= suspectUntil && running === 0;
  });
}

/**
 * The best endpoint for a request; undefined if none has a free slot.
 *
 * ```ts
 * const chosen = chooseEndpoint(pool, criteria, quotas, clock.monotonic());
 * ```
 */
export function chooseEndpoint(
  pool: readonly EndpointState[],
  criteria: PlacementCriteria,
  quotas: SlotQuotas,
  now: number,
): EndpointState | undefined {
  const baseline = baselineLatency(pool);
  let best: EndpointState | undefined;
  let lowest = Infinity;
  for (const candidate of eligibleEndpoints(pool, quotas, now)) {
    const quota = quotas.slotsAt(candidate, now);
    if (criteria.cheap === 'never' && candidate.endpoint.cheap) continue;
    const score = scoreOf(candidate, criteria, quota, baseline, now);
    if (score < lowest) {
      lowest = score;
      best = candidate;
    }
  }
  return best;
}

function scoreOf(
  candidate: EndpointState,
  criteria: PlacementCriteria,
  quota: number,
  baseline: number,
  now: number,
): number {
  const {endpoint, warm} = candidate;
  let score = (candidate.running + 1) / quota;
  score += slowness(candidate, baseline, now);
  if (!warm) score += COLD_PENALTY;
  if (endpoint.zone !== criteria.zone) score += OTHER_ZONE_PENALTY;
  if (criteria.avoid.has(endpoint.name)) score += FAILED_BEFORE_PENALTY;
  if (endpoint.cheap) score -= CHEAP_BONUS;
  if (endpoint.name === criteria.prefixHolder) score -= PREFIX_BONUS;
  return score;
}

/**
 * How much slower than the baseline an endpoint is, as a share of the baseline;
 * zero if it does not count as slow.
 */
function slowness(
  {latency, answeredAt}: EndpointState,
  baseline: number,
  now: number,
): number {
  if (latency < baseline * SLOW_RATIO || baseline === 0) return 0;
  const age = now - answeredAt;
  const remaining = 0.5 ** (age / SLOWNESS_HALF_LIFE_MILLISECONDS);
  return remaining * Math.min(latency / baseline - 1, MAX_SLOWNESS);
}

/**
 * The lowest latency of the pool, which stands for a healthy endpoint; zero
 * before the first response.
 */
function baselineLatency(pool: readonly EndpointState[]): number {
  let lowest = 0;
  for (const {latency} of pool) {
    if (latency > 0 && (lowest === 0 || latency < lowest)) lowest = latency;
  }
  return lowest;
}
