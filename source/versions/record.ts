/** Records of the streams that have begun, as hosts append them to the store. */
import {decode, encode} from 'cbor-x';
import * as z from 'zod';

/** Streams that have begun at one version of a service. */
export const begunGroupSchema = z.object({
  service: z.string(),
  version: z.string(),
  /** Whether several versions of the service served side by side. */
  isMixed: z.boolean(),
  /** Ids of the callers' attempts. */
  attempts: z.array(z.string()),
});
export type BegunGroup = z.infer<typeof begunGroupSchema>;

/** The streams that have begun since the last record of their host. */
export const begunStreamsSchema = z.object({
  kind: z.literal('streams-begun'),
  /** Unix milliseconds. */
  at: z.number(),
  groups: z.array(begunGroupSchema),
});
export type BegunStreamsRecord = z.infer<typeof begunStreamsSchema>;

/** Encodes a record. */
export function encodeBegunStreams(record: BegunStreamsRecord): Buffer {
  return encode(record);
}

/** Decodes a record; undefined where it is malformed. */
export function decodeBegunStreams(
  bytes: Buffer,
): BegunStreamsRecord | undefined {
  try {
    return begunStreamsSchema.parse(decode(bytes));
  } catch {
    return undefined;
  }
}
