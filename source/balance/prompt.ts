/**
 * Prompts, and estimates of the time that an inference engine needs for them.
 * Prefill is what delays other requests at an engine, so it is measured in
 * milliseconds; parts that are in the engine’s prefix cache need none.
 */
import type {ServiceRate} from '../servicerates/index.js';

/** A part of a prompt; it has the same id in all requests that share it. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request asks of an inference engine. */
export interface Prompt {
  readonly model: string;
  /** In order; the last one belongs to this request alone. */
  readonly parts: readonly PromptPart[];
  /** Tokens of the whole prompt. */
  readonly tokens: number;
  /** Tokens that the response is expected to have. */
  readonly output: number;
}

/** Prompt tokens that an engine prefills in a millisecond. */
const PREFILL_TOKENS_PER_MILLISECOND = 50;
/** Duration of a decoding step, which makes one token of each response. */
const DECODE_STEP_MILLISECONDS = 3.1;
/** Milliseconds by which each running response makes a step longer. */
const DECODE_STEP_MILLISECONDS_PER_RESPONSE = 0.1;
/** Fraction of its slots that a well utilized engine has in use. */
const ASSUMED_SLOT_UTILIZATION = 0.6;
/** Prompts above this size delay the responses that run beside them. */
const LARGE_PROMPT_TOKENS = 2_500;

/**
 * Milliseconds that an engine takes to prefill so many tokens, at a rate where
 * one is in use.
 */
export function estimatePrefillMilliseconds(
  tokens: number,
  rate?: ServiceRate,
): number {
  if (!rate) return tokens / PREFILL_TOKENS_PER_MILLISECOND;
  return (tokens / rate.prefillTokensPerMillisecond) * rate.workFactor;
}

/**
 * Whether the prefill of the prompt delays the responses that run beside it.
 */
export function isLargePrompt({tokens}: Prompt): boolean {
  return tokens > LARGE_PROMPT_TOKENS;
}

/**
 * The part by which prompts are routed to the same engine, so that they find it
 * cached there: the last shared one. Undefined if the prompt shares none.
 */
export function affinityPart({parts}: Prompt): PromptPart | undefined {
  return parts.length > 1 ? parts[parts.length - 2] : undefined;
}

/** The parts that other requests share: all but the last. */
export function sharedParts({parts}: Prompt): readonly PromptPart[] {
  return parts.slice(0, -1);
}

/** Tokens of the parts that other requests share. */
export function sharedTokenCount(prompt: Prompt): number {
  return sharedParts(prompt).reduce((sum, {tokens}) => sum + tokens, 0);
}

/**
 * The mean milliseconds of engine time that a request takes on an engine with
 * so many slots. The responses that run at once share each decoding step, so
 * with fewer of them each takes more of it. `missRate` is the fraction of
 * shared tokens that are not cached. `rate` is that of the engines, where rates
 * are in use.
 *
 * ```ts
 * const duration = estimateEngineMilliseconds(prompt, 64, 0.3);
 * ```
 */
export function estimateEngineMilliseconds(
  prompt: Prompt,
  slots: number,
  missRate: number,
  rate?: ServiceRate,
): number {
  const responses = Math.max(slots * ASSUMED_SLOT_UTILIZATION, 1);
  // A rate is that at the usual load, so its step has all responses in it.
  const millisecondsPerToken = rate
    ? (rate.millisecondsPerToken * rate.workFactor) / responses
    : DECODE_STEP_MILLISECONDS / responses +
      DECODE_STEP_MILLISECONDS_PER_RESPONSE;
  const cachedTokens = sharedTokenCount(prompt) * (1 - missRate);
  return (
    estimatePrefillMilliseconds(prompt.tokens - cachedTokens, rate) +
    prompt.output * millisecondsPerToken
  );
}
