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
  seeds: z
    .array(z.string())
    .describe('Addresses of hosts to ask first about the other hosts.'),
  store: z.string().optional().describe('Address of the platform’s store.'),
  leader: z
    .string()
    .optional()
    .describe('Address of the platform’s interface for the leader.'),
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
  rollouts: z
    .object({
      exposureShare: z.number(),
      exposureSlack: z.number(),
      rollbackMilliseconds: z.number(),
    })
    .describe('What a bad software version may get while it is rolled out.'),
  memoryMegabytes: z
    .number()
    .describe('Memory above which the platform kills the process.'),
  balancesByRates: z
    .boolean()
    .optional()
    .describe(
      'Whether endpoints that state how long work takes are chosen by their speed.',
    ),
  maxDescriptors: z
    .number()
    .optional()
    .describe('File descriptors that the process may have open.'),
});
export type EdgeSettings = z.infer<typeof edgeSettingsSchema>;

/**
 * What a host uses for the values that it can do without. The times are those of
 * the platform's own examples; repeats are bounded more tightly than there, since
 * too few of them cost less than too many.
 */
export const DEFAULT_EDGE_SETTINGS = {
  graceMilliseconds: 8_000,
  repeats: {ratio: 0.1, allowance: 10, window: 10_000},
  usage: {windowMilliseconds: 5_000, lateMilliseconds: 10_000},
  drainMilliseconds: 2_000,
  leaseMilliseconds: 3_000,
  rollouts: {
    exposureShare: 0.1,
    exposureSlack: 50,
    rollbackMilliseconds: 5_000,
  },
  memoryMegabytes: 350,
} as const satisfies Partial<EdgeSettings>;
