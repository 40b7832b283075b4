/** The messages by which hosts share the slots of a pool's endpoints. */
import * as z from 'zod';

/** A host's demand for slots of a pool in one availability zone. */
export const demandSchema = z.object({
  kind: z.literal('demand'),
  /**
   * The kind of endpoints: demands for `warm` ones go to the owner of the pool,
   * those for `cold` ones to the holder of the zone's lease.
   */
  ledger: z.enum(['warm', 'cold']),
  pool: z.string(),
  zone: z.string(),
  /** Number of the last grant that the host has applied; 0 for none. */
  applied: z.number().int(),
  /** Incarnation of the owner that issued this grant; empty for none. */
  owner: z.string(),
  /** Monotonic milliseconds on the host’s clock; the grant returns them. */
  sentAt: z.number(),
  classes: z.array(
    z.object({
      name: z.string(),
      tier: z.number().int(),
      floorShare: z.number(),
      running: z.number().int(),
      waiting: z.number().int(),
      /** Waiting requests that may preempt running requests of lower tiers. */
      pressing: z.number().int(),
    }),
  ),
  /** Running requests of the host, by endpoint. */
  inUse: z.array(z.object({endpoint: z.string(), count: z.number().int()})),
});
export type Demand = z.infer<typeof demandSchema>;

/** The slots of a pool in one availability zone that a host may use. */
export const grantSchema = z.object({
  kind: z.literal('grant'),
  ledger: z.enum(['warm', 'cold']),
  pool: z.string(),
  zone: z.string(),
  /** Increases with each grant of an owner. */
  number: z.number().int(),
  /** Incarnation of the owner that issued the grant. */
  owner: z.string(),
  /** `sentAt` of the latest demand that the owner has received. */
  answers: z.number(),
  /** Slots that the host may use, by endpoint. */
  counts: z.array(z.object({endpoint: z.string(), count: z.number().int()})),
  /**
   * Highest-priority tier on any host that may preempt lower tiers because no
   * slots are left for it; 0 for none.
   */
  pressure: z.number().int(),
  /** Running requests of lower tiers that the host is to give up for it. */
  yields: z.number().int(),
});
export type Grant = z.infer<typeof grantSchema>;
