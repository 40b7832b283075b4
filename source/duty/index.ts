/** Leader election, and what the leader does: autoscaling and usage reports. */
export {
  DutyCalls,
  type CallOutcome,
  type EndpointOrder,
  type Holder,
  type UsageReport,
} from './calls.js';
export {standsForDuties} from './stand.js';
export {DutyDesk, type Duty, type DutyDeskOptions} from './desk.js';
export {
  mayAct,
  NO_TERM,
  termAfterJoin,
  termAfterLeave,
  type Term,
  type TermDurations,
} from './term.js';
export {Orders, type OrdersOptions, type OrderView} from './orders.js';
export {Usage, type UsageOptions} from './usage.js';
