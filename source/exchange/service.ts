/**
 * Requests to plain services. A request that is not repeatable is sent once, on
 * a new connection; if no response arrives, the caller is told that the outcome
 * is unknown.
 */
import type {Answer, Order} from '../engine/index.js';
import {
  toAttemptFailure,
  cancelAttempt,
  isFailureStatus,
  recordResponse,
  createStatusFailure,
  readCompleteBody,
} from './response.js';
import type {Exchange} from './exchange.js';
import {
  createEndpointRequest,
  type RequestTemplate,
} from './endpointrequest.js';
import type {ServingResources} from './resources.js';
import {runAttempts} from './attempts.js';

/** The complete response of a service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Cost of every service request, for admission. */
const SERVICE_COST_TOKENS = 1;

/**
 * Runs a request to a plain service and returns its response. Throws a Refusal
 * if the request fails.
 *
 * ```ts
 * const {status, headers, body} = await runService(exchange, resources, template);
 * ```
 */
export async function runService(
  exchange: Exchange,
  resources: ServingResources,
  template: RequestTemplate,
): Promise<ServiceResponse> {
  let result: ServiceResponse | undefined;
  const hints = {tokens: SERVICE_COST_TOKENS, prefix: ''};
  await runAttempts(exchange, resources, hints, async (slot, signal) => {
    const endpointRequest = createEndpointRequest(exchange, template);
    const startedAt = resources.clock.monotonic();
    try {
      const response = await resources.adapter.send(
        slot.endpoint,
        endpointRequest,
        signal,
      );
      recordResponse(
        resources,
        slot,
        response,
        resources.clock.monotonic() - startedAt,
      );
      throwIfRetryable(response, endpointRequest, exchange);
      const body = await readCompleteBody(resources, response, signal);
      result = {status: response.status, headers: response.headers, body};
    } catch (error) {
      if (signal.aborted) cancelAttempt(resources, slot, endpointRequest);
      throw toAttemptFailure(error);
    }
    return SERVICE_COST_TOKENS;
  });
  recordServiceMetrics(exchange, resources);
  return result as ServiceResponse;
}

/**
 * Throws an AttemptFailure for a failure status if the route is repeatable or
 * the service states that it did not run the request. Otherwise the response
 * goes to the caller as it is.
 */
function throwIfRetryable(
  response: Answer,
  endpointRequest: Order,
  {match}: Exchange,
): void {
  if (!isFailureStatus(response)) return;
  if (match.route.repeatable || response.notRun)
    throw createStatusFailure(response);
}

function recordServiceMetrics(
  {match, arrived}: Exchange,
  resources: ServingResources,
): void {
  const duration = resources.clock.monotonic() - arrived;
  const tags = {class: match.class.name};
  resources.metrics.time('whole-answer', duration, tags);
  const meetsTarget = duration <= match.class.firstTokenTarget;
  resources.metrics.count('attainment', {...tags, met: String(meetsTarget)});
}
