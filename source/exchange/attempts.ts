/**
 * The attempt loop that chat and service requests share: wait for a slot, make
 * an attempt in it, and after a failure either queue again or refuse.
 */
import {Cancellation, type CancellationSignal} from '../cancellation/index.js';
import {decideAfterFailure, DEFAULT_MAX_ATTEMPTS} from '../attempt/index.js';
import {Refusal, WireError} from '../errors/index.js';
import type {Slot} from '../placement/index.js';
import type {Exchange} from './exchange.js';
import {createAdmissionRequest, type ServingResources} from './resources.js';

/** A failed attempt, with how much of the response the caller already has. */
export class AttemptFailure extends WireError {
  constructor(
    stage: WireError['stage'],
    detail: string,
    /**
     * Whether the endpoint stated that it did not run the request. Also true
     * where no endpoint had a slot.
     */
    readonly notRun: boolean,
    /** Number of events that the caller has already received. */
    readonly delivered: number,
    /** Tokens that were generated for the attempt. */
    readonly tokens: number,
  ) {
    super(stage, detail);
  }
}

/** Makes one attempt in a slot; resolves to the tokens that it cost. */
export type Attempt = (
  slot: Slot,
  signal: CancellationSignal,
) => Promise<number>;

/** What admission and placement use to schedule a request. */
export interface SchedulingHints {
  /** Expected cost. */
  readonly tokens: number;
  /** Key of the prompt prefix, or an empty string. */
  readonly prefix: string;
}

/**
 * Makes attempts until one succeeds. Throws a Refusal if the request is refused
 * or cancelled.
 *
 * ```ts
 * await runAttempts(exchange, resources, {tokens: 200, prefix}, attempt);
 * ```
 */
export async function runAttempts(
  exchange: Exchange,
  resources: ServingResources,
  hints: SchedulingHints,
  attempt: Attempt,
): Promise<void> {
  resources.retryBudget = resources.retryBudget.earn();
  for (;;) {
    exchange.transition('queue');
    const shouldRetry = await runOneAttempt(
      exchange,
      resources,
      hints,
      attempt,
    );
    if (!shouldRetry) return;
  }
}

/** Waits for a slot and makes one attempt. Returns whether to make another. */
async function runOneAttempt(
  exchange: Exchange,
  resources: ServingResources,
  {tokens, prefix}: SchedulingHints,
  attempt: Attempt,
): Promise<boolean> {
  const admissionRequest = createAdmissionRequest(
    exchange,
    resources,
    tokens,
    prefix,
  );
  const attemptCancellation = new Cancellation();
  const work = () =>
    runInSlot(
      exchange,
      resources,
      admissionRequest,
      attempt,
      attemptCancellation,
    );
  const handle = resources.admission.run(admissionRequest, work, () =>
    attemptCancellation.abort(),
  );
  const onEnded = () => {
    handle.cancel(cancellationReason(exchange));
    attemptCancellation.abort();
  };
  const unsubscribe = exchange.cancellation.onAbort(onEnded);
  try {
    await handle.done;
    return false;
  } catch (error) {
    if (exchange.cancellation.aborted) throw cancellationReason(exchange);
    if (!(error instanceof AttemptFailure)) throw error;
    return retryOrThrow(
      exchange,
      resources,
      error,
      attemptCancellation.aborted,
    );
  } finally {
    unsubscribe();
  }
}

async function runInSlot(
  exchange: Exchange,
  resources: ServingResources,
  admissionRequest: ReturnType<typeof createAdmissionRequest>,
  attempt: Attempt,
  signal: CancellationSignal,
): Promise<number> {
  const slot = resources.endpoints.acquireSlot(
    admissionRequest.group,
    admissionRequest.prefix,
    exchange.failedEndpoints,
  );
  if (!slot) {
    throw new AttemptFailure('connect', 'no endpoint has room', true, 0, 0);
  }
  exchange.transition('dispatch');
  exchange.attempts++;
  try {
    return await attempt(slot, signal);
  } catch (error) {
    if (error instanceof AttemptFailure && !signal.aborted) {
      recordFailure(exchange, resources, slot, error);
    }
    throw error;
  } finally {
    slot.release();
  }
}

function recordFailure(
  exchange: Exchange,
  resources: ServingResources,
  {endpoint}: Slot,
  failure: AttemptFailure,
): void {
  exchange.failedEndpoints.add(endpoint.name);
  const now = resources.clock.monotonic();
  if (!failure.notRun || failure.stage === 'connect') {
    resources.endpoints.update(endpoint.name, {kind: 'failed', now});
  }
  resources.logger.warn('attempt-failed', {
    request: exchange.id,
    endpoint: endpoint.name,
    stage: failure.stage,
    detail: failure.message,
  });
}

/**
 * Returns true if the attempt is retried, and throws a Refusal otherwise. A retry
 * after a preemption does not use the retry budget.
 */
function retryOrThrow(
  exchange: Exchange,
  resources: ServingResources,
  failure: AttemptFailure,
  preempted: boolean,
): boolean {
  const className = exchange.match.class.name;
  if (preempted && failure.delivered === 0) {
    resources.metrics.count('retry', {reason: 'preempted', class: className});
    return true;
  }
  if (preempted)
    throw new Refusal('shed', 'ran', 'gave its place to a higher tier');
  const {stage, notRun, delivered} = failure;
  const {repeatable} = exchange.match.route;
  const {attempts} = exchange;
  const isRetryAllowed = resources.retryBudget.allowsRetry;
  const decision = decideAfterFailure({
    stage,
    notRun,
    delivered,
    repeatable,
    resumable: false,
    attempts,
    maxAttempts: DEFAULT_MAX_ATTEMPTS,
    hasRetryBudget: isRetryAllowed,
  });
  if (decision.kind === 'refuse') {
    throw new Refusal(decision.code, decision.outcome, failure.message);
  }
  resources.retryBudget = resources.retryBudget.spend();
  resources.metrics.count('retry', {reason: decision.reason, class: className});
  return true;
}

/** Returns the refusal that ended the exchange, or one for a disconnect. */
function cancellationReason(exchange: Exchange): Refusal {
  const {reason} = exchange.cancellation;
  if (reason) return reason;
  return new Refusal(
    'internal',
    exchange.knownOutcome(),
    'the caller has left',
  );
}
