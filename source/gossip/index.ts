/**
 * Exchanges heartbeats, load and store records between the hosts of a platform.
 */
export {
  MAX_DIRECT_HOSTS,
  planFeed,
  isFeedFresh,
  type FeedReports,
} from './feed.js';
export {Feeder, type FeederOptions} from './feeder.js';
export {type HostToContact} from './contacts.js';
export {OutboundConnection} from './outbound.js';
export {GossipNode} from './node.js';
export type {GossipOptions} from './options.js';
export {
  createPulse,
  rateReportBytes,
  type OwnState,
  type PulseHead,
} from './pulse.js';
export type {RolloutHandlers} from './rollouthandlers.js';
export {
  applyHostList,
  applyPulse,
  isOutdated,
  removeSilent,
  reachableMembers,
  hostsSharingLimits,
  activeHosts,
  type Member,
  type Members,
} from './members.js';
export {
  gossipSchema,
  pulseSchema,
  incarnationOf,
  type Feed,
  type GossipMessage,
  hostAddressSchema,
  type HostAddress,
  type Pulse,
  type TopicPosition,
} from './message.js';
export {
  compressRecords,
  createRecordsMessage,
  toRecordPage,
} from './records.js';
