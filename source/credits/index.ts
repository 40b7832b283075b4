/** Credits: how hosts share the slots of endpoints by grants that expire. */
export {divide, type Share, type HostNeed, type ClassNeed} from './divide.js';
export {
  emptyGrantor,
  takeDemand,
  dropHost,
  setLimits,
  committedAt,
  CREDIT_MILLISECONDS,
  type Grantor,
  type Limit,
} from './grantor.js';
export {
  grantAnswer,
  grantNews,
  type Addressed,
  type Granted,
} from './grants.js';
export {Holding, type Held} from './holding.js';
export {
  demandSchema,
  grantSchema,
  type Demand,
  type Grant,
} from './messages.js';
