/**
 * Whether the answers of a new version are worse than those of the old ones on a
 * route. The old version is the baseline, so that what troubles both counts for
 * neither.
 */
import {
  lineOf,
  type Evidence,
  type EvidenceGroup,
  type EvidenceLine,
} from './evidence.js';

const NEW_GROUPS: readonly EvidenceGroup[] = ['new', 'new-even', 'new-odd'];
const HALVES: readonly EvidenceGroup[] = ['new-even', 'new-odd'];
const OLD_GROUPS: readonly EvidenceGroup[] = ['old'];

/** Failures below which nothing is concluded. */
const MIN_FAILURES = 5;
/** Slow answers below which nothing is concluded. */
const MIN_SLOW_ANSWERS = 5;
/** Answers of the old version without which speeds are not compared. */
const MIN_BASELINE_ANSWERS = 20;
/**
 * Buckets, four to an octave, by which answers of a good version may be slower:
 * 2.4 times, which leaves room for caches that are cold.
 */
const TOLERATED_SHIFT_BUCKETS = 5;
/** Share of failures that is taken for usual where none has been seen. */
const USUAL_FAILURE_SHARE = 0.005;
/** How much more of a kind of answer than the baseline is taken for chance. */
const TOLERATED_RATIO = 1.5;
/**
 * Probability of chance below which a difference counts. Some thousand tests are
 * made in the course of a roll-out.
 */
const SIGNIFICANCE = 1e-5;
/** Answers of each half from which a fault must show in both of them. */
const MIN_HALF_ANSWERS = 6;
/** Bad answers from which a fault of one half counts while the other has few. */
const MIN_LONE_BAD_ANSWERS = 20;
/** The same where the other half has none. */
const MIN_SINGLE_BAD_ANSWERS = 8;
/** Part of the share of bad answers that the better half must have. */
const MIN_HALF_RATIO = 0.25;

/** A route on which the new version is worse. */
export interface Fault {
  /** Empty where it shows in all routes together. */
  readonly route: string;
  readonly kind: 'failures' | 'slow-first' | 'slow-pace';
  readonly bad: number;
  readonly answers: number;
}

/**
 * Returns the first fault that evidence shows of the new version; undefined if
 * there is none. `baselines` is evidence of other times; the old version's worst
 * time counts as usual.
 *
 * ```ts
 * const fault = findFault(recent, [total]);
 * if (fault) revert(fault);
 * ```
 */
export function findFault(
  evidence: Evidence,
  baselines: readonly Evidence[] = [],
): Fault | undefined {
  // A fault may show only in all routes together, where each has few answers.
  for (const route of [...routesOf(evidence), undefined]) {
    const fault = faultOn(route, evidence, baselines);
    if (fault) return fault;
  }
  return undefined;
}

/** The routes that evidence names. */
export function routesOf(evidence: Evidence): string[] {
  return [...new Set(evidence.map(({route}) => route))];
}

/** How many answers of the new version there are on a route. */
export function newAnswers(evidence: Evidence, route: string): number {
  return lineOf(evidence, route, NEW_GROUPS).answers;
}

/** How many answers of the old version there are on a route. */
export function oldAnswers(evidence: Evidence, route: string): number {
  return lineOf(evidence, route, OLD_GROUPS).answers;
}

/**
 * Whether there is doubt about the new version: some failures, and more than the
 * baseline has, though too few for a finding.
 */
export function isDoubtful(evidence: Evidence): boolean {
  return [...routesOf(evidence), undefined].some(route => {
    const fresh = lineOf(evidence, route, NEW_GROUPS);
    const usual = failureShare(lineOf(evidence, route, OLD_GROUPS));
    return fresh.failures > 1 && fresh.failures > 3 * usual * fresh.answers;
  });
}

function faultOn(
  only: string | undefined,
  evidence: Evidence,
  baselines: readonly Evidence[],
): Fault | undefined {
  const fresh = lineOf(evidence, only, NEW_GROUPS);
  const {route, answers} = fresh;
  if (answers < MIN_FAILURES) return undefined;
  // The other baselines are looked at only once the first one shows a fault.
  for (const others of [[], baselines]) {
    const fault = compare(only, evidence, [evidence, ...others]);
    if (!fault) return undefined;
    if (others === baselines) return {...fault, route, answers};
  }
  return undefined;
}

