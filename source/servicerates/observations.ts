/**
 * What single answers tell of an endpoint’s rates. Time that a request has
 * waited for others is no sign of a slow endpoint, so answers that have waited
 * for long, or for an unknown time, tell nothing.
 */

/** The load that an endpoint states with an answer. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes, as a multiple of the usual; absent if not stated. */
  readonly workFactor?: number;
}

/** The first event of a stream. */
export interface FirstEvent {
  /** Milliseconds from the send. */
  readonly milliseconds: number;
  /** Milliseconds of prefill that were expected to be queued at the send. */
  readonly queuedMilliseconds: number;
  /** Prompt tokens that the engine was expected to prefill. */
  readonly uncachedTokens: number;
  /** Milliseconds to the first event where the whole prompt is cached. */
  readonly baseMilliseconds: number;
  readonly workFactor: number;
  /** The load that was stated with it, if any. */
  readonly load: StatedLoad | undefined;
}

/** Prefill of fewer tokens takes little longer than a request without any. */
const MIN_UNCACHED_TOKENS = 1_000;
/** Part of the time to the first event that may be an expected wait. */
const MAX_QUEUED_FRACTION = 0.5;
/** The bounds of a sample, which no engine reaches. */
const MIN_MILLISECONDS_PER_PROMPT_TOKEN = 1e-4;
const MAX_MILLISECONDS_PER_PROMPT_TOKEN = 10;
const MIN_MILLISECONDS = 0.1;
const MAX_MILLISECONDS = 10_000;
const MAX_TOKENS_PER_EVENT = 1_000;
/** Events of a stream from which their number tells how many tokens they have. */
const MIN_EVENTS = 2;

/** Whether an endpoint has requests that wait for a slot. */
export function isOverrun(load: StatedLoad | undefined): boolean {
  return load !== undefined && (load.waiting > 0 || load.running > load.slots);
}

/**
 * Milliseconds of work up to a first event at the usual work factor; undefined if
 * the request may mostly have waited.
 */
export function firstEventWork({
  milliseconds,
  queuedMilliseconds,
  workFactor,
  load,
}: Omit<FirstEvent, 'baseMilliseconds'>): number | undefined {
  const mostlyWorked = queuedMilliseconds <= milliseconds * MAX_QUEUED_FRACTION;
  if (!mostlyWorked || isOverrun(load)) return undefined;
  return (milliseconds - queuedMilliseconds) / workFactor;
}

/**
 * Milliseconds in which the engine prefills a token of a prompt; undefined if
 * the first event does not tell.
 *
 * ```ts
 * const sample = prefillMillisecondsPerToken({milliseconds: 180, ...});
 * ```
 */
export function prefillMillisecondsPerToken(
  first: FirstEvent,
): number | undefined {
  const {uncachedTokens, baseMilliseconds} = first;
  if (uncachedTokens < MIN_UNCACHED_TOKENS) return undefined;
  const working = firstEventWork(first);
  if (working === undefined) return undefined;
  const prefill = working - baseMilliseconds;
  if (!(prefill > 0) || !Number.isFinite(prefill)) return undefined;
  return clip(
    prefill / uncachedTokens,
    MIN_MILLISECONDS_PER_PROMPT_TOKEN,
    MAX_MILLISECONDS_PER_PROMPT_TOKEN,
  );
}

/**
 * Milliseconds that an answer takes at the usual work factor and load. Undefined
 * for a duration that no answer has.
 */
export function normalMilliseconds(
  milliseconds: number,
  {workFactor, loadEffect}: {workFactor: number; loadEffect: number},
): number | undefined {
  const normal = milliseconds / (workFactor * loadEffect);
  if (!(normal > 0) || normal > MAX_MILLISECONDS) return undefined;
  return Math.max(normal, MIN_MILLISECONDS);
}

/** Tokens of an event of a whole stream; undefined if that does not tell. */
export function tokensPerEvent(
  outputTokens: number,
  events: number,
): number | undefined {
  // The last event may have fewer tokens, which matters in a short stream.
  if (events < MIN_EVENTS || !(outputTokens >= events)) return undefined;
  return Math.min(outputTokens / events, MAX_TOKENS_PER_EVENT);
}

function clip(value: number, lowest: number, highest: number): number {
  return Math.min(Math.max(value, lowest), highest);
}
