/** Decides whether a failed attempt is retried and bounds a host's retries. */
export {
  decideAfterFailure,
  DEFAULT_MAX_ATTEMPTS,
  knownOutcome,
  type FailedAttempt,
  type RetryDecision,
  type RetryReason,
} from './decide.js';
export {RetryTokenBucket} from './budget.js';
