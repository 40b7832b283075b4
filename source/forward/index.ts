/**
 * Forwards callers' requests to endpoints, retries them elsewhere where that is
 * safe, and relays the responses.
 */
export {admissionRequestFor, type WaitingRequest} from './admission.js';
export {ResponseBuffers, type BufferShare} from './buffers.js';
export {ConnectionPool, type EndpointRequest} from './connections.js';
export {Forwarder, type ForwarderParts} from './forward.js';
export {
  Protocol,
  type ResponseHead,
  type StatedBackoff,
  type StatedLimit,
  type CallerRequest,
  type ForwardingInfo,
} from './protocol.js';
export {EventSplitter} from './events.js';
export {
  refusalStatus,
  retryAfterSeconds,
  type RefusedRequest,
} from './outcome.js';
