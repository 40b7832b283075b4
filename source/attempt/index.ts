/** Decides whether a failed attempt is retried and bounds a host's retries. */
export {
  afterFailure,
  ATTEMPTS_MOST,
  knownOutcome,
  type FailedAttempt,
  type RetryDecision,
} from './decide.js';
export {RetryBudget} from './budget.js';
