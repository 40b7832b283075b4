/** Roll-outs: moves a service's traffic to another software version. */
export {
  AnyVersion,
  AttemptVersions,
  type AttemptEnd,
  type EndAttempt,
  type VersionedAttempt,
  type VersionedRequest,
  type VersionRequirements,
} from './attempts.js';
export {
  decideRollout,
  deadlineOf,
  type Allowance,
  type Decision,
  type HostProgress,
  type Observation,
  type RolloutBounds,
} from './decide.js';
export {
  EvidenceCounter,
  newGroupAt,
  evidenceSince,
  sumEvidence,
  type AttemptResult,
  type Evidence,
  type EvidenceGroup,
} from './evidence.js';
export {findFault, type Fault} from './judge.js';
export {
  rolloutReportSchema,
  rolloutShareSchema,
  type RolloutReport,
  type RolloutShare,
} from './message.js';
export {
  hasSameContent,
  isSameOrder,
  rolloutOrderSchema,
  type PlacedOrder,
  type RolloutOrder,
} from './order.js';
export {
  PERMISSION_MILLISECONDS,
  RolloutParticipant,
  type RunningAttempt,
  type VersionChoice,
} from './participant.js';
export {RolloutStatusFormat, type RolloutStatus} from './records.js';
export {RolloutReports} from './reports.js';
export {Rollouts, type RolloutHost, type RolloutsOptions} from './rollouts.js';
export {
  beginRollout,
  hasEnded,
  outcomeOf,
  rolloutStateSchema,
  type RolloutPhase,
  type RolloutState,
} from './state.js';
