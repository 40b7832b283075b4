/**
 * What hosts tell each other about prompt parts that crash endpoints. Times are
 * ages, since hosts share no clock.
 */
import * as z from 'zod';

/** Parts that one crash report names at most. */
export const MAX_REPORTED_SUSPECTS = 64;
/** Entries of the blocklist that hosts exchange at most. */
export const MAX_EXCHANGED_ENTRIES = 64;

const ageSchema = z.number().nonnegative();

/** A part of a request that a crash cut before its answer had begun. */
const suspectSchema = z.object({
  part: z.string(),
  /** Milliseconds since the request was sent to the endpoint. */
  sentAgo: ageSchema,
  /** Index of the part in its prompt. */
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

/** A part with which an endpoint has begun an answer. */
export const begunPartSchema = z.object({
  part: z.string(),
  /** Milliseconds since the answer began. */
  ago: ageSchema,
});
export type BegunPart = z.infer<typeof begunPartSchema>;

/** A part that hosts block, or have blocked. */
export const blocklistEntrySchema = z.object({
  part: z.string(),
  /** Increases with each change; the entry with the highest one holds. */
  revision: z.number().int().positive(),
  isBlocked: z.boolean(),
  /**
   * Milliseconds until one request with the part may be tried; negative after
   * that, or since the part is not blocked any more.
   */
  reviewIn: z.number(),
});
export type BlocklistEntry = z.infer<typeof blocklistEntrySchema>;
