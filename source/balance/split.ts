/**
 * Which engines read large prompts and which run small ones. A large prompt
 * that is read beside running answers delays each of their events, so the two
 * are kept apart: the engines are divided as the work of both is. All hosts
 * rank the engines alike, so hosts whose counts differ a little disagree about
 * one engine at most.
 */
import {rankedFor} from './rank.js';

/** Milliseconds of engine time that each kind of prompt has asked for. */
export interface PromptWork {
  readonly large: number;
  readonly small: number;
  /** Monotonic milliseconds up to which it has faded. */
  readonly at: number;
  /** Monotonic milliseconds of the first of it. */
  readonly since: number;
}

/** Milliseconds after which half of the work counts no more. */
const WORK_HALF_LIFE_MILLISECONDS = 5_000;
/** Milliseconds of arrivals that the first estimate of the work rests on. */
const FIRST_MILLISECONDS = 3_000;
const KEY = 'large prompts';

/** No work yet. */
export const NO_WORK: PromptWork = {
  large: 0,
  small: 0,
  at: 0,
  since: Infinity,
};

/** The work after a request that asks for `time` milliseconds of an engine. */
export function afterPrompt(
  before: PromptWork,
  large: boolean,
  time: number,
  now: number,
): PromptWork {
  const kept = fading(now - before.at);
  return {
    large: before.large * kept + (large ? time : 0),
    small: before.small * kept + (large ? 0 : time),
    at: now,
    since: Math.min(before.since, now),
  };
}

/** What is left of work after a time. */
function fading(duration: number): number {
  return 0.5 ** (duration / WORK_HALF_LIFE_MILLISECONDS);
}

/** How far the share may be from the present count before that changes. */
const COUNT_SLACK = 0.7;

/**
 * How many engines read large prompts; the others run small ones. Where there
 * is but one engine it does both. The count that stands changes only when the
 * share of the work has clearly moved, since an engine that changes sides
 * leaves behind the parts that it keeps.
 *
 * ```ts
 * const count = largeCount(6, work, 4);
 * ```
 */
export function largeCount(
  engines: number,
  {large, small}: PromptWork,
  standing: number,
): number {
  if (large === 0) return 0;
  if (small === 0 || engines < 2) return engines;
  const share = (engines * large) / (large + small);
  const kept = Math.abs(share - standing) < COUNT_SLACK;
  const count = kept ? standing : Math.round(share);
  return Math.min(Math.max(count, 1), engines - 1);
}

/** The engines that read large prompts: the first in rank. */
export function largeEngines(
  ids: readonly string[],
  count: number,
): ReadonlySet<string> {
  if (count === 0) return new Set();
  return new Set(rankedFor(KEY, ids).slice(0, count));
}

/**
 * The work as it stands by now. What came since the first request is taken for
 * what comes always, or a host would long see too little after it has started.
 */
export function steadyWork(before: PromptWork, now: number): PromptWork {
  const faded = afterPrompt(before, false, 0, now);
  const age = Math.max(now - before.since, FIRST_MILLISECONDS);
  const seen = 1 - fading(age);
  const {large, small} = faded;
  return {...faded, large: large / seen, small: small / seen};
}

/** The work of both kinds. */
export function totalWork({large, small}: PromptWork): number {
  return large + small;
}

/** Engines that the work keeps busy, on the mean. */
export function busyEngines(work: PromptWork): number {
  return (totalWork(work) * Math.LN2) / WORK_HALF_LIFE_MILLISECONDS;
}
