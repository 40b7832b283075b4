/** Steps that every kind of attempt shares once it is under way. */
import type {Signal} from '../cancellation/index.js';
import type {Answer, Order} from '../engine/index.js';
import {WireError} from '../errors/index.js';
import {readWhole} from '../relay/index.js';
import type {Slot} from '../placement/index.js';
import {AttemptFailure} from './run.js';
import type {Plane} from './plane.js';

/** Largest answer that is passed on whole, in bytes. */
export const ANSWER_BYTES_MOST = 16_777_216;

/** Notes what the head of an answer says about its endpoint. */
export function noteAnswer(
  plane: Plane,
  {endpoint}: Slot,
  answer: Answer,
  latency: number,
): void {
  plane.endpoints.update(endpoint.name, {
    kind: 'answered',
    latency,
    now: plane.clock.monotonic(),
  });
  if (answer.state) plane.observed(endpoint.name, answer.state);
}

/** Whether an answer’s status asks for another attempt, as its maker failed. */
export function isFailure({status}: Answer): boolean {
  return status >= 500 || status === 429;
}

/** The failure that an answer’s status stands for. */
export function statusFailure(answer: Answer): AttemptFailure {
  answer.body.destroy();
  return new AttemptFailure(
    'status',
    `status ${answer.status}`,
    answer.notRun,
    0,
    0,
  );
}

/** A failure of the wire as the failure of an attempt. */
export function asFailure(
  error: unknown,
  delivered = 0,
  tokens = 0,
): AttemptFailure {
  if (error instanceof AttemptFailure) return error;
  if (!(error instanceof WireError)) throw error;
  const {stage, message} = error;
  return new AttemptFailure(stage, message, false, delivered, tokens);
}

/** The bytes of a whole answer. Throws an AttemptFailure. */
export async function wholeBody(
  plane: Plane,
  answer: Answer,
  signal: Signal,
): Promise<Buffer> {
  const silence = plane.settings.firstByteBoundMilliseconds;
  try {
    return await readWhole(answer.body, ANSWER_BYTES_MOST, silence, signal);
  } catch (error) {
    throw asFailure(error);
  }
}

/** Cancels an attempt at its endpoint; a lost cancellation is counted. */
export function cancelAttempt(
  plane: Plane,
  {endpoint}: Slot,
  {attempt}: Order,
): void {
  plane.metrics.count('cancel', {endpoint: endpoint.name});
  plane.adapter
    .cancel(endpoint, attempt)
    .catch(() => plane.metrics.count('cancel-lost', {endpoint: endpoint.name}));
}
