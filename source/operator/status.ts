/** What a host says of itself at the operators' port. */
import * as z from 'zod';

export const hostStatusSchema = z.object({
  name: z.string(),
  zone: z.string(),
  incarnation: z.string(),
  state: z.string(),
  applied: z
    .number()
    .describe('Offset of the last log entry that was applied.'),
  configuration: z
    .number()
    .describe('Offset of the last note that was decided.'),
  digest: z.string(),
  malformed: z.number(),
  diverged: z.number(),
  logInReach: z.boolean(),
  logAge: z.number().describe('Milliseconds since all of the log was known.'),
  peers: z.array(z.string()),
  leases: z.array(
    z.object({
      lease: z.string(),
      state: z.string(),
      holder: z.string().describe('Incarnation of the holder.'),
      fence: z.number(),
    }),
  ),
  claims: z.number(),
  waiting: z.number(),
  underWay: z.number(),
  endpoints: z.array(
    z.object({
      name: z.string(),
      zone: z.string(),
      pool: z.string(),
      state: z.string(),
      running: z.number(),
      zoneIn: z.boolean(),
    }),
  ),
});
export type HostStatus = z.infer<typeof hostStatusSchema>;
