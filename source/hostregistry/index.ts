/** The hosts that the store names, by which they find each other. */
export {HostRegistry, type HostRegistryOptions} from './registry.js';
export {hostOfRecord, HOSTS_TOPIC, recordOfHost} from './record.js';
export {
  NOTHING_SEEN,
  noteSilent,
  reviewRegistry,
  type RegistryReview,
  type UnreachedHosts,
} from './review.js';
