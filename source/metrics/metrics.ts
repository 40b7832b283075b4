/**
 * Counters and timings go to StatsD, and a copy stands in memory for the
 * operators' port, so that a fleet can be looked at without a metrics server.
 */
import {createHistogram, type RecordableHistogram} from 'node:perf_hooks';

import type {StatsD} from 'hot-shots';
import * as z from 'zod';

/** Tags of a metric; each combination of values is a series of its own. */
export type Tags = Readonly<Record<string, string>>;

const PREFIX = 'arbutusslip.';
const HIGHEST_MICROSECONDS = 600_000_000;
const MICROSECONDS_PER_MILLISECOND = 1000;
/** Significant decimal digits of a recorded duration. */
const SIGNIFICANT_DIGITS = 2;

/** Everything that has been counted and timed since the start. */
export const metricsSnapshotSchema = z.object({
  counters: z.array(
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
  private readonly timings = new Map<string, Timing>();
  private client: StatsD | undefined;

  /**
   * Metrics of which a copy goes to a StatsD server, as `127.0.0.1:8125`, where
   * one is named. The client is loaded only then, for a host starts often.
   *
   * ```ts
   * const metrics = await Metrics.sentTo(settings.statsd);
   * ```
   */
  static async sentTo(address: string | undefined): Promise<Metrics> {
    const metrics = new Metrics();
    if (address === undefined) return metrics;
    const {StatsD} = await import('hot-shots');
    const split = address.lastIndexOf(':');
    metrics.client = new StatsD({
      host: address.slice(0, split),
      port: Number(address.slice(split + 1)),
      prefix: PREFIX,
      maxBufferSize: 1400,
      errorHandler: () => metrics.count('metrics-lost'),
    });
    return metrics;
  }

  /** Adds to a counter. */
  count(name: string, tags: Tags = {}, amount = 1): void {
    const series = seriesOf(name, tags);
    const counter = this.counters.get(series);
    if (counter) counter.value += amount;
    else this.counters.set(series, {name, tags, value: amount});
    if (name !== 'metrics-lost')
      this.client?.increment(name, amount, {...tags});
  }

  /** Records a duration in milliseconds. */
  time(name: string, duration: number, tags: Tags = {}): void {
    const series = seriesOf(name, tags);
    let timing = this.timings.get(series);
    if (!timing) {
      timing = {name, tags, histogram: newHistogram()};
      this.timings.set(series, timing);
    }
    const microseconds = Math.round(duration * MICROSECONDS_PER_MILLISECOND);
    const bounded = Math.min(Math.max(microseconds, 1), HIGHEST_MICROSECONDS);
    timing.histogram.record(bounded);
    this.client?.timing(name, duration, {...tags});
  }

  /** The value of one counter; zero where it was never counted. */
  value(name: string, tags: Tags = {}): number {
    return this.counters.get(seriesOf(name, tags))?.value ?? 0;
  }

  /**
   * A copy for the operators' port.
   *
   * ```ts
   * response.end(JSON.stringify(metrics.snapshot()));
   * ```
   */
  snapshot(): MetricsSnapshot {
    const counters = [...this.counters.values()].map(counter => ({...counter}));
    const timings = [...this.timings.values()].map(timingSummary);
    return {counters, timings};
  }

  close(): void {
    this.client?.close();
  }
}

function newHistogram(): RecordableHistogram {
  return createHistogram({
    lowest: 1,
    highest: HIGHEST_MICROSECONDS,
    figures: SIGNIFICANT_DIGITS,
  });
}

function timingSummary({name, tags, histogram}: Timing) {
  const at = (percentile: number) =>
    histogram.percentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  const {count} = histogram;
  return {name, tags, count, p50: at(50), p95: at(95), p99: at(99)};
}

function seriesOf(name: string, tags: Tags): string {
  let series = name;
  for (const tag in tags) series += ` ${tag}=${tags[tag]}`;
  return series;
}
