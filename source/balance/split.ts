/**
 * Which engines read large prompts and which run small ones. A large prompt
 * that is read beside running answers delays each of their events, so the two
 * are kept apart: the engines are divided as the work of both is. All hosts
 * rank the engines alike, so hosts whose counts differ a little disagree about
 * one engine at most.
 */
import {pull} from './rank.js';

/** Milliseconds of engine time that each kind of prompt has asked for. */
export interface PromptWork {
  readonly large: number;
  readonly small: number;
  /** Monotonic milliseconds up to which it has faded. */
  readonly at: number;
}

/** Milliseconds after which half of the work counts no more. */
const WORK_HALF_LIFE_MILLISECONDS = 5_000;
const KEY = 'large prompts';

/** No work yet. */
export const NO_WORK: PromptWork = {large: 0, small: 0, at: 0};

/** The work after a request that asks for `time` milliseconds of an engine. */
export function afterPrompt(
  before: PromptWork,
  large: boolean,
  time: number,
  now: number,
): PromptWork {
  const kept = 0.5 ** ((now - before.at) / WORK_HALF_LIFE_MILLISECONDS);
  return {
    large: before.large * kept + (large ? time : 0),
    small: before.small * kept + (large ? 0 : time),
    at: now,
  };
}

/**
 * The ids of the engines that read large prompts; the others run small ones.
 * Where there is but one engine it does both.
 *
 * ```ts
 * const readers = largeEngines(ids, work);
 * ```
 */
export function largeEngines(
  ids: readonly string[],
  {large, small}: PromptWork,
): ReadonlySet<string> {
  if (large === 0) return new Set();
  if (small === 0 || ids.length < 2) return new Set(ids);
  const share = Math.round((ids.length * large) / (large + small));
  const count = Math.min(Math.max(share, 1), ids.length - 1);
  const ranked = [...ids].sort((a, b) => pull(KEY, b) - pull(KEY, a));
  return new Set(ranked.slice(0, count));
}

/** The work as it has faded by now. */
export function fadedWork(before: PromptWork, now: number): PromptWork {
  return afterPrompt(before, false, 0, now);
}

/** Engines that the work keeps busy, on the mean. */
export function busyEngines({large, small}: PromptWork): number {
  return ((large + small) * Math.LN2) / WORK_HALF_LIFE_MILLISECONDS;
}
