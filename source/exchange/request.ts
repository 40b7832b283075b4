/** Parses the parts of a chat completion request that the router reads. */
import * as z from 'zod';

import {Refusal} from '../errors/index.js';

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({text: z.string().optional()})),
  z.null(),
]);

/** A chat completion request; fields that are not named here are kept. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1).max(128),
  messages: z
    .array(z.looseObject({role: z.string(), content: contentSchema.optional()}))
    .min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/**
 * Parses the body of a chat completion request. Throws a Refusal.
 *
 * ```ts
 * const {model, stream} = parseChatRequest(body);
 * ```
 */
export function parseChatRequest(body: Buffer): ChatRequest {
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch {
    throw new Refusal('malformed-request', 'not-run', 'the body is not JSON');
  }
  const parsed = chatRequestSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const detail = `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`;
  throw new Refusal('malformed-request', 'not-run', detail);
}

/** Estimated size of a token in a request body. */
const BYTES_PER_TOKEN = 4;
/** Output tokens expected of a request that sets no lower limit. */
const MAX_EXPECTED_OUTPUT_TOKENS = 128;

/**
 * Returns the number of tokens that a request is expected to cost, input and
 * output. `bytes` is the length of its body.
 */
export function estimateTokens(request: ChatRequest, bytes: number): number {
  const limit = request.max_completion_tokens ?? request.max_tokens;
  const output = Math.min(
    limit ?? MAX_EXPECTED_OUTPUT_TOKENS,
    MAX_EXPECTED_OUTPUT_TOKENS,
  );
  return bytes / BYTES_PER_TOKEN + output;
}

/**
 * Returns the text at the start of the prompt, or an empty string. Of a first
 * message that has several parts, only the first part counts.
 */
export function openingText(request: ChatRequest): string {
  const content = request.messages[0]?.content;
  if (typeof content === 'string') return content;
  return content?.[0]?.text ?? '';
}
