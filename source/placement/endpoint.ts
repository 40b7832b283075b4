/**
 * What a host knows about one endpoint, as an immutable value, and how each
 * event changes it. The chart in charts/endpoint.json says which states follow
 * which; the counts beside it say how much of the endpoint this host uses.
 */
import {endpointChart} from '../charts/index.js';
import type {Endpoint} from '../configuration/index.js';

/** What a host knows about an endpoint. */
export interface EndpointState {
  readonly endpoint: Endpoint;
  /** A state of charts/endpoint.json. */
  readonly state: string;
  /**
   * Whether its last report was warm. A suspect may still be cold, and then
   * bears no more than before.
   */
  readonly warm: boolean;
  /** Requests of this host that it runs. */
  readonly running: number;
  /** Mean milliseconds to the first byte; zero before the first answer. */
  readonly latency: number;
  /** Monotonic milliseconds of the last answer. */
  readonly answeredAt: number;
  /** Failures since the last answer. */
  readonly failures: number;
  /** Monotonic milliseconds until which a suspect gets no new work. */
  readonly suspectUntil: number;
  /** Whether its availability zone takes new work. */
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

const LATENCY_WEIGHT = 0.2;
/** Failures in a row that make an endpoint suspect. */
export const FAILURES_BEFORE_SUSPECT = 2;
const SUSPECT_MILLISECONDS = 1_000;
const SUSPECT_MILLISECONDS_MOST = 16_000;

const REPORTS = {
  cold: 'report-cold',
  warm: 'report-warm',
  leaving: 'depart',
} as const;

/** The state of an endpoint that nothing is known about. */
export function endpointState(
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
 * The state after an event.
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
      return answered(before, event.latency, event.now);
    case 'failed':
      return failed(before, event.now);
    case 'reported':
      return reported(before, event.state);
    case 'configured':
      return configured(before, event.endpoint, event.zoneIn);
    case 'removed':
      return moved(before, 'remove');
  }
}

function moved(before: EndpointState, event: string): EndpointState {
  if (!endpointChart.allows(before.state, event)) return before;
  return {...before, state: endpointChart.next(before.state, event)};
}

function answered(
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

function failed(before: EndpointState, now: number): EndpointState {
  const failures = before.failures + 1;
  if (failures < FAILURES_BEFORE_SUSPECT) return {...before, failures};
  const wait = Math.min(
    SUSPECT_MILLISECONDS * 2 ** (failures - FAILURES_BEFORE_SUSPECT),
    SUSPECT_MILLISECONDS_MOST,
  );
  return {...moved(before, 'fail'), failures, suspectUntil: now + wait};
}

function reported(
  before: EndpointState,
  state: 'cold' | 'warm' | 'leaving',
): EndpointState {
  const returned =
    before.state === 'leaving' && state !== 'leaving'
      ? moved(before, 'return')
      : before;
  const warm = state === 'leaving' ? returned.warm : state === 'warm';
  return {...moved(returned, REPORTS[state]), warm};
}

function configured(
  before: EndpointState,
  endpoint: Endpoint,
  zoneIn: boolean,
): EndpointState {
  if (endpoint.address !== before.endpoint.address) {
    return {...endpointState(endpoint, zoneIn), running: before.running};
  }
  return {...before, endpoint, zoneIn};
}
