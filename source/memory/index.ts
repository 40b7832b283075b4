/** The memory that a host uses for what it holds for others, and its bound. */
export {
  MemoryAccount,
  type MemoryAccountOptions,
  type RoomRequest,
} from './account.js';
export {
  hasRoomFor,
  memoryBudgetOf,
  SMALL_BODY_BYTES,
  type HeldBodies,
  type MemoryBudget,
} from './budget.js';
export {Holding} from './holding.js';
export {WaitingBodies, type WaitingBody} from './order.js';
