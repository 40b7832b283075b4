/** The door of the attempt folder. */
export {
  afterFailure,
  ATTEMPTS_MOST,
  proofOf,
  type Decision,
  type Failure,
} from './decide.js';
export {RetryBudget} from './budget.js';
