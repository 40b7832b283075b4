/**
 * Which endpoint gets a request. Warm ones go before cold ones, the host’s own
 * availability zone before others, and then the one whose share is least used.
 * An endpoint that answers slowly counts as fuller than it is, so it gets less
 * work and is still probed. Suspects are used only where nothing else is left,
 * so that no run of failures can empty a pool.
 */
import type {Allowances} from './allowance.js';
import type {EndpointState} from './endpoint.js';

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
const SUSPECT_PENALTY = 1000;
const FAILED_BEFORE_PENALTY = 500;
const CHEAP_BONUS = 0.25;
const PREFIX_BONUS = 0.3;
const SLOWNESS_MOST = 4;

/** Whether an endpoint may get new work from this host now. */
export function usable(
  candidate: EndpointState,
  allowances: Allowances,
  now: number,
): boolean {
  const {state, zoneIn, running} = candidate;
  if (!zoneIn || state === 'leaving' || state === 'gone') return false;
  return running < allowances.of(candidate, now);
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
  for (const candidate of pool) {
    if (demand.cheap === 'never' && candidate.endpoint.cheap) continue;
    if (!usable(candidate, allowances, now)) continue;
    const score = scoreOf(
      candidate,
      demand,
      allowances.of(candidate, now),
      usual,
      now,
    );
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
  const {endpoint, state} = candidate;
  let score =
    ((candidate.running + 1) / allowance) * slowness(candidate, usual);
  if (state === 'cold' || state === 'unknown') score += COLD_PENALTY;
  if (endpoint.zone !== demand.zone) score += OTHER_ZONE_PENALTY;
  if (now < candidate.suspectUntil) score += SUSPECT_PENALTY;
  if (demand.avoid.has(endpoint.name)) score += FAILED_BEFORE_PENALTY;
  if (endpoint.cheap) score -= CHEAP_BONUS;
  if (endpoint.name === demand.holder) score -= PREFIX_BONUS;
  return score;
}

function slowness({latency}: EndpointState, usual: number): number {
  if (latency === 0 || usual === 0) return 1;
  return Math.min(Math.max(latency / usual, 1), SLOWNESS_MOST);
}

/** The least latency of the pool, which stands for one in good health. */
function usualLatency(pool: readonly EndpointState[]): number {
  let least = 0;
  for (const {latency} of pool) {
    if (latency > 0 && (least === 0 || latency < least)) least = latency;
  }
  return least;
}
