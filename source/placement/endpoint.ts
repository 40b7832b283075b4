/**
 * What this host knows about one endpoint, as an immutable value, and how each
 * event changes it. The state chart in charts/endpoint.json defines the states
 * and transitions; the counts beside the state say how much of the endpoint
 * this host uses.
 */
import {endpointChart} from '../charts/index.js';
import type {Endpoint} from '../configuration/index.js';

/** What this host knows about an endpoint. */
export interface EndpointState {
  readonly endpoint: Endpoint;
  /** A state of charts/endpoint.json. */
  readonly state: string;
  /**
   * Whether the last report said warm. A suspect endpoint may still be cold,
   * and then can run no more than before it failed.
   */
  readonly warm: boolean;
  /** Requests of this host that are running there. */
  readonly running: number;
  /** Mean milliseconds to the first byte; zero before the first response. */
  readonly latency: number;
  /** Time of the last response in monotonic milliseconds. */
  readonly answeredAt: number;
  /** Failures since the last response. */
  readonly failures: number;
  /** Monotonic milliseconds until which a suspect endpoint gets no new work. */
  readonly suspectUntil: number;
  /** Whether its availability zone accepts new work. */
  readonly zoneIn: boolean;
}

/** What can happen to an endpoint, as seen from this host. */
export type EndpointEvent =
  | {readonly kind: 'started'}
  | {readonly kind: 'finished'}
  | {readonly kind: 'answered'; readonly latency: number; readonly now: number}
  | {readonly kind: 'failed'; readonly now: number}
  | {readonly kind: 'reported'; readonly state: 'cold' | 'warm' | 'leaving'}
  | {
      readonly kind: 'configured';
      readonly endpoint: Endpoint;
      readonly zoneIn: boolean;
    }
  | {readonly kind: 'removed'};

/** Weight of the latest response in the moving average of latencies. */
const LATENCY_WEIGHT = 0.2;
/** Consecutive failures that make an endpoint suspect. */
export const FAILURES_BEFORE_SUSPECT = 2;
/** Doubles with each further failure, up to the maximum. */
const INITIAL_SUSPECT_MILLISECONDS = 1_000;
const MAX_SUSPECT_MILLISECONDS = 16_000;

/** The chart’s event for each state that an endpoint may report. */
const REPORT_EVENTS = {
  cold: 'report-cold',
  warm: 'report-warm',
  leaving: 'depart',
} as const;

/** The state of an endpoint about which nothing is known yet. */
export function initialEndpointState(
  endpoint: Endpoint,
  zoneIn: boolean,
): EndpointState {
  return {
    endpoint,
    state: endpointChart.initial,
    warm: false,
    running: 0,
    latency: 0,
    answeredAt: 0,
    failures: 0,
    suspectUntil: 0,
    zoneIn,
  };
}

/**
 * The state after an event. A transition that the chart does not allow leaves
 * `state` as it is.
 *
 * ```ts
 * const after = updateEndpoint(before, {kind: 'failed', now});
 * ```
 */
export function updateEndpoint(
  before: EndpointState,
  event: EndpointEvent,
): EndpointState {
  switch (event.kind) {
    case 'started':
      return {...before, running: before.running + 1};
    case 'finished':
      return {...before, running: Math.max(before.running - 1, 0)};
    case 'answered':
      return afterResponse(before, event.latency, event.now);
    case 'failed':
      return afterFailure(before, event.now);
    case 'reported':
      return afterReport(before, event.state);
    case 'configured':
      return afterConfiguration(before, event.endpoint, event.zoneIn);
    case 'removed':
      return afterTransition(before, 'remove');
  }
}

function afterTransition(before: EndpointState, event: string): EndpointState {
  if (!endpointChart.allows(before.state, event)) return before;
  return {...before, state: endpointChart.next(before.state, event)};
}

function afterResponse(
  before: EndpointState,
  latency: number,
  now: number,
): EndpointState {
  const mean =
    before.latency === 0
      ? latency
      : before.latency + LATENCY_WEIGHT * (latency - before.latency);
  return {
    ...before,
    latency: mean,
    answeredAt: now,
    failures: 0,
    suspectUntil: 0,
  };
}

function afterFailure(before: EndpointState, now: number): EndpointState {
  const failures = before.failures + 1;
  if (failures < FAILURES_BEFORE_SUSPECT) return {...before, failures};
  const wait = Math.min(
    INITIAL_SUSPECT_MILLISECONDS * 2 ** (failures - FAILURES_BEFORE_SUSPECT),
    MAX_SUSPECT_MILLISECONDS,
  );
  return {
    ...afterTransition(before, 'fail'),
    failures,
    suspectUntil: now + wait,
  };
}

function afterReport(
  before: EndpointState,
  state: 'cold' | 'warm' | 'leaving',
): EndpointState {
  const returned =
    before.state === 'leaving' && state !== 'leaving'
      ? afterTransition(before, 'return')
      : before;
  const warm = state === 'leaving' ? returned.warm : state === 'warm';
  return {...afterTransition(returned, REPORT_EVENTS[state]), warm};
}

/**
 * What is known of an endpoint holds for its address. A new address resets it,
 * except for the number of requests that this host still runs there.
 */
function afterConfiguration(
  before: EndpointState,
  endpoint: Endpoint,
  zoneIn: boolean,
): EndpointState {
  if (endpoint.address !== before.endpoint.address) {
    return {...initialEndpointState(endpoint, zoneIn), running: before.running};
  }
  return {...before, endpoint, zoneIn};
}
