/** The door of the duty folder. */
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
  afterJoin,
  afterLeave,
  mayAct,
  NO_TERM,
  type Term,
  type TermTimes,
} from './term.js';
export {Orders, type OrdersOptions, type OrderView} from './orders.js';
export {Usage, type UsageOptions} from './usage.js';
