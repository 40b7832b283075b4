/**
 * The records that the platform's log carries. Offsets give them an order that
 * all readers share. A record that does not fit the schema is counted and
 * passed over by every host alike.
 */
import * as z from 'zod';

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

const figureSchema = z.object({
  team: z.string(),
  requests: z.number(),
  tokens: z.number(),
});

/** One process's usage in one window, as it is copied to others. */
export const sheetSchema = z.object({
  region: z.string(),
  window: z.number().int(),
  incarnation: z.string(),
  sequence: z.number().int(),
  /** Sequence that the copy builds on; 0 for a full one. */
  since: z.number().int(),
  /** Whether the process will add nothing to it any more. */
  sealed: z.boolean(),
  figures: z.array(figureSchema),
});
export type Sheet = z.infer<typeof sheetSchema>;

const includesSchema = z.array(
  z.object({incarnation: z.string(), sequence: z.number().int()}),
);

/** Everything that follows from the log up to an offset, but for claims. */
export const snapshotSchema = z.object({
  /** Offset of the last entry that it covers. */
  covers: z.number().int(),
  configuration: configurationSnapshotSchema,
  leases: z.array(
    z.object({
      lease: z.string(),
      offset: z.number().int(),
      holder: z.string(),
      fence: z.number().int(),
      released: z.boolean(),
      token: z.number().int(),
      duration: z.number().int(),
    }),
  ),
  usage: z.array(
    z.object({
      region: z.string(),
      closedThrough: z.number().int(),
      windows: z.array(
        z.object({
          region: z.string(),
          window: z.number().int(),
          figures: z.array(figureSchema),
          includes: includesSchema,
          reported: z.boolean(),
        }),
      ),
    }),
  ),
});
export type Snapshot = z.infer<typeof snapshotSchema>;

export const logRecordSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('release-note'), note: releaseNoteSchema}),
  z.object({
    kind: z.literal('snapshot'),
    snapshot: snapshotSchema,
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
    /** Tells this record from others of the same holder. */
    token: z.number().int(),
    /** Milliseconds for which the holder may act. */
    duration: z.number().int().positive(),
  }),
  z.object({
    kind: z.literal('usage-freeze'),
    region: z.string(),
    window: z.number().int(),
    holder: z.string(),
    fence: z.number().int(),
    figures: z.array(figureSchema),
    includes: includesSchema,
  }),
  z.object({
    kind: z.literal('usage-sheets'),
    sheets: z.array(sheetSchema),
  }),
  z.object({
    kind: z.literal('usage-reported'),
    region: z.string(),
    window: z.number().int(),
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
