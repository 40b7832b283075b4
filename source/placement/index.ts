/** Placement: which endpoint runs a request, and what this host runs where. */
export {
  endpointState,
  updateEndpoint,
  type EndpointEvent,
  type EndpointState,
} from './endpoint.js';
export {
  chooseEndpoint,
  eligibleEndpoints,
  type PlacementCriteria,
} from './choose.js';
export {Allowances} from './allowance.js';
export {FixedSplit, rendezvousOrder} from './split.js';
export {PrefixMemory} from './prefix.js';
export {
  EndpointTable,
  type PoolZone,
  type RunningCounts,
  type Slot,
} from './table.js';
