/** What the leader and the hosts tell each other while an order is in force. */
import * as z from 'zod';

import {evidenceSchema} from './evidence.js';
import {placedOrderSchema} from './order.js';
import {phaseSchema} from './state.js';

const shareSchema = z.number().min(0).max(1);

/** What the leader allows one host. */
export const rolloutShareSchema = z.object({
  order: placedOrderSchema,
  /** Fencing token of the leader. */
  fence: z.number(),
  phase: phaseSchema,
  share: shareSchema,
  /** Endpoints of the new version that get the share; 0 for all. */
  endpoints: z.number().int().nonnegative(),
  excluded: z.array(z.string()),
  /**
   * The stamp of the host's last report, from which the permission counts; absent
   * before the first report, when nothing is permitted.
   */
  echo: z.number().optional(),
});
export type RolloutShare = z.infer<typeof rolloutShareSchema>;

/** What a host reports. */
export const rolloutReportSchema = z.object({
  order: placedOrderSchema,
  /** Monotonic milliseconds of the host. */
  stamp: z.number(),
  /** Milliseconds since the host first knew the order. */
  knownFor: z.number().nonnegative(),
  /** The phase that the host acts on, or knows to be the end. */
  phase: phaseSchema.optional(),
  /** Requests that it has sent to the new version, and all of the service. */
  sent: z.object({to: z.number(), all: z.number()}),
  /** Requests that it runs at other versions. */
  others: z.number().int().nonnegative(),
  /** Whether it has stopped by itself, as it saw bad answers. */
  isStopped: z.boolean(),
  evidence: evidenceSchema,
});
export type RolloutReport = z.infer<typeof rolloutReportSchema>;
