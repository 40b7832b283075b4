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
export {Outbox} from './outbox.js';
export {GossipDesk, type GossipOptions, type OwnState} from './gossip.js';
export {
  applyHostList,
  applyPulse,
  removeSilent,
  reachableMembers,
  hostsSharingLimits,
  activeHosts,
  type Member,
  type Members,
} from './members.js';
export {
  gossipSchema,
  startOf,
  type Feed,
  type Gossip,
  type HostAddress,
  type Pulse,
  type TopicPosition,
} from './message.js';
