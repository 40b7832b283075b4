/** The metrics of a process in the text format that Prometheus scrapes. */
import type {Counter, Gauge, Registry} from 'prom-client';

import type {Metrics, Tags} from './metrics.js';

const NAME_PREFIX = 'arbutusslip_';
const QUANTILES = ['p50', 'p95', 'p99'] as const;

/**
 * prom-client, which is loaded only when metrics are first requested. It is a
 * CommonJS module: in a bundle its default export is the only one.
 */
type PromClient = typeof import('prom-client');

/** The series of one metric name. */
interface Family<Series extends {readonly tags: Tags}> {
  readonly name: string;
  /** The tags of all series, each once. */
  readonly tagNames: readonly string[];
  readonly series: readonly Series[];
}

/**
 * Returns all counters, gauges and timings in the Prometheus text format. A timing is a
 * gauge of its quantiles in milliseconds, with the number of recorded durations
 * under the quantile `count`. The labels of a metric are the tags of all its
 * series; a series without one of them lacks the label.
 *
 * ```ts
 * response.end(await formatPrometheusMetrics(metrics));
 * ```
 */
export async function formatPrometheusMetrics(
  metrics: Metrics,
): Promise<string> {
  const {default: library} = await import('prom-client');
  const registry = new library.Registry();
  const {counters, gauges, timings} = metrics.snapshot();
  for (const family of familiesOf(counters)) {
    const counter = createCounter(library, registry, family);
    for (const {tags, value} of family.series) counter.inc(tags, value);
  }
  for (const family of familiesOf(gauges)) {
    const gauge = createGauge(library, registry, family);
    for (const {tags, value} of family.series) gauge.set(tags, value);
  }
  for (const family of familiesOf(timings)) {
    const gauge = createQuantiles(library, registry, family);
    for (const {tags, ...statistics} of family.series) {
      for (const quantile of QUANTILES) {
        gauge.set({...tags, quantile}, statistics[quantile]);
      }
      gauge.set({...tags, quantile: 'count'}, statistics.count);
    }
  }
  return registry.metrics();
}

/** Groups series by the name of their metric. */
function familiesOf<
  Series extends {readonly name: string; readonly tags: Tags},
>(allSeries: readonly Series[]): Array<Family<Series>> {
  const byName = new Map<string, Series[]>();
  for (const series of allSeries) {
    const known = byName.get(series.name);
    if (known) known.push(series);
    else byName.set(series.name, [series]);
  }
  return [...byName].map(([name, series]) => ({
    name,
    series,
    tagNames: [...new Set(series.flatMap(({tags}) => Object.keys(tags)))],
  }));
}

function createCounter(
  library: PromClient,
  registry: Registry,
  {name, tagNames}: Family<{readonly tags: Tags}>,
): Counter {
  return new library.Counter({
    name: `${prometheusNameFor(name)}_total`,
    help: `${name}, since the start`,
    labelNames: [...tagNames],
    registers: [registry],
  });
}

function createGauge(
  library: PromClient,
  registry: Registry,
  {name, tagNames}: Family<{readonly tags: Tags}>,
): Gauge {
  return new library.Gauge({
    name: prometheusNameFor(name),
    help: `${name}, now`,
    labelNames: [...tagNames],
    registers: [registry],
  });
}

function createQuantiles(
  library: PromClient,
  registry: Registry,
  {name, tagNames}: Family<{readonly tags: Tags}>,
): Gauge {
  return new library.Gauge({
    name: `${prometheusNameFor(name)}_milliseconds`,
    help: `${name} in milliseconds, and how many`,
    labelNames: [...tagNames, 'quantile'],
    registers: [registry],
  });
}

function prometheusNameFor(name: string): string {
  return NAME_PREFIX + name.replaceAll('-', '_');
}
