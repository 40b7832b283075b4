/**
 * How much work a request brings to an endpoint. Reading a prompt is what
 * delays others at a model engine, so it is counted in milliseconds of reading;
 * parts that an engine keeps in its memory need not be read again.
 */

/** A part of a prompt; requests that share it name it alike. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request asks of a model engine. */
export interface Prompt {
  readonly model: string;
  /** In order; the last one is the request's own. */
  readonly parts: readonly PromptPart[];
  /** Tokens of the whole prompt. */
  readonly tokens: number;
  /** Tokens that the answer is expected to have. */
  readonly output: number;
}

/** Prompt tokens that an engine reads in a millisecond. */
const READ_TOKENS_PER_MILLISECOND = 50;
/** Milliseconds of an engine's step, which makes a token of each answer. */
const STEP_MILLISECONDS = 3.1;
/** Milliseconds by which each answer that runs makes a step longer. */
const STEP_MILLISECONDS_PER_ANSWER = 0.1;
/** Share of an engine's slots that are taken where it is well used. */
const USED_SHARE = 0.6;
/** Prompts above this many tokens hold up the answers that run beside them. */
const LARGE_PROMPT_TOKENS = 2_500;

/** Milliseconds that an engine takes to read so many tokens. */
export function readingTime(tokens: number): number {
  return tokens / READ_TOKENS_PER_MILLISECOND;
}

/** Whether reading the prompt holds up the answers that run beside it. */
export function isLarge({tokens}: Prompt): boolean {
  return tokens > LARGE_PROMPT_TOKENS;
}

/** The part by which a prompt finds its way back to an engine that keeps it. */
export function sharedPart({parts}: Prompt): PromptPart | undefined {
  return parts.length > 1 ? parts[parts.length - 2] : undefined;
}

/** The parts that other requests share. */
export function sharedParts({parts}: Prompt): readonly PromptPart[] {
  return parts.slice(0, -1);
}

/** Tokens of the parts that other requests share. */
export function sharedTokens(prompt: Prompt): number {
  return sharedParts(prompt).reduce((sum, {tokens}) => sum + tokens, 0);
}

/**
 * Milliseconds that a request takes up of an engine with so many slots, on the
 * mean. The fewer answers share a step, the more of it each takes up. `missed`
 * is the share of shared parts that engines have to read all the same.
 *
 * ```ts
 * const work = engineTime(prompt, 64, 0.3);
 * ```
 */
export function engineTime(
  prompt: Prompt,
  slots: number,
  missed: number,
): number {
  const answers = Math.max(slots * USED_SHARE, 1);
  const token = STEP_MILLISECONDS / answers + STEP_MILLISECONDS_PER_ANSWER;
  const spared = sharedTokens(prompt) * (1 - missed);
  return readingTime(prompt.tokens - spared) + prompt.output * token;
}
