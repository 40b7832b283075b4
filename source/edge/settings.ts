/** The settings of a host that stands on a platform. */
import * as z from 'zod';

export const edgeSettingsSchema = z.object({
  name: z.string().describe('Name of the host, unique in the fleet.'),
  zone: z.string().describe('Availability zone of the host.'),
  regions: z
    .record(z.string(), z.string())
    .describe('The region of each availability zone.'),
  callers: z.string().describe('Address to listen on for callers.'),
  readiness: z.string().describe('Address to answer the balancer’s probes on.'),
  hosts: z
    .string()
    .optional()
    .describe('Address to listen on for other hosts.'),
  metrics: z
    .string()
    .optional()
    .describe('Address on which the metrics are shown.'),
  seeds: z
    .array(z.string())
    .describe('Addresses of hosts that may be asked for the others.'),
  graceMilliseconds: z
    .number()
    .describe('Time from a signal to stop until the process is killed.'),
  repeats: z.object({
    ratio: z.number(),
    allowance: z.number(),
    window: z.number(),
  }),
  usage: z.object({
    windowMilliseconds: z.number(),
    lateMilliseconds: z.number(),
  }),
  drainMilliseconds: z
    .number()
    .describe('Time for which an endpoint that leaves may be sent to.'),
  leaseMilliseconds: z
    .number()
    .describe('Time within which a duty may not go back and forth.'),
});
export type EdgeSettings = z.infer<typeof edgeSettingsSchema>;
