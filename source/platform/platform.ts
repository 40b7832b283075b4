/**
 * What the router needs from the platform. Everything that must last stands
 * there. One subclass knows the wire; the users' bench brings another.
 */
import * as z from 'zod';

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

/** One usage window of one region. */
export const usageReportSchema = z.object({
  region: z.string(),
  window: z.number().int(),
  fence: z.number().int(),
  /** Incarnation of the host that reports. */
  holder: z.string(),
  figures: z.array(
    z.object({team: z.string(), requests: z.number(), tokens: z.number()}),
  ),
});
export type UsageReport = z.infer<typeof usageReportSchema>;

/** How many endpoints of a pool a zone is to have. */
export const endpointOrderSchema = z.object({
  zone: z.string(),
  pool: z.string(),
  count: z.number().int().nonnegative(),
  fence: z.number().int(),
  /** Incarnation of the host that gives the order. */
  holder: z.string(),
});
export type EndpointOrder = z.infer<typeof endpointOrderSchema>;

/** The platform's interfaces. Every call may fail with a WireError. */
export abstract class Platform {
  /** Appends records as one; answers the offset of the first. */
  abstract append(records: readonly LogRecord[]): Promise<number>;
  /** Reads from an offset, waiting up to `wait` milliseconds for a record. */
  abstract read(from: number, wait: number): Promise<LogPage>;
  abstract hosts(): Promise<HostEntry[]>;
  /** Enters a host in the list, or renews it. */
  abstract announce(host: HostEntry): Promise<void>;
  /**
   * Reports a window, if `mayAct` still says so in the turn of the write.
   * Answers whether it was sent.
   */
  abstract reportUsage(
    report: UsageReport,
    mayAct: () => boolean,
  ): Promise<boolean>;
  /** Orders how many endpoints of a pool a zone is to have, likewise. */
  abstract orderEndpoints(
    order: EndpointOrder,
    mayAct: () => boolean,
  ): Promise<boolean>;
  /** The latest order for a zone that took effect, if there is one. */
  abstract endpointOrder(
    zone: string,
    pool: string,
  ): Promise<EndpointOrder | undefined>;
}
