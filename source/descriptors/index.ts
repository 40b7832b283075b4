/** The file descriptors that a process has open, and the budget of a host. */
export {
  descriptorBudgetOf,
  applicableLimit,
  type DescriptorBudget,
  type DescriptorUse,
} from './budget.js';
export {
  CallerSlots,
  type CallerPressure,
  type CallerSlot,
  type CallerSlotsOptions,
} from './callers.js';
export {DescriptorCounts, DESCRIPTOR_USES, openDescriptors} from './counts.js';
export {EndpointRoom, type EndpointRoomOptions} from './endpoints.js';
export {HostDescriptors, type HostDescriptorsOptions} from './host.js';
export {processDescriptorLimit} from './limit.js';
export {
  connectShortage,
  descriptorShortages,
  DescriptorShortages,
  isShortage,
  usedFields,
  type ShortageOperation,
} from './shortages.js';
