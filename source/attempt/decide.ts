/**
 * Decides what follows a failed attempt. The stage of the failure, the
 * endpoint's statement and the events already delivered tell whether the
 * request may have run. That determines whether it can be retried and what the
 * caller may be told.
 */
import type {Outcome, RefusalCode, WireError} from '../errors/index.js';

/** A failed attempt. */
export interface FailedAttempt {
  readonly stage: WireError['stage'];
  /** Whether the endpoint stated that it did not run the request. */
  readonly notRun: boolean;
  /** Number of events that the caller has already received. */
  readonly delivered: number;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether another endpoint may resume a stream that has begun. */
  readonly resumable: boolean;
  /** Attempts that may have run the request, this one included. */
  readonly attempts: number;
  /** Attempts that the request may make. */
  readonly maxAttempts: number;
  /** Whether the limit on retries allows one more. */
  readonly hasRetryBudget: boolean;
}

/** Why a failed attempt is followed by another one. */
export type RetryReason = RefusalCode | 'budget';

/** What to do after a failed attempt: retry, or refuse the caller. */
export type RetryDecision =
  | {readonly kind: 'retry'; readonly reason: RetryReason}
  | {
      readonly kind: 'refuse';
      readonly code: RefusalCode;
      readonly outcome: Outcome;
    };

/** Attempts that a request may make where its route sets no limit. */
export const DEFAULT_MAX_ATTEMPTS = 3;

/** Returns what is known about whether the failed attempt ran. */
export function knownOutcome({
  stage,
  notRun,
  delivered,
}: FailedAttempt): Outcome {
  if (delivered > 0) return 'ran';
  if (stage === 'connect' || notRun) return 'not-run';
  return 'unknown';
}

/**
 * Decides whether a failed attempt is retried. A failure to connect may be
 * retried even where the request is not repeatable, since nothing was sent.
 *
 * ```ts
 * const decision = decideAfterFailure(failedAttempt);
 * if (decision.kind === 'retry') retry();
 * ```
 */
export function decideAfterFailure(failed: FailedAttempt): RetryDecision {
  const outcome = knownOutcome(failed);
  const code = refusalCode(failed, outcome);
  if (!mayRetry(failed)) return {kind: 'refuse', code, outcome};
  return {kind: 'retry', reason: code};
}

function mayRetry(failed: FailedAttempt): boolean {
  if (failed.delivered > 0 && !failed.resumable) return false;
  if (failed.attempts >= failed.maxAttempts || !failed.hasRetryBudget)
    return false;
  return failed.repeatable || failed.stage === 'connect';
}

function refusalCode(
  {stage, notRun, repeatable, delivered}: FailedAttempt,
  outcome: Outcome,
): RefusalCode {
  if (notRun) return 'endpoint-refused';
  if (stage === 'connect') return 'endpoint-failed';
  if (delivered > 0) return 'endpoint-lost';
  if (!repeatable && outcome === 'unknown') return 'outcome-unknown';
  return stage === 'status' ? 'endpoint-failed' : 'endpoint-lost';
}
