/** HTTP calls and connections, for all parts of the program that make them. */
export {acceptsConnections} from './accepting.js';
export {addressSchema, isAddress} from './address.js';
export {callJson, type Call} from './call.js';
export {readBytes, tooLargeBody, type BodyReadingOptions} from './body.js';
export {ByteCollector} from './collector.js';
export {discardBody, type DiscardEnd} from './discard.js';
export {exchangeBytes, type ByteCall, type ByteReply} from './exchange.js';
export {callGuarded} from './guarded.js';
export {GuardedKeepAliveAgent, PacedAgent} from './keepalive.js';
export {listen, partsOf, type AddressParts} from './listen.js';
export {readInTurn, readPacer} from './pacing.js';
export {abandonRequest, createRequest} from './request.js';
