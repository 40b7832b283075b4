/**
 * The messages between hosts. Each is checked against its schema when it
 * arrives; one that does not fit ends the connection.
 */
import * as z from 'zod';

import {demandSchema, grantSchema} from '../credits/index.js';
import {sheetSchema, snapshotSchema} from '../platform/index.js';

/** Version of the messages; hosts of different versions do not talk. */
export const PROTOCOL_VERSION = 1;

/** The first message in each direction. */
export const helloSchema = z.object({
  kind: z.literal('hello'),
  version: z.literal(PROTOCOL_VERSION),
  name: z.string(),
  incarnation: z.string(),
  zone: z.string(),
});
export type Hello = z.infer<typeof helloSchema>;

const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  sequence: z.number().int(),
  /** Sequence of the last heartbeat that came from the other side. */
  heard: z.number().int(),
  /** Milliseconds until the next one. */
  period: z.number().int().positive().max(60_000),
  /** Offset of the last log entry that the sender has applied. */
  applied: z.number().int(),
  logInReach: z.boolean(),
  leaving: z.boolean(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

export const messageSchema = z.discriminatedUnion('kind', [
  helloSchema,
  heartbeatSchema,
  demandSchema,
  grantSchema,
  z.object({
    kind: z.literal('endpoint-state'),
    endpoint: z.string(),
    state: z.enum(['cold', 'warm', 'leaving']),
  }),
  z.object({kind: z.literal('usage'), sheets: z.array(sheetSchema)}),
  z.object({
    kind: z.literal('log-request'),
    /** Offset of the first entry that is wanted; -1 for a snapshot first. */
    from: z.number().int(),
  }),
  z.object({
    kind: z.literal('log-entries'),
    snapshot: snapshotSchema.optional(),
    entries: z.array(z.object({offset: z.number().int(), value: z.unknown()})),
  }),
]);
export type Message = z.infer<typeof messageSchema>;
