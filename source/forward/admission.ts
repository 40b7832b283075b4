/**
 * What admission is told about a request: with which others it is scheduled, for
 * how long it may be queued, and until when a start still meets its target.
 */
import type {AdmissionRequest, StreamContinuation} from '../admission/index.js';
import type {Prompt} from '../balance/index.js';
import type {AllowedRegions, Route} from '../routing/index.js';

/** Share of the remaining time that a request may wait for an endpoint. */
const MAX_QUEUE_TIME_SHARE = 0.6;
/**
 * Share of its target that a request may be queued and still meet it: the rest is
 * for the wait and the prefill at the endpoint.
 */
const TARGET_QUEUE_TIME_SHARE = 0.15;
/** Share of a service's starts that a route gets at least while it waits. */
const MIN_ROUTE_SHARE = 0.05;
/** Cost of a request without a prompt in the fair sharing between teams. */
const PROMPTLESS_REQUEST_TOKENS = 100;

/**
 * Milliseconds that a request may wait for an endpoint, of those that it has left.
 *
 * ```ts
 * const patience = maxQueueTime(context.timeLeft);
 * ```
 */
export function maxQueueTime(timeLeft: number): number {
  return timeLeft * MAX_QUEUE_TIME_SHARE;
}

/** A request that is about to wait for an endpoint. */
export interface WaitingRequest {
  readonly route: Route;
  readonly service: string;
  /** Name of the team; empty if there is none. */
  readonly team: string;
  /** Priority tier; 0 is served first. */
  readonly tier: number;
  readonly homes: AllowedRegions;
  readonly prompt: Prompt | undefined;
  /** Monotonic milliseconds. */
  readonly arrived: number;
  /** Whether it was sent to an endpoint before; such a request is never late. */
  readonly isRetry: boolean;
  /** Where its stream may go on; undefined if the caller has had no part of one. */
  readonly continuation?: StreamContinuation | undefined;
  /** Monotonic milliseconds at which its final response is due. */
  readonly deadline: number;
}

/**
 * Returns what admission needs to know of a request that waits from `now` on.
 *
 * ```ts
 * admission.run(admissionRequestFor(waiting, clock.monotonic()), work, preempt);
 * ```
 */
export function admissionRequestFor(
  waiting: WaitingRequest,
  now: number,
): AdmissionRequest {
  const {route, service, team, tier, homes, prompt, arrived} = waiting;
  const {continuation} = waiting;
  const elapsed = now - arrived;
  const timeLeft = Math.max(waiting.deadline - now, 0);
  return {
    group: {
      pool: service,
      className: route.name,
      tier,
      floorShare: MIN_ROUTE_SHARE,
      cheapShare: 0,
      repeatable: false,
      homes,
      ...(continuation ? {continuation} : {}),
    },
    team,
    weight: 1,
    estimate: prompt
      ? prompt.tokens + prompt.output
      : PROMPTLESS_REQUEST_TOKENS,
    arrived,
    bound: elapsed + maxQueueTime(timeLeft),
    // The caller of a stream that has begun has had its first event.
    ...(waiting.isRetry || continuation
      ? {}
      : {targetBound: route.target * TARGET_QUEUE_TIME_SHARE}),
    prefix: '',
  };
}
