/**
 * What hosts tell each other about what crashes endpoints. Times are ages, since
 * hosts share no clock.
 */
import * as z from 'zod';

import {
  keyOf,
  suspectKindSchema,
  type SuspectKey,
  type SuspectKind,
} from './suspect.js';

/** Suspects that one crash report names at most. */
export const MAX_REPORTED_SUSPECTS = 64;

const ageSchema = z.number().nonnegative();

/** How a message names a suspect; hosts of earlier builds send parts only. */
const suspectShape = {
  /** The id of a part, or the fingerprint of a request. */
  part: z.string(),
  kind: suspectKindSchema.default('part'),
};
interface SuspectName {
  readonly part: string;
  readonly kind: SuspectKind;
}

/** The key of a suspect that a message names. */
export function keyFromMessage({kind, part: id}: SuspectName): SuspectKey {
  return keyOf({kind, id});
}

/** A suspect whose request a crash cut before its answer had begun. */
const suspectSchema = z.object({
  ...suspectShape,
  /** Name of the team whose request it is; empty for a part. */
  team: z.string().default(''),
  /** Milliseconds since the request was sent to the endpoint. */
  sentAgo: ageSchema,
  /** Index of a part in its prompt; 0 for a request. */
  position: z.number().int().nonnegative(),
});

/** The crash of an endpoint, as one host sees it. */
export const crashReportSchema = z.object({
  /** Identifies the incarnation of the endpoint. */
  endpoint: z.string(),
  /** Milliseconds since the crash. */
  ago: ageSchema,
  suspects: z.array(suspectSchema).max(MAX_REPORTED_SUSPECTS),
});
export type CrashReport = z.infer<typeof crashReportSchema>;

/** A suspect with which an endpoint has begun an answer. */
export const begunSuspectSchema = z.object({
  ...suspectShape,
  /** Milliseconds since the answer began. */
  ago: ageSchema,
});
export type BegunSuspect = z.infer<typeof begunSuspectSchema>;

/** A suspect that hosts block, or have blocked. */
export const blocklistEntrySchema = z.object({
  ...suspectShape,
  /** Name of the team whose request it is; empty for a part. */
  team: z.string().default(''),
  /** Increases with each change; the entry with the highest one holds. */
  revision: z.number().int().positive(),
  isBlocked: z.boolean(),
  /**
   * Milliseconds until one request with the suspect may be tried; negative after
   * that, or since the suspect is not blocked any more.
   */
  reviewIn: z.number(),
});
export type BlocklistEntry = z.infer<typeof blocklistEntrySchema>;
