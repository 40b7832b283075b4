/** The metrics of a process as text, in the form that scrapers read. */
import type {Counter, Gauge, Registry} from 'prom-client';

import type {Metrics} from './metrics.js';

const PREFIX = 'arbutusslip_';
const QUANTILES = ['p50', 'p95', 'p99'] as const;

/** The library, which is loaded when metrics are first asked for. */
type Library = typeof import('prom-client');

/**
 * Everything that has been counted and timed, as text.
 *
 * ```ts
 * response.end(await expositionOf(metrics));
 * ```
 */
export async function expositionOf(metrics: Metrics): Promise<string> {
  const library = await import('prom-client');
  const registry = new library.Registry();
  const {counters, timings} = metrics.snapshot();
  const byName = new Map<string, Counter>();
  for (const {name, tags, value} of counters) {
    const known = byName.get(name);
    const counter =
      known ?? counterOf(library, registry, name, Object.keys(tags));
    byName.set(name, counter);
    counter.inc(tags, value);
  }
  const gauges = new Map<string, Gauge>();
  for (const {name, tags, ...figures} of timings) {
    const known = gauges.get(name);
    const gauge = known ?? gaugeOf(library, registry, name, Object.keys(tags));
    gauges.set(name, gauge);
    for (const quantile of QUANTILES) {
      gauge.set({...tags, quantile}, figures[quantile]);
    }
    gauge.set({...tags, quantile: 'count'}, figures.count);
  }
  return registry.metrics();
}

function counterOf(
  library: Library,
  registry: Registry,
  name: string,
  labelNames: string[],
): Counter {
  const help = `${name}, since the start`;
  const registers = [registry];
  return new library.Counter({
    name: `${nameOf(name)}_total`,
    help,
    labelNames,
    registers,
  });
}

function gaugeOf(
  library: Library,
  registry: Registry,
  name: string,
  tags: string[],
): Gauge {
  const help = `${name} in milliseconds, and how many`;
  const labelNames = [...tags, 'quantile'];
  const registers = [registry];
  return new library.Gauge({
    name: `${nameOf(name)}_milliseconds`,
    help,
    labelNames,
    registers,
  });
}

function nameOf(name: string): string {
  return PREFIX + name.replaceAll('-', '_');
}
