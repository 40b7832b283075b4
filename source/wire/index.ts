/** HTTP calls and connections, for all parts of the program that make them. */
export {
  abandonOpenCalls,
  abandonRequest,
  abandonSocket,
  trackOpenCall,
} from './abandon.js';
export {acceptsConnections} from './accepting.js';
export {
  addressSchema,
  isAddress,
  partsOf,
  type AddressParts,
} from './address.js';
export {
  hasDelimitedBody,
  isFinalStatus,
  isSuccessStatus,
  watchWholeness,
  type WholenessCheck,
} from './answer.js';
export {callJson, type Call} from './call.js';
export {readBytes, tooLargeBody, type BodyReadingOptions} from './body.js';
export {ByteCollector} from './collector.js';
export {
  decideOnError,
  replyToError,
  type ConnectionState,
  type ErrorDecision,
} from './connectionerrors.js';
export {discardBody, type DiscardEnd, type UnreadResponse} from './discard.js';
export {exchangeBytes, type ByteCall, type ByteReply} from './exchange.js';
export {callGuarded} from './guarded.js';
export {GuardedKeepAliveAgent, PacedAgent} from './keepalive.js';
export {readInTurn, readPacer} from './pacing.js';
export {createRequest} from './request.js';
