/** Placement: which endpoint runs a request, and what this host runs where. */
export {
  initialEndpointState,
  updateEndpoint,
  type EndpointEvent,
  type EndpointState,
} from './endpoint.js';
export {
  chooseEndpoint,
  eligibleEndpoints,
  type PlacementCriteria,
} from './choose.js';
export {SlotQuotas} from './quota.js';
export {EqualSplitQuotas, rendezvousOrder} from './split.js';
export {PrefixAffinity} from './prefix.js';
export {
  EndpointTable,
  type PoolZone,
  type RunningCounts,
  type Slot,
} from './table.js';
