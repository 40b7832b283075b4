/**
 * What the router needs from the platform. Everything that must last stands
 * there. One subclass knows the wire; the users' bench brings another.
 */
import {z} from 'zod';

import type {LogPage, LogRecord} from './record.js';

/** A host in the platform's list, which lags behind the truth. */
export const hostEntrySchema = z.object({
  name: z.string(),
  incarnation: z.string(),
  zone: z.string(),
  state: z.enum(['live', 'leaving']),
  callers: z.string().describe('Address for callers.'),
  operators: z.string().describe('Address for operators.'),
  peers: z.string().describe('Address for other hosts.'),
});
export type HostEntry = z.infer<typeof hostEntrySchema>;

/** One usage window of one availability zone. */
export const usageReportSchema = z.object({
  zone: z.string(),
  window: z.number().int(),
  fence: z.number().int(),
  figures: z.array(
    z.object({team: z.string(), requests: z.number(), tokens: z.number()}),
  ),
});
export type UsageReport = z.infer<typeof usageReportSchema>;

/** The platform's interfaces. Every call may fail with a WireError. */
export abstract class Platform {
  /** Appends records as one; answers the offset of the first. */
  abstract append(records: readonly LogRecord[]): Promise<number>;
  /** Reads from an offset, waiting up to `wait` milliseconds for a record. */
  abstract read(from: number, wait: number): Promise<LogPage>;
  abstract hosts(): Promise<HostEntry[]>;
  /** Enters a host in the list, or renews it. */
  abstract announce(host: HostEntry): Promise<void>;
  abstract reportUsage(report: UsageReport): Promise<void>;
}
