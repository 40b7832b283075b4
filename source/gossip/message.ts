/**
 * The messages between the hosts of a platform. Each is validated against its
 * schema when it arrives; one that does not match is counted and discarded.
 */
import * as z from 'zod';

import {sheetSchema} from '../platform/index.js';
import {
  begunSuspectSchema,
  blocklistEntrySchema,
  crashReportSchema,
} from '../quarantine/index.js';
import {rolloutReportSchema, rolloutShareSchema} from '../rollout/index.js';
import {MAX_RATE_REPORTS, rateReportSchema} from '../servicerates/index.js';
import {begunGroupSchema} from '../versions/index.js';
import {addressSchema} from '../wire/index.js';

/** The name, address and incarnation of a host. */
export const hostAddressSchema = z.object({
  name: z.string(),
  /**
   * Unix milliseconds at which the host was started; increases with each
   * incarnation.
   */
  started: z.number(),
  address: addressSchema,
  zone: z.string(),
});
export type HostAddress = z.infer<typeof hostAddressSchema>;

/** Returns a text that identifies one incarnation of a host. */
export function incarnationOf({name, started}: HostAddress): string {
  return `${name} ${started}`;
}

/** The load that a host has at one endpoint. */
const endpointLoadSchema = z.object({
  id: z.string(),
  requests: z.number(),
  /** Milliseconds of prefill that wait there. */
  reading: z.number(),
});

/**
 * Engine time in milliseconds that callers have recently requested of a
 * service.
 */
const serviceDemandSchema = z.object({
  service: z.string(),
  large: z.number(),
  small: z.number(),
});

/** What a response of an endpoint states about its limit. */
const limitStatementSchema = z.object({
  id: z.string(),
  /** Requests a second; absent where it names no limit. */
  rate: z.number().positive().optional(),
  /** Milliseconds since the response. */
  ago: z.number().nonnegative(),
});

/** An offset in a topic of the store. */
const offsetSchema = z.number().int().nonnegative();
/** The store's era, within which offsets are compared; older hosts send none. */
const eraSchema = z.number().int().nonnegative().optional();

/** The offset up to which a host knows a topic. */
const topicPositionSchema = z.object({
  topic: z.string(),
  position: offsetSchema,
  era: eraSchema,
});
export type TopicPosition = z.infer<typeof topicPositionSchema>;

/** The heartbeat of a host: what it reports about itself, once per period. */
export const pulseSchema = z.object({
  kind: z.literal('pulse'),
  from: hostAddressSchema,
  /** Numbers the sender's pulses to this receiver. */
  sequence: z.number().int(),
  /**
   * Sequence number of the last pulse that the sender has received from this
   * receiver, as an acknowledgement; 0 for none.
   */
  heard: z.number().int(),
  /** Milliseconds until the next pulse. */
  period: z.number(),
  /** Unix milliseconds as the sender has it; older hosts send none. */
  time: z.number().optional(),
  /**
   * Monotonic milliseconds since the sender's start, by which a pulse that arrives
   * late is told from a newer one; older hosts send none.
   */
  uptime: z.number().nonnegative().optional(),
  leaving: z.boolean(),
  /**
   * False while nobody has told the sender who the other hosts are; older hosts
   * never say so.
   */
  confirmed: z.literal(false).optional(),
  /** Whether the sender reads compressed values; older hosts do not. */
  inflates: z.boolean().optional(),
  positions: z.array(topicPositionSchema),
  uses: z.array(endpointLoadSchema),
  work: z.array(serviceDemandSchema),
  /** Endpoints that the sender cannot reach. */
  unreachable: z.array(z.string()),
  /** Parts of prompts that engines have recently cached for the sender. */
  kept: z.array(z.object({part: z.string(), endpoint: z.string()})),
  /**
   * Usage sheets that may not be in the store yet; empty except to the host
   * that keeps their replica.
   */
  sheets: z.array(sheetSchema),
  /** Some of what the sender blocks; older hosts send none. */
  blocked: z.array(blocklistEntrySchema).default([]),
  /** Limits that endpoints have named to the sender; older hosts send none. */
  limits: z.array(limitStatementSchema).default([]),
  /**
   * From which usage window on the store lacks no freeze in its era; absent while
   * it has never come back from a copy.
   */
  certainUsage: z
    .object({era: z.number().int(), window: z.number().int()})
    .optional(),
  /**
   * Rates of endpoints that the sender has learned; absent where none has
   * changed, and from older hosts. A malformed one must not lose the pulse.
   */
  rates: z.array(rateReportSchema).max(MAX_RATE_REPORTS).optional().catch([]),
  /** Other hosts that the sender knows; empty in most pulses. */
  hosts: z.array(hostAddressSchema),
});
export type Pulse = z.infer<typeof pulseSchema>;

