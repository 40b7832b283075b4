/**
 * What follows a failed attempt. The stage of the failure tells what is known
 * about the request having run, and that alone decides what may be done again
 * and what the caller may be told.
 */
import type {Outcome, RefusalCode, WireError} from '../errors/index.js';

/** A failed attempt. */
export interface Failure {
  readonly stage: WireError['stage'];
  /** The endpoint's own word that it did not run the request. */
  readonly notRun: boolean;
  /** Events that the caller already has. */
  readonly delivered: number;
  readonly repeatable: boolean;
  /** Whether a stream that has begun may go on at another endpoint. */
  readonly resumable: boolean;
  /** Attempts made that may have run, this one included. */
  readonly attempts: number;
  /** Attempts that the request may make. */
  readonly attemptsMost: number;
  /** Whether the host's budget allows a retry. */
  readonly budget: boolean;
}

/** What to do next. */
export type Decision =
  | {readonly kind: 'retry'; readonly reason: RefusalCode | 'budget'}
  | {
      readonly kind: 'refuse';
      readonly code: RefusalCode;
      readonly outcome: Outcome;
    };

/** Attempts that one request may make where its route does not say. */
export const ATTEMPTS_MOST = 3;

/** What is known about a failed attempt having run. */
export function proofOf({stage, notRun, delivered}: Failure): Outcome {
  if (delivered > 0) return 'ran';
  if (stage === 'connect' || notRun) return 'not-run';
  return 'unknown';
}

/**
 * Decides about a failure.
 *
 * ```ts
 * const decision = afterFailure(failure);
 * if (decision.kind === 'retry') again();
 * ```
 */
export function afterFailure(failure: Failure): Decision {
  const outcome = proofOf(failure);
  const code = codeOf(failure, outcome);
  if (!mayRetry(failure)) return {kind: 'refuse', code, outcome};
  return {kind: 'retry', reason: code};
}

function mayRetry(failure: Failure): boolean {
  if (failure.delivered > 0 && !failure.resumable) return false;
  if (failure.attempts >= failure.attemptsMost || !failure.budget) return false;
  return failure.repeatable || failure.stage === 'connect';
}

function codeOf(
  {stage, notRun, repeatable, delivered}: Failure,
  outcome: Outcome,
): RefusalCode {
  if (notRun) return 'endpoint-refused';
  if (stage === 'connect') return 'endpoint-failed';
  if (delivered > 0) return 'endpoint-lost';
  if (!repeatable && outcome === 'unknown') return 'outcome-unknown';
  return stage === 'status' ? 'endpoint-failed' : 'endpoint-lost';
}
