/** The door of the operator folder. */
export {hostStatusSchema, type HostStatus} from './status.js';
export {readLog, publish, verdictOf, type Published} from './publish.js';
export {follow, statuses, type HostReach, type Following} from './follow.js';
export {
  addKey,
  changeZone,
  withdrawKey,
  createKey,
  type NewKey,
} from './notes.js';
export {explain, type Explanation, type Question} from './explain.js';
export {OperatorError} from './failure.js';
