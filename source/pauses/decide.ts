/**
 * Decides which prompts may be prefilled beside which streams. An engine
 * prefills between the tokens of its streams, so prefill lengthens the pause
 * between two of their events.
 */

/** What a request would meet, and cause, at one engine, in milliseconds. */
export interface PauseSituation {
  /** Smallest pause that the streams there allow; Infinity without streams. */
  readonly allowedPause: number;
  /** Longest pause of the request’s own stream; Infinity without one. */
  readonly ownPause: number;
  /** Time between two events there without prefill. */
  readonly usualGap: number;
  /** Prefill that is queued there. */
  readonly queued: number;
  /** Prefill that the request adds. */
  readonly prefill: number;
  /** Whether the engine is set aside for prompts of the other size. */
  readonly isForOtherSize: boolean;
}

/**
 * Cost of exceeding a pause at an engine for prompts of the other size: more than
 * that of a full engine, and less than that of one where the prompt has failed.
 * At an engine for its own size a prompt only pays for the excess. A fixed cost
 * there sends prompts to engines that have to prefill their shared parts again,
 * which exceeded two to three times as many pauses at 1.4 times the calm load.
 */
const EXCEEDED_COST_MILLISECONDS = 3_000;
/**
 * Cost of an engine that is set aside for prompts of the other size. Choices are
 * spread over smaller differences, which would undo the split.
 */
const OTHER_SIZE_COST_MILLISECONDS = 200;

/**
 * What it costs to run a request at an engine, for the sake of pauses. Prefill
 * that does not fit into the room of one gap exceeds the pause of a stream.
 *
 * ```ts
 * const cost = pauseCost({...situation, queued: 90, prefill: 31});
 * ```
 */
export function pauseCost(situation: PauseSituation): number {
  const {usualGap, queued, prefill, isForOtherSize} = situation;
  const excessForOthers = usualGap + queued + prefill - situation.allowedPause;
  const excessForOwn = usualGap + queued - situation.ownPause;
  const excess = Math.max(excessForOthers, excessForOwn, 0);
  if (!isForOtherSize) return excess;
  return (
    OTHER_SIZE_COST_MILLISECONDS +
    (excess > 0 ? EXCEEDED_COST_MILLISECONDS + excess : 0)
  );
}

/**
 * Whether a prompt delays streams so much that they are kept apart: two of its
 * kind, with nothing cached, do not fit into one gap of a stream.
 *
 * ```ts
 * const isLarge = isLargeForPauses({prefill: 100, pause: 150, usualGap: 32});
 * ```
 */
export function isLargeForPauses({
  prefill,
  pause,
  usualGap,
}: {
  prefill: number;
  pause: number;
  usualGap: number;
}): boolean {
  return 2 * prefill > pause - usualGap;
}
