/** The door of the metrics folder. */
export {
  Metrics,
  metricsSnapshotSchema,
  type MetricsSnapshot,
  type Tags,
} from './metrics.js';
export {expositionOf} from './exposition.js';
