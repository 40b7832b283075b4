/** The door of the placement folder. */
export {
  endpointState,
  updateEndpoint,
  type EndpointEvent,
  type EndpointState,
} from './endpoint.js';
export {choose, usable, type Demand} from './choose.js';
export {Allowances} from './allowance.js';
export {FixedSplit, rendezvousOrder} from './split.js';
export {PrefixMemory} from './prefix.js';
export {
  EndpointTable,
  type PoolUse,
  type PoolZone,
  type Slot,
} from './table.js';
