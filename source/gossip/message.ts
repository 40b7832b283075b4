/**
 * The messages between the hosts of a platform. Each is checked against its
 * schema when it arrives; one that does not fit is counted and left out.
 */
import * as z from 'zod';

import {sheetSchema} from '../platform/index.js';

/** Where a host can be reached, and which start of it that is. */
export const hostAddressSchema = z.object({
  name: z.string(),
  /** Increases with each start of the host, in Unix milliseconds. */
  started: z.number(),
  address: z.string(),
  zone: z.string(),
});
export type HostAddress = z.infer<typeof hostAddressSchema>;

/** A text that stands for one start of a host. */
export function startOf({name, started}: HostAddress): string {
  return `${name} ${started}`;
}

/** What a host has at one endpoint. */
const endpointUseSchema = z.object({
  id: z.string(),
  requests: z.number(),
  /** Milliseconds of reading that wait there. */
  reading: z.number(),
});

/** Milliseconds of engine time that callers have asked of a service of late. */
const serviceWorkSchema = z.object({
  service: z.string(),
  large: z.number(),
  small: z.number(),
});

/** How far a host knows a topic. */
const topicPositionSchema = z.object({topic: z.string(), position: z.number()});
export type TopicPosition = z.infer<typeof topicPositionSchema>;

/** What a host says of itself, again and again. */
export const pulseSchema = z.object({
  kind: z.literal('pulse'),
  from: hostAddressSchema,
  /** Numbers this host's pulses to the receiver. */
  sequence: z.number().int(),
  /** The last pulse of the receiver that came here; 0 for none. */
  heard: z.number().int(),
  /** Milliseconds until the next one. */
  period: z.number(),
  leaving: z.boolean(),
  positions: z.array(topicPositionSchema),
  uses: z.array(endpointUseSchema),
  work: z.array(serviceWorkSchema),
  /** Endpoints that it cannot reach. */
  unreachable: z.array(z.string()),
  /** Parts of prompts that engines have read for it of late. */
  kept: z.array(z.object({part: z.string(), endpoint: z.string()})),
  /** Its usage that is not in the store yet, for the one host that keeps it. */
  sheets: z.array(sheetSchema),
  /** Other hosts that it knows; sent now and then. */
  hosts: z.array(hostAddressSchema),
});
export type Pulse = z.infer<typeof pulseSchema>;

const wantedSchema = z.object({
  kind: z.literal('wanted'),
  from: hostAddressSchema,
  topic: z.string(),
  /** The first offset that is wanted. */
  position: z.number(),
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
      offset: z.number(),
    }),
  ),
  end: z.number(),
  /** Whether these are all records that there are. */
  whole: z.boolean(),
});

/** The word of a host that follows the store for others. */
const feedSchema = z.object({
  kind: z.literal('feed'),
  from: hostAddressSchema,
  positions: z.array(topicPositionSchema),
  /** Milliseconds since the store's answer that it rests on. */
  age: z.number(),
  /** Milliseconds since it found the store away; absent for never. */
  lostAgo: z.number().optional(),
});
export type Feed = z.infer<typeof feedSchema>;

export const gossipSchema = z.discriminatedUnion('kind', [
  pulseSchema,
  feedSchema,
  wantedSchema,
  recordsSchema,
]);
export type Gossip = z.infer<typeof gossipSchema>;
