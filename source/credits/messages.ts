/** The two messages by which hosts share the endpoints of a pool. */
import * as z from 'zod';

/** What a host needs of a pool in one availability zone. */
export const demandSchema = z.object({
  kind: z.literal('demand'),
  /** `warm` goes to the owner of the pool, `cold` to the holder of the lease. */
  ledger: z.enum(['warm', 'cold']),
  pool: z.string(),
  zone: z.string(),
  /** Number of the latest grant that the host has applied; 0 for none. */
  applied: z.number().int(),
  /** Incarnation of the owner that numbered it. */
  owner: z.string(),
  /** The host’s own monotonic milliseconds, which the grant gives back. */
  sentAt: z.number(),
  classes: z.array(
    z.object({
      name: z.string(),
      tier: z.number().int(),
      floorShare: z.number(),
      running: z.number().int(),
      waiting: z.number().int(),
      /** Of those that wait, how many are to be served before others go on. */
      pressing: z.number().int(),
    }),
  ),
  /** Requests of the host that each endpoint runs. */
  inUse: z.array(z.object({endpoint: z.string(), count: z.number().int()})),
});
export type Demand = z.infer<typeof demandSchema>;

/** What a host may use of a pool in one availability zone. */
export const grantSchema = z.object({
  kind: z.literal('grant'),
  ledger: z.enum(['warm', 'cold']),
  pool: z.string(),
  zone: z.string(),
  number: z.number().int(),
  /** Incarnation of the owner. */
  owner: z.string(),
  /** `sentAt` of the demand that it answers. */
  answers: z.number(),
  counts: z.array(z.object({endpoint: z.string(), count: z.number().int()})),
  /** The highest tier that waits anywhere in vain; 0 for none. */
  pressure: z.number().int(),
  /** Running requests of lower tiers that the host is to give up for it. */
  yields: z.number().int(),
});
export type Grant = z.infer<typeof grantSchema>;
