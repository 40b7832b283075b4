/** The entry that an endpoint keeps in the store. */
import * as z from 'zod';

import {addressSchema} from '../wire/index.js';

/** Longest name of a service or a zone. */
const MAX_NAME_LENGTH = 256;
/** Most requests that an endpoint may say it runs at the same time. */
const MAX_SLOTS = 1_000_000;
/** Longest cold start, an hour. */
const MAX_COLD_MILLISECONDS = 3_600_000;

/** Characters that an id may have, as it is sent as the value of a header. */
const ID_PATTERN = /^[\x21-\x7e]+$/;

/** An endpoint's entry at the time when it was read. */
export const endpointEntrySchema = z.object({
  /** Identifies one incarnation of one endpoint. */
  id: z.string().regex(ID_PATTERN, 'must be printable ASCII'),
  service: z.string().max(MAX_NAME_LENGTH),
  address: addressSchema,
  zone: z.string().max(MAX_NAME_LENGTH),
  slots: z.int().positive().max(MAX_SLOTS),
  leaving: z.boolean(),
  /** Milliseconds for which it is still in its cold start; 0 for a warm one. */
  coldFor: z.number().max(MAX_COLD_MILLISECONDS),
  /**
   * Unix milliseconds of its start; distinguishes incarnations that have the
   * same id.
   */
  born: z.int().optional(),
  /**
   * Counts what this incarnation has written, so a higher one is newer. Absent
   * where its entry does not state it.
   */
  sequence: z.int().nonnegative().optional(),
  /**
   * Version of its software. What two versions write for one request does not fit
   * together. Absent where its entry does not state it.
   */
  softwareVersion: z.string().max(MAX_NAME_LENGTH).optional(),
  /** Whether the platform may take it away at short notice. */
  reclaimable: z.boolean(),
});
export type EndpointEntry = z.infer<typeof endpointEntrySchema>;

/**
 * Stands for the software version of endpoints that state none, where `undefined`
 * would mean that the version is not known.
 */
export const UNSTATED_VERSION = '';

/**
 * The software version of an endpoint, `UNSTATED_VERSION` if its entry states none.
 *
 * ```ts
 * const isSuitable = versionOf(known.entry) === context.streamVersion;
 * ```
 */
export function versionOf({
  softwareVersion,
}: Pick<EndpointEntry, 'softwareVersion'>): string {
  return softwareVersion ?? UNSTATED_VERSION;
}

/** Returns a text that identifies one incarnation of an endpoint. */
export function endpointIncarnation({id, born}: EndpointEntry): string {
  return `${id} ${born ?? ''}`;
}
