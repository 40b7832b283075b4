/** The door of the wire folder. */
export {acceptsConnections} from './accepting.js';
export {addressSchema, isAddress} from './address.js';
export {callJson, type Call} from './call.js';
export {readBytes} from './body.js';
export {discardBody} from './discard.js';
export {exchangeBytes, type ByteCall, type ByteReply} from './exchange.js';
export {callGuarded} from './guarded.js';
export {listen, partsOf, type AddressParts} from './listen.js';
export {abandonRequest, createRequest} from './request.js';
