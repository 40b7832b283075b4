/**
 * The settings of the daemon. The flags, the environment variables, the help
 * text and docs/configuration.md are all derived from this one schema. All
 * durations are in milliseconds, as their names say.
 */
import * as z from 'zod';

import {partsOf} from '../wire/index.js';

const ADDRESS_FORM = 'an IP number and a port, as 127.0.0.1:8080';
const MAX_PORT = 65_535;

const addressSchema = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, ADDRESS_FORM)
  .refine(text => partsOf(text).port <= MAX_PORT, ADDRESS_FORM);

const durationSchema = z.coerce.number().int().min(1).max(3_600_000);
const countSchema = z.coerce.number().int().min(1).max(1_000_000_000);

export const settingsSchema = z.strictObject({
  name: z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/)
    .describe('Name of the host, unique in the fleet.'),
  zone: z.string().min(1).describe('Availability zone of the host.'),
  region: z.string().min(1).describe('Region of the availability zone.'),
  callers: addressSchema.describe('Address to listen on for callers.'),
  operators: addressSchema.describe(
    'Address to listen on for operators and the balancer’s probes.',
  ),
  peers: addressSchema.describe('Address to listen on for other hosts.'),
  platform: addressSchema.describe('Address of the platform.'),
  peerSecret: z
    .string()
    .min(16)
    .describe(
      'Shared secret of the hosts, 16 characters or more; a comma separates ' +
        'the present one from former ones that are still accepted.',
    ),
  logLevel: z
    .enum(['trace', 'debug', 'info', 'warn', 'error', 'silent'])
    .default('info')
    .describe('Least level of log lines.'),
  logForm: z
    .enum(['json', 'human'])
    .default('json')
    .describe('Form of log lines.'),
  metrics: addressSchema
    .optional()
    .describe('Address of a StatsD server; none by default.'),
  bodyLimitBytes: countSchema
    .default(4_194_304)
    .describe('Largest request body, in bytes.'),
  requestBoundMilliseconds: durationSchema
    .default(30_000)
    .describe('Time within which a caller must send its whole request.'),
  connectBoundMilliseconds: durationSchema
    .default(1_000)
    .describe('Time within which an endpoint must accept a connection.'),
  firstByteBoundMilliseconds: durationSchema
    .default(30_000)
    .describe('Time within which an endpoint must begin its answer.'),
  betweenEventsBoundMilliseconds: durationSchema
    .default(5_000)
    .describe('Longest silence in an answer before the connection is doubted.'),
  heartbeatMilliseconds: durationSchema
    .default(10_000)
    .describe('Period of comments on an event stream that has no events.'),
  drainMilliseconds: durationSchema
    .default(5_000)
    .describe('Time for which a leaving host still accepts connections.'),
  loadPollMilliseconds: durationSchema
    .default(1_000)
    .describe('Period at which endpoints are asked for their load.'),
  queuePlaces: countSchema
    .default(1_000)
    .describe('Requests that may wait in the host.'),
  usageWindowMilliseconds: durationSchema
    .default(60_000)
    .describe('Length of a usage window; the same on every host.'),
  snapshotRecords: countSchema
    .default(1_000)
    .describe('Log records after which a snapshot is appended.'),
  claimAnswerBytes: countSchema
    .default(16_384)
    .describe('Largest answer that is kept for a repeat, in bytes.'),
});
export type Settings = z.infer<typeof settingsSchema>;
