/** Counters and timings of a process, sent to StatsD and shown to Prometheus. */
export {
  Metrics,
  metricsSnapshotSchema,
  type MetricsSnapshot,
  type Tags,
} from './metrics.js';
export {formatPrometheusMetrics} from './prometheus.js';
