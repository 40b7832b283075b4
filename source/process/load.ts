/**
 * Logs at intervals how loaded the process is: its memory and processor time, how
 * late its timers fire, and the requests that it holds. An operator can tell from
 * these lines whether a host was short of memory or processor time when something
 * went wrong. A memory near its limit is logged within a second, since a process
 * that exceeds it may be killed without a word.
 */
import {getHeapStatistics} from 'node:v8';

import type {Cancel, Clock} from '../clock/index.js';
import {descriptorShortages} from '../descriptors/index.js';
import type {Fields, Logger} from '../logging/index.js';

/** The requests that a process holds. */
export interface Load {
  /** Requests in progress, those that are queued included. */
  readonly active: number;
  /** Of these, requests that wait in the admission queue. */
  readonly queued: number;
}

/** What a reporter is made from. */
export interface LoadReporterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly load: () => Load;
  /** Memory that the process may take; without it no limit is known. */
  readonly memoryLimitMegabytes?: number;
  /** Memory of the process; that of this one by default. */
  readonly memory?: () => MemoryFields;
  /** Further fields of each line: the descriptors in use. */
  readonly descriptors?: () => Fields;
}

const SAMPLE_INTERVAL_MILLISECONDS = 1_000;
const SAMPLES_PER_REPORT = 5;
const BYTES_PER_MEGABYTE = 1_048_576;
const MICROSECONDS_PER_MILLISECOND = 1_000;
/** Shares of the limit at which the memory comes near it, and leaves it again. */
const NEAR_LIMIT_SHARE = 0.85;
const BELOW_LIMIT_SHARE = 0.8;

/** Logs an event `load` every five seconds. */
export class LoadReporter {
  private sampledAt: number;
  private reportedAt: number;
  /** Processor milliseconds up to the last report. */
  private processorBefore = processorMilliseconds();
  /** Longest delay of a sample since the last report, in milliseconds. */
  private maxDelay = 0;
  private samples = 0;
  private isNearLimit = false;
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: LoadReporterOptions) {
    this.sampledAt = options.clock.monotonic();
    this.reportedAt = this.sampledAt;
  }

  /**
   * Starts to report.
   *
   * ```ts
   * const reporter = new LoadReporter({clock, logger, load: () => host.load});
   * reporter.start();
   * ```
   */
  start(): void {
    const {clock} = this.options;
    this.sampledAt = clock.monotonic();
    this.stopTimer = clock.every(SAMPLE_INTERVAL_MILLISECONDS, () =>
      this.sample(),
    );
  }

  stop(): void {
    this.stopTimer();
  }

  private sample(): void {
    const now = this.options.clock.monotonic();
    const delay = now - this.sampledAt - SAMPLE_INTERVAL_MILLISECONDS;
    this.maxDelay = Math.max(this.maxDelay, delay);
    this.sampledAt = now;
    this.samples++;
    this.watchMemory();
    if (this.samples % SAMPLES_PER_REPORT === 0) this.report(now);
  }

  /** Logs that the memory has come near its limit, or is no longer near it. */
  private watchMemory(): void {
    const {logger, load, memoryLimitMegabytes} = this.options;
    if (memoryLimitMegabytes === undefined) return;
    const memory = this.memory();
    const share = memory.memoryMegabytes / memoryLimitMegabytes;
    const threshold = this.isNearLimit ? BELOW_LIMIT_SHARE : NEAR_LIMIT_SHARE;
    const isNearLimit = share >= threshold;
    if (isNearLimit === this.isNearLimit) return;
    this.isNearLimit = isNearLimit;
    const fields = {...memory, memoryLimitMegabytes, ...load()};
    if (isNearLimit) logger.warn('memory-near-limit', fields);
    else logger.info('memory-below-limit', fields);
  }

  private memory(): MemoryFields {
    return (this.options.memory ?? memoryFields)();
  }

  private report(now: number): void {
    const {logger, load, descriptors} = this.options;
    const processor = processorMilliseconds();
    const share = (processor - this.processorBefore) / (now - this.reportedAt);
    const {active, queued} = load();
    logger.info('load', {
      ...this.memory(),
      processorPercent: Math.round(share * 100),
      timerDelay: Math.round(this.maxDelay),
      active,
      queued,
      ...descriptors?.(),
    });
    this.processorBefore = processor;
    this.reportedAt = now;
    this.maxDelay = 0;
  }
}

/** The memory of a process, as fields of a log line. */
export interface MemoryFields {
  readonly memoryMegabytes: number;
  readonly heapMegabytes: number;
}

/** The last resident memory that was read, in bytes. */
let lastResident = 0;

/**
 * Returns the memory of this process. The resident memory is read from a file that
 * Node opens each time; where it cannot, the last figure is returned.
 */
export function memoryFields(
  readResident: () => number = process.memoryUsage.rss,
): MemoryFields {
  try {
    lastResident = readResident();
  } catch (error) {
    // A system may also refuse the file for other reasons.
    descriptorShortages.noteError('memory-figures', error);
  }
  const {used_heap_size: heapUsed} = getHeapStatistics();
  return {
    memoryMegabytes: Math.round(lastResident / BYTES_PER_MEGABYTE),
    heapMegabytes: Math.round(heapUsed / BYTES_PER_MEGABYTE),
  };
}

/** Processor time of the process since its start, in milliseconds. */
export function processorMilliseconds(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}
