/** The settings of a host, independent of the platform's settings file. */
import * as z from 'zod';

export const edgeSettingsSchema = z.object({
  name: z.string().describe('Name of the host, unique among all hosts.'),
  zone: z.string().describe('Availability zone of the host.'),
  regions: z
    .record(z.string(), z.string())
    .describe('The region of each availability zone.'),
  callers: z.string().describe('Address to listen on for callers’ requests.'),
  readiness: z
    .string()
    .describe('Address to listen on for the load balancer’s readiness probes.'),
  hosts: z
    .string()
    .optional()
    .describe('Address to listen on for other hosts.'),
  metrics: z
    .string()
    .optional()
    .describe('Address to listen on for requests for the metrics.'),
  memoryMegabytes: z
    .number()
    .describe('Memory that the platform gives the process.'),
  seeds: z
    .array(z.string())
    .describe('Addresses of hosts to ask first about the other hosts.'),
  graceMilliseconds: z
    .number()
    .describe('Time between a signal to stop and the kill of the process.'),
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
    .describe('Time for which a leaving endpoint may still get requests.'),
  leaseMilliseconds: z
    .number()
    .describe(
      'Time within which leadership must not leave a host and come back to it.',
    ),
});
export type EdgeSettings = z.infer<typeof edgeSettingsSchema>;
