/**
 * The course that chat and service requests share: wait for a place, make an
 * attempt in it, and after a failure wait again or give up.
 */
import {Cancellation, type Signal} from '../cancellation/index.js';
import {decideAfterFailure, DEFAULT_MAX_ATTEMPTS} from '../attempt/index.js';
import {Refusal, WireError} from '../errors/index.js';
import type {Slot} from '../placement/index.js';
import type {Exchange} from './exchange.js';
import {ticketOf, type Plane} from './plane.js';

/** A failed attempt, with what the caller already has of its answer. */
export class AttemptFailure extends WireError {
  constructor(
    stage: WireError['stage'],
    detail: string,
    readonly notRun: boolean,
    readonly delivered: number,
    /** Tokens that were generated for the attempt. */
    readonly tokens: number,
  ) {
    super(stage, detail);
  }
}

/** One attempt in a slot; answers the tokens that it cost. */
export type Attempt = (slot: Slot, signal: Signal) => Promise<number>;

/** What a request is expected to need. */
export interface Expectation {
  readonly tokens: number;
  readonly prefix: string;
}

/**
 * Runs a request to its end. Throws the Refusal that ends it, if one does.
 *
 * ```ts
 * await runAttempts(exchange, plane, {tokens: 200, prefix}, attempt);
 * ```
 */
export async function runAttempts(
  exchange: Exchange,
  plane: Plane,
  expectation: Expectation,
  attempt: Attempt,
): Promise<void> {
  plane.retryBudget = plane.retryBudget.earn();
  for (;;) {
    exchange.move('queue');
    const again = await oneAttempt(exchange, plane, expectation, attempt);
    if (!again) return;
  }
}

async function oneAttempt(
  exchange: Exchange,
  plane: Plane,
  {tokens, prefix}: Expectation,
  attempt: Attempt,
): Promise<boolean> {
  const ticket = ticketOf(exchange, plane, tokens, prefix);
  const stop = new Cancellation();
  const work = () => inSlot(exchange, plane, ticket, attempt, stop);
  const entry = plane.admission.run(ticket, work, () => stop.abort());
  const leave = () => {
    entry.cancel(reasonOf(exchange));
    stop.abort();
  };
  const stopWatching = exchange.ended.onAbort(leave);
  try {
    await entry.done;
    return false;
  } catch (error) {
    if (exchange.ended.aborted) throw reasonOf(exchange);
    if (!(error instanceof AttemptFailure)) throw error;
    return mayGoOn(exchange, plane, error, stop.aborted);
  } finally {
    stopWatching();
  }
}

async function inSlot(
  exchange: Exchange,
  plane: Plane,
  ticket: ReturnType<typeof ticketOf>,
  attempt: Attempt,
  signal: Signal,
): Promise<number> {
  const slot = plane.endpoints.acquireSlot(
    ticket.group,
    ticket.prefix,
    exchange.failedAt,
  );
  if (!slot) {
    throw new AttemptFailure('connect', 'no endpoint has room', true, 0, 0);
  }
  exchange.move('dispatch');
  exchange.attempts++;
  try {
    return await attempt(slot, signal);
  } catch (error) {
    if (error instanceof AttemptFailure && !signal.aborted) {
      noteFailure(exchange, plane, slot, error);
    }
    throw error;
  } finally {
    slot.release();
  }
}

function noteFailure(
  exchange: Exchange,
  plane: Plane,
  {endpoint}: Slot,
  failure: AttemptFailure,
): void {
  exchange.failedAt.add(endpoint.name);
  const now = plane.clock.monotonic();
  if (!failure.notRun || failure.stage === 'connect') {
    plane.endpoints.update(endpoint.name, {kind: 'failed', now});
  }
  plane.logger.warn('attempt-failed', {
    request: exchange.id,
    endpoint: endpoint.name,
    stage: failure.stage,
    detail: failure.message,
  });
}

function mayGoOn(
  exchange: Exchange,
  plane: Plane,
  failure: AttemptFailure,
  preempted: boolean,
): boolean {
  const className = exchange.match.class.name;
  if (preempted && failure.delivered === 0) {
    plane.metrics.count('retry', {reason: 'preempted', class: className});
    return true;
  }
  if (preempted)
    throw new Refusal('shed', 'ran', 'gave its place to a higher tier');
  const {stage, notRun, delivered} = failure;
  const {repeatable} = exchange.match.route;
  const {attempts} = exchange;
  const budget = plane.retryBudget.allowsRetry;
  const decision = decideAfterFailure({
    stage,
    notRun,
    delivered,
    repeatable,
    resumable: false,
    attempts,
    maxAttempts: DEFAULT_MAX_ATTEMPTS,
    hasRetryBudget: budget,
  });
  if (decision.kind === 'refuse') {
    throw new Refusal(decision.code, decision.outcome, failure.message);
  }
  plane.retryBudget = plane.retryBudget.spend();
  plane.metrics.count('retry', {reason: decision.reason, class: className});
  return true;
}

function reasonOf(exchange: Exchange): Refusal {
  const {reason} = exchange.ended;
  if (reason) return reason;
  return new Refusal(
    'internal',
    exchange.knownOutcome(),
    'the caller has left',
  );
}
