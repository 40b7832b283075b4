/**
 * How long work takes at an endpoint at present, as a multiple of what its rates
 * say. It follows from what the endpoint states and, between its statements,
 * from the durations of its answers. It changes many times a second, so what is
 * known of it soon gives way to the endpoint’s usual factor.
 */

/** What is known of the work factor of an endpoint, as an immutable value. */
export interface WorkFactor {
  /** Mean of the stated factors; 1 before the first. */
  readonly usual: number;
  /** How many were stated, as far as that weighs in the mean. */
  readonly statements: number;
  /** The latest factor that was stated or observed. */
  readonly latest: number;
  /** Monotonic milliseconds of the latest factor; -Infinity for none. */
  readonly latestAt: number;
  /** Monotonic milliseconds of the latest statement; -Infinity for none. */
  readonly statedAt: number;
  /** The factors that the last answers show since the latest statement. */
  readonly observed: readonly ObservedFactor[];
}

/** The factor that an answer, or an event of one, shows. */
interface ObservedFactor {
  readonly factor: number;
  readonly at: number;
}

/** The bounds of a work factor, whatever is stated or observed. */
export const MIN_WORK_FACTOR = 0.1;
export const MAX_WORK_FACTOR = 10;

/** Age up to which the latest factor holds in full. */
const FULL_AGE_MILLISECONDS = 150;
/** Age from which the usual factor holds instead. */
export const MAX_FACTOR_AGE_MILLISECONDS = 500;
/** Statements over which the usual factor is averaged. */
const AVERAGED_STATEMENTS = 16;
/** Ratio to the mean up to which a statement moves it. */
const MAX_RATIO_TO_USUAL = 3;
/** Observations of which the middle one counts. */
const MAX_OBSERVED = 3;
/** Age up to which an observation is among these. */
const MAX_OBSERVED_AGE_MILLISECONDS = 300;

/** The work factor of an endpoint that has stated none. */
export const UNKNOWN_WORK_FACTOR: WorkFactor = {
  usual: 1,
  statements: 0,
  latest: 1,
  latestAt: -Infinity,
  statedAt: -Infinity,
  observed: [],
};

/**
 * The work factor after a statement of the endpoint.
 *
 * ```ts
 * factor = afterStatement(factor, 2.5, clock.monotonic());
 * ```
 */
export function afterStatement(
  before: WorkFactor,
  stated: number,
  now: number,
): WorkFactor {
  const factor = withinBounds(stated);
  const statements = Math.min(before.statements + 1, AVERAGED_STATEMENTS);
  const {usual} = before;
  const counted =
    before.statements === 0
      ? factor
      : Math.min(
          Math.max(factor, usual / MAX_RATIO_TO_USUAL),
          usual * MAX_RATIO_TO_USUAL,
        );
  return {
    usual: usual + (counted - usual) / statements,
    statements,
    latest: factor,
    latestAt: now,
    statedAt: now,
    observed: [],
  };
}

/**
 * The work factor after an answer, or an event of one, that took so many times
 * what the rates of the endpoint say. One alone proves nothing: a prefill beside
 * a stream delays one event. The middle one of the last three counts, or the
 * one nearer to the usual factor of two.
 */
export function afterObservation(
  before: WorkFactor,
  ratio: number,
  now: number,
): WorkFactor {
  const factor = withinBounds(ratio);
  const observed = [...before.observed, {factor, at: now}]
    .filter(({at}) => now - at <= MAX_OBSERVED_AGE_MILLISECONDS)
    .slice(-MAX_OBSERVED);
  const latest = middleFactor(observed, before.usual);
  if (latest === undefined) return {...before, observed};
  return {...before, observed, latest, latestAt: now};
}

/**
 * The work factor at a time in monotonic milliseconds: the latest one, which
 * with age gives way to the usual one.
 */
export function workFactorAt(
  {usual, latest, latestAt}: WorkFactor,
  now: number,
): number {
  const fadeDuration = MAX_FACTOR_AGE_MILLISECONDS - FULL_AGE_MILLISECONDS;
  const left = (MAX_FACTOR_AGE_MILLISECONDS - (now - latestAt)) / fadeDuration;
  if (left <= 0) return usual;
  return usual + (latest - usual) * Math.min(left, 1);
}

/**
 * The factor by which durations are divided so that they tell the endpoint’s
 * rates: the stated one while it is fresh, otherwise the usual one. Observed
 * factors are left out, since they are derived from the rates.
 */
export function statedFactorAt(factor: WorkFactor, now: number): number {
  const isFresh = now - factor.statedAt <= MAX_OBSERVED_AGE_MILLISECONDS;
  const isLatest = factor.latestAt === factor.statedAt;
  return isFresh && isLatest ? factor.latest : factor.usual;
}

function middleFactor(
  observed: readonly ObservedFactor[],
  usual: number,
): number | undefined {
  const factors = observed.map(({factor}) => factor);
  if (factors.length < 2) return undefined;
  if (factors.length === MAX_OBSERVED)
    return factors.sort((one, other) => one - other)[1];
  const distance = (factor: number) => Math.abs(Math.log(factor / usual));
  return factors.sort((one, other) => distance(one) - distance(other))[0];
}

function withinBounds(factor: number): number {
  return Math.min(Math.max(factor, MIN_WORK_FACTOR), MAX_WORK_FACTOR);
}
