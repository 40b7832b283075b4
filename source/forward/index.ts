/** The door of the forward folder. */
export {Connections, type Outgoing} from './connections.js';
export {Forwarder, type ForwarderParts} from './forward.js';
export {
  Protocol,
  type AnswerHead,
  type Arrival,
  type Sending,
} from './protocol.js';
export {EventCutter} from './events.js';
export {retryAfterOf, statusOf, type GivenUp} from './outcome.js';
