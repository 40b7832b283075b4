/**
 * Steps that chat and service attempts share: recording a response, turning
 * errors into an AttemptFailure, reading a complete body, and cancelling.
 */
import type {CancellationSignal} from '../cancellation/index.js';
import type {Answer, Order} from '../engine/index.js';
import {WireError} from '../errors/index.js';
import {readWhole} from '../relay/index.js';
import type {Slot} from '../placement/index.js';
import {AttemptFailure} from './attempts.js';
import type {ServingResources} from './resources.js';

/** Size limit of a response body that is read completely before it is sent on. */
export const MAX_RESPONSE_BYTES = 16_777_216;

/**
 * Records that an endpoint responded, and the state that it reported in the
 * response head. `latency` is in milliseconds.
 */
export function recordResponse(
  resources: ServingResources,
  {endpoint}: Slot,
  response: Answer,
  latency: number,
): void {
  resources.endpoints.update(endpoint.name, {
    kind: 'answered',
    latency,
    now: resources.clock.monotonic(),
  });
  if (response.state) resources.onEndpointState(endpoint.name, response.state);
}

/** Whether the status says that the endpoint failed, so that a retry may help. */
export function isFailureStatus({status}: Answer): boolean {
  return status >= 500 || status === 429;
}

/** Returns the failure for a response with a failure status; destroys its body. */
export function createStatusFailure(response: Answer): AttemptFailure {
  response.body.destroy();
  return new AttemptFailure(
    'status',
    `status ${response.status}`,
    response.notRun,
    0,
    0,
  );
}

/**
 * Returns a WireError as an AttemptFailure. `delivered` and `tokens` are what
 * the caller already has. Throws any other error unchanged.
 */
export function toAttemptFailure(
  error: unknown,
  delivered = 0,
  tokens = 0,
): AttemptFailure {
  if (error instanceof AttemptFailure) return error;
  if (!(error instanceof WireError)) throw error;
  const {stage, message} = error;
  return new AttemptFailure(stage, message, false, delivered, tokens);
}

/** Reads the complete response body. Throws an AttemptFailure. */
export async function readCompleteBody(
  resources: ServingResources,
  response: Answer,
  signal: CancellationSignal,
): Promise<Buffer> {
  const silence = resources.settings.firstByteBoundMilliseconds;
  try {
    return await readWhole(response.body, {
      limit: MAX_RESPONSE_BYTES,
      silence,
      signal,
      isWhole: response.isWhole,
    });
  } catch (error) {
    throw toAttemptFailure(error);
  }
}

/**
 * Asks the endpoint to cancel an attempt, without waiting for it. A cancellation
 * that does not get through is only counted.
 */
export function cancelAttempt(
  resources: ServingResources,
  {endpoint}: Slot,
  {attempt}: Order,
): void {
  resources.metrics.count('cancel', {endpoint: endpoint.name});
  resources.adapter
    .cancel(endpoint, attempt)
    .catch(() =>
      resources.metrics.count('cancel-lost', {endpoint: endpoint.name}),
    );
}
