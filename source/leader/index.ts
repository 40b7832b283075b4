/** Leader election, and what the leader does: autoscaling and usage reports. */
export {
  FencedPlatformClient,
  type CallOutcome,
  type ScaleRequest,
  type Leader,
  type UsageReport,
} from './client.js';
export {isLeaderCandidate} from './candidate.js';
export {
  LeaderElector,
  type LeaderTask,
  type LeaderElectorOptions,
} from './elector.js';
export {
  mayAct,
  NO_TERM,
  termAfterJoin,
  termAfterLeave,
  type Term,
  type TermDurations,
} from './term.js';
export {
  Autoscaler,
  type AutoscalerOptions,
  type AutoscalerView,
} from './autoscaler.js';
export {UsageMeter, type UsageMeterOptions} from './usage.js';
