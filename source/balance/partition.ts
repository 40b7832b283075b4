/**
 * Splits the engines of a service between large and small prompts. Prefilling a
 * large prompt delays each event of the responses that run beside it, so the
 * two are kept apart, on numbers of engines in proportion to their demand. All
 * hosts rank the engines alike, so hosts whose counts differ by one disagree
 * about one engine at most.
 */
/**
 * Demand for engine time: an exponentially decaying sum, in milliseconds, for
 * large and for small prompts.
 */
export interface EngineDemand {
  readonly large: number;
  readonly small: number;
  /** Monotonic milliseconds up to which the decay has been applied. */
  readonly decayedAt: number;
  /** Monotonic milliseconds of the first prompt, or of the first after a lull. */
  readonly since: number;
}

/** Age at which a prompt’s engine time has half its weight. */
const DEMAND_HALF_LIFE_MILLISECONDS = 5_000;
/**
 * Arrivals are taken to span at least this time, so that the first prompts are
 * not extrapolated to a high demand.
 */
const MIN_OBSERVATION_MILLISECONDS = 3_000;
/**
 * The key for which engines are ranked: the first ones serve large prompts.
 * Hosts with another key would rank them differently.
 */
export const LARGE_PROMPT_RANKING_KEY = 'large prompts';

/** Demand below which the next prompt counts as the first one. */
const NEGLIGIBLE_MILLISECONDS = 1;

/** The demand before the first prompt. */
export const NO_DEMAND: EngineDemand = {
  large: 0,
  small: 0,
  decayedAt: 0,
  since: Infinity,
};

/**
 * The demand after a prompt that needs `duration` milliseconds of an engine.
 */
export function addPrompt(
  before: EngineDemand,
  isLarge: boolean,
  duration: number,
  now: number,
): EngineDemand {
  const decay = decayFactor(now - before.decayedAt);
  const large = before.large * decay;
  const small = before.small * decay;
  const isFirst = duration > 0 && large + small < NEGLIGIBLE_MILLISECONDS;
  return {
    large: large + (isLarge ? duration : 0),
    small: small + (isLarge ? 0 : duration),
    decayedAt: now,
    since: isFirst ? now : Math.min(before.since, now),
  };
}

/** The weight of engine time that was requested so many milliseconds ago. */
function decayFactor(age: number): number {
  return 0.5 ** (age / DEMAND_HALF_LIFE_MILLISECONDS);
}

/** Difference in engines below which the count of large engines stays. */
const COUNT_HYSTERESIS = 0.7;

/**
 * How many engines serve large prompts: so many of the first ones in rendezvous
 * order; the others serve small ones. A single
 * engine serves both. The count changes only when the share of the demand has
 * clearly moved, since an engine that changes sides loses the use of the parts
 * that it has cached.
 *
 * ```ts
 * const count = largeEngineCount(6, demand, 4);
 * ```
 */
export function largeEngineCount(
  engines: number,
  {large, small}: EngineDemand,
  currentCount: number,
): number {
  if (large === 0) return 0;
  if (small === 0 || engines < 2) return engines;
  const share = (engines * large) / (large + small);
  const isUnchanged = Math.abs(share - currentCount) < COUNT_HYSTERESIS;
  const count = isUnchanged ? currentCount : Math.round(share);
  return Math.min(Math.max(count, 1), engines - 1);
}

/**
 * The demand now, corrected for the start of the observation. A decaying sum
 * begins at zero, so a host would underestimate the demand for long after it
 * has started; this assumes that prompts always arrived as they have since the
 * first one.
 */
export function unbiasedDemand(
  before: EngineDemand,
  now: number,
): EngineDemand {
  const decayed = addPrompt(before, false, 0, now);
  const age = Math.max(now - before.since, MIN_OBSERVATION_MILLISECONDS);
  const observedFraction = 1 - decayFactor(age);
  const {large, small} = decayed;
  return {
    ...decayed,
    large: large / observedFraction,
    small: small / observedFraction,
  };
}

/** The demand of large and small prompts together. */
export function totalDemand({large, small}: EngineDemand): number {
  return large + small;
}

/** The mean number of engines that the demand keeps busy. */
export function busyEngineCount(demand: EngineDemand): number {
  return (totalDemand(demand) * Math.LN2) / DEMAND_HALF_LIFE_MILLISECONDS;
}
