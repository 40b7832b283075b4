/**
 * The time to a first event as a line over the uncached tokens of the prompt. Its
 * start is the time that any request takes there, for the network, the admission
 * and the first tokens; its slope is the prefill. Tukey's resistant line, through
 * the medians of the outer thirds, is hardly moved by answers that have waited.
 */
import {quantileOf} from './estimate.js';

/** One first event. */
export interface FirstEventPoint {
  readonly uncachedTokens: number;
  /** Milliseconds at the usual work factor, without the expected wait. */
  readonly milliseconds: number;
}

/** The latest points; the newest last. */
export type FirstEventPoints = readonly FirstEventPoint[];

const MAX_POINTS = 90;
const MIN_POINTS = 12;
/** Difference in tokens between the outer thirds from which a slope is known. */
const MIN_SPREAD_TOKENS = 1_000;

/** The points after another one. */
export function withPoint(
  points: FirstEventPoints,
  point: FirstEventPoint,
): FirstEventPoints {
  return [...points, point].slice(-MAX_POINTS);
}

/**
 * Milliseconds to the first event of a request whose prompt is cached; undefined
 * if the points are too few or too close to each other to tell.
 *
 * ```ts
 * const base = baseMilliseconds(points);
 * ```
 */
export function baseMilliseconds(points: FirstEventPoints): number | undefined {
  if (points.length < MIN_POINTS) return undefined;
  const sorted = [...points].sort(
    (one, other) => one.uncachedTokens - other.uncachedTokens,
  );
  const third = Math.floor(sorted.length / 3);
  const low = medians(sorted.slice(0, third));
  const high = medians(sorted.slice(-third));
  const spread = high.uncachedTokens - low.uncachedTokens;
  if (spread < MIN_SPREAD_TOKENS) return undefined;
  const slope = Math.max((high.milliseconds - low.milliseconds) / spread, 0);
  return Math.max(low.milliseconds - slope * low.uncachedTokens, 0);
}

function medians(points: FirstEventPoints): FirstEventPoint {
  const tokens = points.map(({uncachedTokens}) => uncachedTokens);
  const times = points.map(({milliseconds}) => milliseconds);
  return {
    uncachedTokens: quantileOf(tokens, 0.5),
    milliseconds: quantileOf(times, 0.5),
  };
}
