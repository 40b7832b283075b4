/** Credits: how hosts share the slots of endpoints by grants that expire. */
export {
  allocateShares,
  type HostShare,
  type HostDemand,
  type ClassDemand,
} from './shares.js';
export {
  emptyAllocator,
  recordDemand,
  clearDemand,
  setLimits,
  totalCommittedSlots,
  GRANT_LIFETIME_MILLISECONDS,
  type AllocatorState,
  type EndpointLimit,
} from './allocator.js';
export {
  answerDemand,
  grantChanges,
  type AddressedGrant,
  type GrantResult,
} from './grants.js';
export {HeldGrants, type HeldGrant} from './held.js';
export {
  demandSchema,
  grantSchema,
  type Demand,
  type Grant,
} from './messages.js';
