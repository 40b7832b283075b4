/**
 * The records that the platform's log carries. Offsets give them an order that
 * all readers share. A record that does not fit the schema is counted and
 * passed over by every host alike.
 */
import {z} from 'zod';

import {
  configurationSnapshotSchema,
  releaseNoteSchema,
} from '../configuration/index.js';

const claimSchema = z.object({
  /** Digest of team, route and idempotency key. */
  id: z.string(),
  bodyDigest: z.string(),
});

const settlementSchema = z.object({
  id: z.string(),
  outcome: z.enum(['ran', 'not-run', 'unknown']),
  status: z.number().int(),
  contentType: z.string(),
  /** Base64; absent where the answer was too large to keep. */
  body: z.string().optional(),
});

export const logRecordSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('release-note'), note: releaseNoteSchema}),
  z.object({
    kind: z.literal('snapshot'),
    snapshot: configurationSnapshotSchema,
  }),
  z.object({
    kind: z.literal('claims'),
    incarnation: z.string(),
    claims: z.array(claimSchema),
    settlements: z.array(settlementSchema),
  }),
  z.object({
    kind: z.literal('lease'),
    lease: z.string(),
    holder: z.string(),
    action: z.enum(['claim', 'renew', 'release']),
    /** Offset of the lease record that this one follows; -1 for the first. */
    follows: z.number().int(),
    /** Milliseconds for which the holder may act. */
    duration: z.number().int().positive(),
  }),
]);
export type LogRecord = z.infer<typeof logRecordSchema>;

/** A record as read; `value` is unchecked until a host has parsed it. */
export interface LogEntry {
  readonly offset: number;
  readonly value: unknown;
}

/** A run of entries; `end` is the offset that the next record will get. */
export interface LogPage {
  readonly entries: readonly LogEntry[];
  readonly first: number;
  readonly end: number;
}