const recordsRequestSchema = z.object({
  kind: z.literal('wanted'),
  from: hostAddressSchema,
  topic: z.string(),
  /** The first offset that is requested. */
  position: offsetSchema,
  era: eraSchema,
});

const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array);

const recordsSchema = z.object({
  kind: z.literal('records'),
  from: hostAddressSchema,
  topic: z.string(),
  records: z.array(
    z.object({
      key: z.string(),
      value: bytesSchema.optional(),
      /** The value in raw DEFLATE, only to hosts whose pulses allow it. */
      deflated: bytesSchema.optional(),
      offset: offsetSchema,
    }),
  ),
  /**
   * Offset from which on no record before the end is missing; older hosts send
   * none.
   */
  start: offsetSchema.optional(),
  end: offsetSchema,
  era: eraSchema,
  /**
   * Whether these are all records that exist, not only those from an offset.
   */
  whole: z.boolean(),
});

/** A digest of what a host knows of a topic up to a position. */
const topicDigestSchema = topicPositionSchema.extend({digest: z.string()});

/** The report of a host that follows the store for others. */
const feedSchema = z.object({
  kind: z.literal('feed'),
  from: hostAddressSchema,
  positions: z.array(topicPositionSchema),
  /** Of each topic, what the receiver compares; absent from most reports. */
  digests: z.array(topicDigestSchema).optional(),
  /** Milliseconds since the store's response on which it is based. */
  age: z.number(),
  /**
   * Milliseconds since the sender last found the store unreachable; absent for
   * never.
   */
  lostAgo: z.number().optional(),
});
export type Feed = z.infer<typeof feedSchema>;

/** What the sender has seen of the crash of an endpoint. */
const crashMessageSchema = z.object({
  kind: z.literal('crash'),
  from: hostAddressSchema,
  report: crashReportSchema,
});

/** Suspects with which answers have begun at the sender. */
const begunMessageSchema = z.object({
  kind: z.literal('begun'),
  from: hostAddressSchema,
  parts: z.array(begunSuspectSchema),
});

/** Limits that have just begun, changed or ended, as the sender was told. */
const limitsMessageSchema = z.object({
  kind: z.literal('limits'),
  from: hostAddressSchema,
  limits: z.array(limitStatementSchema),
});

/** Streams that have begun at the sender, for the receiver to append. */
const streamsMessageSchema = z.object({
  kind: z.literal('streams'),
  from: hostAddressSchema,
  /** Numbers these messages of the sender; older hosts wait for no confirmation. */
  number: z.number().int().optional(),
  groups: z.array(begunGroupSchema),
});

/** Tells a host that its begun streams are in the store. */
const streamsStoredSchema = z.object({
  kind: z.literal('streams-stored'),
  from: hostAddressSchema,
  number: z.number().int(),
});

/** Usage sheets of the sender, for the receiver to append. */
const sheetsMessageSchema = z.object({
  kind: z.literal('sheets'),
  from: hostAddressSchema,
  /** Numbers these messages of the sender. */
  number: z.number().int(),
  sheets: z.array(sheetSchema),
});

/** Tells a host that its sheets are in the store. */
const sheetsStoredSchema = z.object({
  kind: z.literal('sheets-stored'),
  from: hostAddressSchema,
  number: z.number().int(),
});

/** What the leader allows the receiver in a roll-out. */
const rolloutShareMessageSchema = z.object({
  kind: z.literal('rollout-share'),
  from: hostAddressSchema,
  share: rolloutShareSchema,
});

/** What the sender has seen of a roll-out, for the leader. */
const rolloutReportMessageSchema = z.object({
  kind: z.literal('rollout-report'),
  from: hostAddressSchema,
  report: rolloutReportSchema,
});

export const gossipSchema = z.discriminatedUnion('kind', [
  pulseSchema,
  feedSchema,
  recordsRequestSchema,
  recordsSchema,
  crashMessageSchema,
  begunMessageSchema,
  limitsMessageSchema,
  streamsMessageSchema,
  streamsStoredSchema,
  sheetsMessageSchema,
  sheetsStoredSchema,
  rolloutShareMessageSchema,
  rolloutReportMessageSchema,
]);
export type GossipMessage = z.infer<typeof gossipSchema>;
