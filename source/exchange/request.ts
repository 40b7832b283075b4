/** The parts of a chat completion request that the router reads. */
import * as z from 'zod';

import {Refusal} from '../errors/index.js';

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({text: z.string().optional()})),
  z.null(),
]);

/** A chat completion request; what is not named passes through. */
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

const BYTES_PER_TOKEN = 4;
const OUTPUT_TOKENS_EXPECTED = 128;

/** Tokens that a request is expected to cost. */
export function estimateOf(request: ChatRequest, bytes: number): number {
  const limit = request.max_completion_tokens ?? request.max_tokens;
  const output = Math.min(
    limit ?? OUTPUT_TOKENS_EXPECTED,
    OUTPUT_TOKENS_EXPECTED,
  );
  return bytes / BYTES_PER_TOKEN + output;
}

/** The text that a prompt opens with. */
export function openingOf(request: ChatRequest): string {
  const content = request.messages[0]?.content;
  if (typeof content === 'string') return content;
  return content?.[0]?.text ?? '';
}
