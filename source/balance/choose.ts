/**
 * Chooses the endpoint for a request: the one with the lowest cost. At an
 * inference engine the cost is the expected time to the first event, in
 * milliseconds: the prefill that is queued there and that of the prompt itself,
 * which is shorter where shared parts are cached. A small cost by rendezvous
 * rank makes all hosts send parts that no engine has cached to the same engine.
 * Engines for large and for small prompts take each other’s prompts when that
 * outweighs the interference. For a plain service the cost depends on the
 * fraction of the endpoint’s slots that are in use.
 */
import {expectedLoad, expectedRequests, type EndpointLoad} from './load.js';
import {
  estimatePrefillMilliseconds,
  sharedTokenCount,
  type Prompt,
} from './prompt.js';

/** An endpoint that may get the request. */
export interface Candidate {
  readonly id: string;
  readonly slots: number;
  /** Whether it is in the host’s own zone. */
  readonly isSameZone: boolean;
  /** Whether it is in its cold start. */
  readonly isInColdStart: boolean;
  /** Whether the request has failed there before. */
  readonly hasFailedRequest: boolean;
  /** Whether it is set aside for prompts of the other size. */
  readonly isForOtherSize: boolean;
  /**
   * Rank among the candidates for the part by which the prompt is routed; 0 for
   * all if there is none.
   */
  readonly rank: number;
  /**
   * Other hosts that report it as unreachable, plus the endpoints of its zone
   * that this host cannot reach.
   */
  readonly unreachableSignals: number;
  /** Tokens of the prompt that it is believed to have cached. */
  readonly cachedTokens: number;
  readonly load: EndpointLoad;
}

/** The chosen endpoint, with the estimates that are logged with it. */
export interface Choice {
  readonly id: string;
  /**
   * Expected milliseconds to the first event, plus penalties. Only comparable
   * with the costs of the other candidates for the same request.
   */
  readonly cost: number;
  /** Expected milliseconds to the first event, without penalties. */
  readonly waitMilliseconds: number;
  /** Milliseconds of prefill that the request adds at the endpoint. */
  readonly prefillMilliseconds: number;
  /** Requests of all hosts that the endpoint is believed to have already. */
  readonly expectedRequests: number;
}

/** Cost of an endpoint in its cold start. */
const COLD_START_COST_MILLISECONDS = 400;
/** Cost of an endpoint at which the request has failed before. */
const FAILED_COST_MILLISECONDS = 5_000;
/** Cost of an endpoint in another zone. */
const OTHER_ZONE_COST_MILLISECONDS = 4;
/** Cost for each signal that an endpoint may be unreachable. */
const UNREACHABLE_SIGNAL_COST_MILLISECONDS = 150;
/** Cost of an endpoint whose failure rate is 1; scaled by that rate. */
const FAILURE_RATE_COST_MILLISECONDS = 1_500;
/** Signals that count; in a large fleet some hosts are always mistaken. */
const MAX_UNREACHABLE_SIGNALS = 3;
/** Cost of an endpoint at which no slot is free. */
const FULL_COST_MILLISECONDS = 1_000;
/** Cost of each request that is running at the endpoint. */
const RUNNING_COST_MILLISECONDS = 1.5;
/** Cost of an engine that is set aside for prompts of the other size. */
const INTERFERENCE_COST_MILLISECONDS = 200;
/** Prefill beside running responses that their callers tolerate. */
const MAX_TOLERATED_PREFILL_MILLISECONDS = 200;
/** Cost, in place of the interference cost, of more prefill than that. */
const EXCESS_PREFILL_COST_MILLISECONDS = 3_000;
/**
 * Cost of a further place in the rendezvous order, as a multiple of the prefill
 * of the shared parts. An engine that prefills them for an overflow caches them in
 * place of others, and the next prompts follow it there; where many hosts do so at
 * once, each engine ends up prefilling everything.
 */
const RANK_COST_PREFILL_FACTOR = 3;
/** Places after which a further one costs no more. */
const MAX_COSTED_RANK = 3;
/** Most that a place costs; an engine without a free slot costs more. */
const MAX_RANK_COST_MILLISECONDS = 900;

/**
 * Chooses the endpoint for a request without a prompt; undefined if there are
 * no candidates.
 *
 * ```ts
 * const choice = chooseLeastBusy(candidates, now);
 * ```
 */