function compare(
  only: string | undefined,
  evidence: Evidence,
  baselines: readonly Evidence[],
): Pick<Fault, 'kind' | 'bad'> | undefined {
  const fresh = lineOf(evidence, only, NEW_GROUPS);
  const olds = baselines.map(each => lineOf(each, only, OLD_GROUPS));
  const halves = HALVES.map(group => lineOf(evidence, only, [group]));
  const usual = Math.max(...olds.map(failureShare));
  const {failures, answers} = fresh;
  const hasFailed =
    isBeyondChance(failures, answers * usual, MIN_FAILURES) &&
    showsInHalves(halves.map(half => [half.failures, half.answers]));
  if (hasFailed) return {kind: 'failures', bad: failures};
  for (const measure of ['first', 'pace'] as const) {
    const bad = slowAnswers(fresh, halves, olds, measure);
    if (bad > 0) return {kind: `slow-${measure}`, bad};
  }
  return undefined;
}

function failureShare({failures, answers}: EvidenceLine): number {
  return Math.max((failures + 0.5) / (answers + 100), USUAL_FAILURE_SHARE);
}

/**
 * The answers above a duration of which the old version has too few above a
 * duration that is shorter by the tolerated shift; 0 if that holds for none.
 */
function slowAnswers(
  fresh: EvidenceLine,
  halves: readonly EvidenceLine[],
  olds: readonly EvidenceLine[],
  measure: 'first' | 'pace',
): number {
  const count = sum(fresh[measure]);
  const usable = olds.filter(old => sum(old[measure]) >= MIN_BASELINE_ANSWERS);
  if (count < MIN_SLOW_ANSWERS || usable.length === 0) return 0;
  const tails = usable.map(old => tailsOf(old[measure]));
  const freshTails = tailsOf(fresh[measure]);
  for (let bucket = 0; bucket < freshTails.length; bucket++) {
    const least = bucket + TOLERATED_SHIFT_BUCKETS;
    const bad = freshTails[least] ?? 0;
    if (bad < MIN_SLOW_ANSWERS) return 0;
    const usual = Math.max(
      ...tails.map(tail => ((tail[bucket] ?? 0) + 0.5) / ((tail[0] ?? 0) + 50)),
    );
    if (!isBeyondChance(bad, count * usual, MIN_SLOW_ANSWERS)) continue;
    const parts = halves.map((half): [number, number] => [
      sum(half[measure], least),
      sum(half[measure]),
    ]);
    if (showsInHalves(parts)) return bad;
  }
  return 0;
}

/** For each bucket, the answers in it and in all later ones. */
function tailsOf(buckets: readonly number[]): number[] {
  const tails = [...buckets];
  for (let index = tails.length - 2; index >= 0; index--)
    tails[index] = (tails[index] ?? 0) + (tails[index + 1] ?? 0);
  return tails;
}

/** Whether a fault is not that of one half alone, if both have answered. */
function showsInHalves(
  halves: ReadonlyArray<readonly [bad: number, answers: number]>,
): boolean {
  // Few endpoints are not counted in halves.
  if (halves.every(([, answers]) => answers === 0)) return true;
  if (halves.some(([, answers]) => answers < MIN_HALF_ANSWERS)) {
    const bad = halves.reduce((total, [count]) => total + count, 0);
    const isLone = halves.some(([, answers]) => answers === 0);
    return bad >= (isLone ? MIN_SINGLE_BAD_ANSWERS : MIN_LONE_BAD_ANSWERS);
  }
  const shares = halves.map(([bad, answers]) => bad / answers);
  return Math.min(...shares) >= Math.max(...shares) * MIN_HALF_RATIO;
}

function isBeyondChance(
  count: number,
  expected: number,
  least: number,
): boolean {
  if (count < least) return false;
  return poissonTail(count, expected * TOLERATED_RATIO) < SIGNIFICANCE;
}

/**
 * An upper bound of the probability of at least `count` events where `expected`
 * are usual (Chernoff); 1 where that is no more than usual.
 */
function poissonTail(count: number, expected: number): number {
  if (count <= expected) return 1;
  return Math.exp(count - expected + count * Math.log(expected / count));
}

function sum(buckets: readonly number[], from = 0): number {
  let total = 0;
  for (let index = from; index < buckets.length; index++)
    total += buckets[index] ?? 0;
  return total;
}
