/**
 * Exchanges heartbeats, load and store records between the hosts of a platform.
 */
export {DIRECT_HOSTS_MOST, feedPlan, isFed, type FeedWords} from './feed.js';
export {Feeder, type FeederOptions} from './feeder.js';
export {Outbox} from './outbox.js';
export {GossipDesk, type GossipOptions, type OwnState} from './gossip.js';
export {
  afterHearsay,
  afterPulse,
  afterSilence,
  inReach,
  sharers,
  staying,
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
