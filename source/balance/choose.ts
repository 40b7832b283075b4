/**
 * Which endpoint gets a request: that at which its first event is expected
 * soonest. For a model engine this is the reading that waits there and that of
 * the prompt itself, which is shorter where its shared parts are kept. Parts
 * that nobody keeps go by rank, so that all hosts bring them to the same
 * engine. Engines for large and for small prompts help each other out where
 * that is worth the harm. For a plain service it is the share of its places that are taken.
 */
import {expectedReading, expectedRequests, type EndpointLoad} from './load.js';
import {rankedFor} from './rank.js';
import {isLarge, readingTime, sharedPart, type Prompt} from './work.js';

/** An endpoint that may get the request. */
export interface Candidate {
  readonly id: string;
  readonly slots: number;
  /** Whether it is in the host's own zone. */
  readonly near: boolean;
  /** Whether it is in its cold start. */
  readonly cold: boolean;
  /** Whether the request has failed there before. */
  readonly failed: boolean;
  /** Whether it is meant for prompts of the other size. */
  readonly beside: boolean;
  /** Hosts that cannot reach it, and its neighbours out of reach from here. */
  readonly doubts: number;
  /** Tokens of the prompt that it is believed to keep. */
  readonly kept: number;
  readonly load: EndpointLoad;
}

/** The choice that was made, with what it rests on, for the log. */
export interface Choice {
  readonly id: string;
  /** Expected milliseconds to the first event, in relation to the others. */
  readonly cost: number;
  /** Milliseconds of reading that the request brings. */
  readonly reading: number;
}

const COLD_COST_MILLISECONDS = 400;
const FAILED_COST_MILLISECONDS = 5_000;
const FAR_COST_MILLISECONDS = 4;
/** Cost of an endpoint for each doubt whether it can be reached. */
const DOUBT_COST_MILLISECONDS = 150;
/** Cost of an endpoint all of whose answers fail. */
const FAILING_COST_MILLISECONDS = 1_500;
/** Doubts that count; in a large fleet some hosts are always mistaken. */
const DOUBTS_MOST = 3;
/** Cost of an endpoint at which no slot is free. */
const FULL_COST_MILLISECONDS = 1_000;
/** Cost of each request that runs there, in milliseconds. */
const RUNNING_COST_MILLISECONDS = 1.5;
/** Cost of an engine that is meant for prompts of the other size. */
const MIXING_COST_MILLISECONDS = 200;
/** Milliseconds of reading beside running answers that their callers bear. */
const MIXING_READING_MOST = 200;
/** Cost of reading more than that. */
const OVERLOADING_COST_MILLISECONDS = 3_000;
/** Cost of each further rank, so that spilled prompts meet at one engine. */
const RANK_COST_MILLISECONDS = 8;

/**
 * The endpoint for a request without a prompt.
 *
 * ```ts
 * const choice = chooseLeastBusy(candidates, now);
 * ```
 */
export function chooseLeastBusy(
  candidates: readonly Candidate[],
  now: number,
): Choice | undefined {
  return best(candidates, candidate => {
    const busy = expectedRequests(candidate.load, now) / candidate.slots;
    return {cost: standing(candidate, now) + busy * 100, reading: 0};
  });
}

/** The endpoint for a request with a prompt. */
export function chooseEngine(
  candidates: readonly Candidate[],
  prompt: Prompt,
  now: number,
): Choice | undefined {
  const shared = isLarge(prompt) ? sharedPart(prompt) : undefined;
  const ranks = shared ? ranked(candidates, shared.id) : undefined;
  return best(candidates, candidate => {
    const rank = ranks?.get(candidate.id) ?? 0;
    const reading = readingTime(prompt.tokens - candidate.kept);
    const running = expectedRequests(candidate.load, now);
    const waiting = expectedReading(candidate.load, now);
    const cost =
      standing(candidate, now) +
      waiting +
      reading +
      rank * RANK_COST_MILLISECONDS +
      running * RUNNING_COST_MILLISECONDS +
      (candidate.beside ? mixing(waiting + reading) : 0);
    return {cost, reading};
  });
}

/**
 * What it costs to read a large prompt beside running answers, or to run a
 * small one beside reading. One prompt now and then delays the answers by less
 * than their callers notice; one after the other does not.
 */
function mixing(reading: number): number {
  if (reading > MIXING_READING_MOST) return OVERLOADING_COST_MILLISECONDS;
  return MIXING_COST_MILLISECONDS;
}

function standing(candidate: Candidate, now: number): number {
  let cost = 0;
  if (candidate.cold) cost += COLD_COST_MILLISECONDS;
  if (candidate.failed) cost += FAILED_COST_MILLISECONDS;
  if (!candidate.near) cost += FAR_COST_MILLISECONDS;
  cost += Math.min(candidate.doubts, DOUBTS_MOST) * DOUBT_COST_MILLISECONDS;
  cost += candidate.load.failing * FAILING_COST_MILLISECONDS;
  const expected = expectedRequests(candidate.load, now);
  if (expected >= candidate.slots) cost += FULL_COST_MILLISECONDS;
  return cost;
}

function ranked(
  candidates: readonly Candidate[],
  key: string,
): Map<string, number> {
  const ids = candidates.map(({id}) => id);
  return new Map(rankedFor(key, ids).map((id, rank) => [id, rank]));
}

function best(
  candidates: readonly Candidate[],
  price: (candidate: Candidate) => Omit<Choice, 'id'>,
): Choice | undefined {
  let chosen: Choice | undefined;
  for (const candidate of candidates) {
    const choice = {id: candidate.id, ...price(candidate)};
    if (!chosen || choice.cost < chosen.cost) chosen = choice;
  }
  return chosen;
}
