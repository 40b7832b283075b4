/** The door of the gossip folder. */
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
  type Gossip,
  type HostAddress,
  type Pulse,
  type TopicPosition,
} from './message.js';
