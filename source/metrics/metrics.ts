/**
 * Counters and timings are sent to StatsD, and kept in memory for the operators'
 * port, so that a fleet can be inspected without a metrics server.
 */
import {createHistogram, type RecordableHistogram} from 'node:perf_hooks';

import type {StatsD} from 'hot-shots';
import * as z from 'zod';

/**
 * Tags of a metric. Each combination of tags and values, in the order given, is
 * a series of its own.
 */
export type Tags = Readonly<Record<string, string>>;

const STATSD_PREFIX = 'arbutusslip.';
const MAX_DURATION_MICROSECONDS = 600_000_000;
const MICROSECONDS_PER_MILLISECOND = 1000;
/** Significant decimal digits to which the histograms keep a duration. */
const SIGNIFICANT_DIGITS = 2;

/** All counters and timings since the process started, and what holds now. */
export const metricsSnapshotSchema = z.object({
  counters: z.array(
    z.object({
      name: z.string(),
      tags: z.record(z.string(), z.string()),
      value: z.number(),
    }),
  ),
  gauges: z.array(
    z.object({
      name: z.string(),
      tags: z.record(z.string(), z.string()),
      value: z.number(),
    }),
  ),
  timings: z.array(
    z.object({
      name: z.string(),
      tags: z.record(z.string(), z.string()),
      count: z.number(),
      p50: z.number().describe('Milliseconds.'),
      p95: z.number().describe('Milliseconds.'),
      p99: z.number().describe('Milliseconds.'),
    }),
  ),
});
export type MetricsSnapshot = z.infer<typeof metricsSnapshotSchema>;

interface Counter {
  readonly name: string;
  readonly tags: Tags;
  value: number;
}

interface Gauge {
  readonly name: string;
  readonly tags: Tags;
  readonly read: () => number;
}

interface Timing {
  readonly name: string;
  readonly tags: Tags;
  readonly histogram: RecordableHistogram;
}

/**
 * The metrics of a process.
 *
 * ```ts
 * metrics.count('refusal', {reason: 'queue-full', class: 'counter'});
 * metrics.time('first-token', 84.2, {class: 'counter'});
 * ```
 */
export class Metrics {
  private readonly counters = new Map<string, Counter>();
  private readonly gauges: Gauge[] = [];
  private readonly timings = new Map<string, Timing>();
  private client: StatsD | undefined;

  /**
   * Creates metrics that are also sent to the StatsD server at `address`, such
   * as `127.0.0.1:8125`; without an address they stay in memory. The client
   * library is loaded only where it is used, because hosts start often.
   *
   * ```ts
   * const metrics = await Metrics.withStatsd(settings.metrics);
   * ```
   */
  static async withStatsd(address: string | undefined): Promise<Metrics> {
    const metrics = new Metrics();
    if (address === undefined) return metrics;
    const {StatsD} = await import('hot-shots');
    const portSeparator = address.lastIndexOf(':');
    metrics.client = new StatsD({
      host: address.slice(0, portSeparator),
      port: Number(address.slice(portSeparator + 1)),
      prefix: STATSD_PREFIX,
      maxBufferSize: 1400,
      errorHandler: () => metrics.count('metrics-lost'),
    });
    return metrics;
  }

  /** Adds `amount` to a counter. */
  count(name: string, tags: Tags = {}, amount = 1): void {
    const key = seriesKey(name, tags);
    const counter = this.counters.get(key);
    if (counter) counter.value += amount;
    else this.counters.set(key, {name, tags, value: amount});
    if (name !== 'metrics-lost')
      this.client?.increment(name, amount, {...tags});
  }

  /**
   * Records a duration in milliseconds. The histogram in memory limits it to
   * between one microsecond and ten minutes; StatsD gets it as it is.
   */
  time(name: string, duration: number, tags: Tags = {}): void {
    const key = seriesKey(name, tags);
    let timing = this.timings.get(key);
    if (!timing) {
      timing = {name, tags, histogram: createDurationHistogram()};
      this.timings.set(key, timing);
    }
    const microseconds = Math.round(duration * MICROSECONDS_PER_MILLISECOND);
    const clamped = Math.min(
      Math.max(microseconds, 1),
      MAX_DURATION_MICROSECONDS,
    );
    timing.histogram.record(clamped);
    this.client?.timing(name, duration, {...tags});
  }

  /**
   * Adds a value that is read whenever the metrics are asked for. It is not sent
   * to StatsD.
   *
   * ```ts
   * metrics.gauge('held-bytes', {kind: 'answers'}, () => buffers.heldBytes);
   * ```
   */
  gauge(name: string, tags: Tags, read: () => number): void {
    this.gauges.push({name, tags, read});
  }

  /** The value of one counter; 0 if it was never counted. */
  value(name: string, tags: Tags = {}): number {
    return this.counters.get(seriesKey(name, tags))?.value ?? 0;
  }

  /**
   * Returns a copy of all counters, the values of all gauges, and the quantiles of
   * all timings, for the operators' port.
   *
   * ```ts
   * response.end(JSON.stringify(metrics.snapshot()));
   * ```
   */
  snapshot(): MetricsSnapshot {
    const counters = [...this.counters.values()].map(counter => ({...counter}));
    const gauges = this.gauges.map(({name, tags, read}) => {
      return {name, tags, value: read()};
    });
    const timings = [...this.timings.values()].map(summarizeTiming);
    return {counters, gauges, timings};
  }

  /** Closes the connection to StatsD, if there is one. */
  close(): void {
    this.client?.close();
  }
}

function createDurationHistogram(): RecordableHistogram {
  return createHistogram({
    lowest: 1,
    highest: MAX_DURATION_MICROSECONDS,
    figures: SIGNIFICANT_DIGITS,
  });
}

function summarizeTiming({name, tags, histogram}: Timing) {
  const percentileMilliseconds = (percentile: number) =>
    histogram.percentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  const {count} = histogram;
  return {
    name,
    tags,
    count,
    p50: percentileMilliseconds(50),
    p95: percentileMilliseconds(95),
    p99: percentileMilliseconds(99),
  };
}

function seriesKey(name: string, tags: Tags): string {
  let key = name;
  for (const tag in tags) key += ` ${tag}=${tags[tag]}`;
  return key;
}