export function chooseLeastBusy(
  candidates: readonly Candidate[],
  now: number,
): Choice | undefined {
  const chosen = cheapest(candidates, candidate => {
    const requests = expectedRequests(candidate.load, now);
    const utilization = requests / candidate.slots;
    return penalties(candidate, requests) + utilization * 100;
  });
  if (!chosen) return undefined;
  const {candidate, cost} = chosen;
  return {
    id: candidate.id,
    cost,
    prefillMilliseconds: 0,
    waitMilliseconds: cost,
    expectedRequests: expectedRequests(candidate.load, now),
  };
}

/**
 * Chooses the engine for a request with a prompt; undefined if there are no
 * candidates.
 */
export function chooseEngine(
  candidates: readonly Candidate[],
  prompt: Prompt,
  now: number,
): Choice | undefined {
  const prefillAt = ({cachedTokens}: Candidate) =>
    estimatePrefillMilliseconds(prompt.tokens - cachedTokens);
  const rankCostAt = rankCostFor(prompt);
  const chosen = cheapest(candidates, candidate => {
    const prefill = prefillAt(candidate);
    const expected = expectedLoad(candidate.load, now);
    const queued = expected.prefillMilliseconds;
    return (
      penalties(candidate, expected.requests) +
      queued +
      prefill +
      rankCostAt(candidate) +
      expected.requests * RUNNING_COST_MILLISECONDS +
      (candidate.isForOtherSize ? interferenceCost(queued + prefill) : 0)
    );
  });
  if (!chosen) return undefined;
  const {candidate, cost} = chosen;
  const prefillMilliseconds = prefillAt(candidate);
  const expected = expectedLoad(candidate.load, now);
  return {
    id: candidate.id,
    cost,
    prefillMilliseconds,
    waitMilliseconds: expected.prefillMilliseconds + prefillMilliseconds,
    expectedRequests: expected.requests,
  };
}

/**
 * Returns the cost of a candidate’s place in the rendezvous order of a prompt.
 */
export function rankCostFor(prompt: Prompt): (candidate: Candidate) => number {
  const shared = sharedTokenCount(prompt);
  const rankCost =
    estimatePrefillMilliseconds(shared) * RANK_COST_PREFILL_FACTOR;
  return ({cachedTokens, rank}) =>
    cachedTokens >= shared
      ? 0
      : Math.min(
          Math.min(rank, MAX_COSTED_RANK) * rankCost,
          MAX_RANK_COST_MILLISECONDS,
        );
}

/**
 * The cost of prefilling a large prompt beside running responses, or of running
 * a small one beside prefill. An occasional prompt delays the running responses
 * by less than their callers notice; one after another does not.
 */
function interferenceCost(prefillMilliseconds: number): number {
  if (prefillMilliseconds > MAX_TOLERATED_PREFILL_MILLISECONDS)
    return EXCESS_PREFILL_COST_MILLISECONDS;
  return INTERFERENCE_COST_MILLISECONDS;
}

/** The costs that do not depend on the prompt. */
export function penalties(
  candidate: Candidate,
  expectedRequests: number,
): number {
  let cost = 0;
  if (candidate.isInColdStart) cost += COLD_START_COST_MILLISECONDS;
  if (candidate.hasFailedRequest) cost += FAILED_COST_MILLISECONDS;
  if (!candidate.isSameZone) cost += OTHER_ZONE_COST_MILLISECONDS;
  cost +=
    Math.min(candidate.unreachableSignals, MAX_UNREACHABLE_SIGNALS) *
    UNREACHABLE_SIGNAL_COST_MILLISECONDS;
  cost += candidate.load.failureRate * FAILURE_RATE_COST_MILLISECONDS;
  if (expectedRequests >= candidate.slots) cost += FULL_COST_MILLISECONDS;
  return cost;
}

/** The candidate with the lowest cost; the first one if several are equal. */
function cheapest(
  candidates: readonly Candidate[],
  costOf: (candidate: Candidate) => number,
): {candidate: Candidate; cost: number} | undefined {
  let cheapest: Candidate | undefined;
  let lowest = Infinity;
  for (const candidate of candidates) {
    const cost = costOf(candidate);
    if (cheapest && !(cost < lowest)) continue;
    cheapest = candidate;
    lowest = cost;
  }
  return cheapest && {candidate: cheapest, cost: lowest};
}
