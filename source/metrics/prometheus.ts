/** The metrics of a process in the text format that Prometheus scrapes. */
import type {Counter, Gauge, Registry} from 'prom-client';

import type {Metrics} from './metrics.js';

const NAME_PREFIX = 'arbutusslip_';
const QUANTILES = ['p50', 'p95', 'p99'] as const;

/**
 * prom-client, which is loaded only when metrics are first requested. It is a
 * CommonJS module: in a bundle its default export is the only one.
 */
type PromClient = typeof import('prom-client');

/**
 * Returns all counters and timings in the Prometheus text format. A timing is a
 * gauge of its quantiles in milliseconds, with the number of recorded durations
 * under the quantile `count`. The labels of a metric are those of its first
 * series.
 *
 * ```ts
 * response.end(await expositionOf(metrics));
 * ```
 */
export async function formatPrometheusMetrics(
  metrics: Metrics,
): Promise<string> {
  const {default: library} = await import('prom-client');
  const registry = new library.Registry();
  const {counters, timings} = metrics.snapshot();
  const countersByName = new Map<string, Counter>();
  for (const {name, tags, value} of counters) {
    const known = countersByName.get(name);
    const counter =
      known ?? createCounter(library, registry, name, Object.keys(tags));
    countersByName.set(name, counter);
    counter.inc(tags, value);
  }
  const gaugesByName = new Map<string, Gauge>();
  for (const {name, tags, ...statistics} of timings) {
    const known = gaugesByName.get(name);
    const gauge =
      known ?? createGauge(library, registry, name, Object.keys(tags));
    gaugesByName.set(name, gauge);
    for (const quantile of QUANTILES) {
      gauge.set({...tags, quantile}, statistics[quantile]);
    }
    gauge.set({...tags, quantile: 'count'}, statistics.count);
  }
  return registry.metrics();
}

function createCounter(
  library: PromClient,
  registry: Registry,
  name: string,
  labelNames: string[],
): Counter {
  const help = `${name}, since the start`;
  const registers = [registry];
  return new library.Counter({
    name: `${prometheusNameFor(name)}_total`,
    help,
    labelNames,
    registers,
  });
}

function createGauge(
  library: PromClient,
  registry: Registry,
  name: string,
  tags: string[],
): Gauge {
  const help = `${name} in milliseconds, and how many`;
  const labelNames = [...tags, 'quantile'];
  const registers = [registry];
  return new library.Gauge({
    name: `${prometheusNameFor(name)}_milliseconds`,
    help,
    labelNames,
    registers,
  });
}

function prometheusNameFor(name: string): string {
  return NAME_PREFIX + name.replaceAll('-', '_');
}
