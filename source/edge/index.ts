/** The host process on the users' platform, and what it needs from a platform. */
export {
  RecordReader,
  type EndpointChange,
  type OperatorChange,
  type PlatformParts,
} from './platform.js';
export {runEdge, type EdgeOptions} from './run.js';
export {PlatformView, type PlatformViewOptions} from './platformview.js';
export type {EdgeHostParts} from './context.js';
export {EdgeHost} from './host.js';
export {
  DEFAULT_EDGE_SETTINGS,
  edgeSettingsSchema,
  type EdgeSettings,
} from './settings.js';
