/**
 * What could not be opened for want of a descriptor: counted each time, logged at
 * intervals.
 */
import type {Clock} from '../clock/index.js';
import {DescriptorShortage} from '../errors/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {DESCRIPTOR_USES, openDescriptors} from './counts.js';

/** What was to be opened. */
export type ShortageOperation =
  | 'memory-figures'
  | 'accept'
  | 'connect'
  | 'resolve'
  | 'read-settings'
  | 'load-module';

/** Time between two log lines about the same operation. */
const REPORT_INTERVAL_MILLISECONDS = 10_000;

/** The process, or the whole system, has no descriptor left. */
const SHORTAGE_CODES: ReadonlySet<string> = new Set(['EMFILE', 'ENFILE']);

/**
 * Whether an error says that there was no descriptor.
 *
 * ```ts
 * socket.on('error', error => isShortage(error) && shortages.note('connect'));
 * ```
 */
export function isShortage(error: unknown): boolean {
  const {code} = Object(error) as {code?: unknown};
  return typeof code === 'string' && SHORTAGE_CODES.has(code);
}

/** What shortages are reported with. */
export interface ShortageReporting {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The shortages of a process. */
export class DescriptorShortages {
  private reporting: ShortageReporting | undefined;
  private readonly reportedAt = new Map<ShortageOperation, number>();
  private readonly sinceReport = new Map<ShortageOperation, number>();

  /** Counts and logs shortages from now on. */
  reportTo(reporting: ShortageReporting): void {
    this.reporting = reporting;
  }

  /** Notes that something could not be opened. Never throws. */
  note(operation: ShortageOperation): void {
    const {reporting} = this;
    const count = (this.sinceReport.get(operation) ?? 0) + 1;
    this.sinceReport.set(operation, count);
    if (!reporting) return;
    const {clock, logger, metrics} = reporting;
    metrics.count('descriptor-shortage', {operation});
    const now = clock.monotonic();
    const reportedAt = this.reportedAt.get(operation) ?? -Infinity;
    if (now - reportedAt < REPORT_INTERVAL_MILLISECONDS) return;
    this.reportedAt.set(operation, now);
    this.sinceReport.set(operation, 0);
    logger.warn('descriptor-shortage', {operation, count, ...usedFields()});
  }

  /** Notes an error if it says that there was no descriptor; returns whether it does. */
  noteError(operation: ShortageOperation, error: unknown): boolean {
    if (!isShortage(error)) return false;
    this.note(operation);
    return true;
  }
}

/** The shortages of this process. */
export const descriptorShortages = new DescriptorShortages();

/**
 * Notes an error on connecting if it says that there was no descriptor, and returns
 * a typed error for it; undefined for any other error.
 *
 * ```ts
 * reject(connectShortage(error) ?? new WireError('connect', error.message));
 * ```
 */
export function connectShortage(error: Error): DescriptorShortage | undefined {
  if (!descriptorShortages.noteError('connect', error)) return undefined;
  return new DescriptorShortage(error.message);
}

/** The descriptors in use, as fields of a log line. */
export function usedFields(): Record<string, number> {
  const fields: Record<string, number> = {descriptors: openDescriptors.total};
  for (const use of DESCRIPTOR_USES)
    fields[`${use}Descriptors`] = openDescriptors.of(use);
  return fields;
}
