/**
 * What a host knows of the load and health of one endpoint, as an immutable
 * value. A host counts its own requests exactly. It learns of those of other
 * hosts from responses and from their reports, whose weight decays with age.
 */
import {
  NO_HISTORY,
  withReport,
  withStatement,
  type LoadHistory,
} from './loadhistory.js';

/** The load that an endpoint states in a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes, as a multiple of the usual; absent if not stated. */
  readonly workFactor?: number;
}

/** What is known of an endpoint’s load and health. */
export interface EndpointLoad {
  /** Requests that this host has at the endpoint. */
  readonly ownRequests: number;
  /** Milliseconds of prefill that this host’s requests still wait for there. */
  readonly ownPrefillMilliseconds: number;
  /** Requests of other hosts, as of the last response or report. */
  readonly otherRequests: number;
  /** Milliseconds of prefill that those wait for, as of the last report. */
  readonly otherPrefillMilliseconds: number;
  /**
   * Monotonic milliseconds of the last response or report that stated a load.
   */
  readonly reportedAt: number;
  /** What beliefs are derived from where the rates of endpoints are known. */
  readonly history: LoadHistory;
  /** Failures since the last good response. */
  readonly consecutiveFailures: number;
  /** Moving average of the fraction of its responses that are failures. */
  readonly failureRate: number;
  /**
   * Monotonic milliseconds until which it is ejected after failures: it gets no
   * requests while there are other endpoints.
   */
  readonly ejectedUntil: number;
  /** Whether it was ejected because it could not be reached at all. */
  readonly isUnreachable: boolean;
}

/** What can happen at an endpoint. Times are in monotonic milliseconds. */
export type LoadEvent =
  /** This host has sent it a request that adds so much prefill. */
  | {readonly kind: 'sent'; readonly prefillMilliseconds: number}
  /** The prefill of a request of this host has ended. */
  | {readonly kind: 'prefilled'; readonly prefillMilliseconds: number}
  /** A request of this host has left it. */
  | {readonly kind: 'ended'}
  /** Other hosts have reported the sum of their requests and prefill there. */
  | {
      readonly kind: 'reported';
      readonly requests: number;
      readonly prefillMilliseconds: number;
      readonly now: number;
    }
  /** The other hosts have reported that they have no requests there. */
  | {readonly kind: 'unused'; readonly now: number}
  /** The head of a response has arrived, perhaps with the endpoint’s load. */
  | {
      readonly kind: 'answered';
      readonly now: number;
      readonly reportedLoad: ReportedLoad | undefined;
    }
  /** It has failed a request. */
  | {readonly kind: 'failed'; readonly now: number}
  /** It does not accept connections, or another endpoint has its address. */
  | {readonly kind: 'unreachable'; readonly now: number}
  /** It has answered a health check. */
  | {readonly kind: 'reached'};

/** Failures in a row after which an endpoint is ejected. */
const FAILURES_BEFORE_EJECTION = 2;
/** Duration of the first ejection; each further failure doubles it. */
const BASE_EJECTION_MILLISECONDS = 500;
const MAX_EJECTION_MILLISECONDS = 8_000;
/** Duration of the ejection of an endpoint that can’t be reached. */
const UNREACHABLE_EJECTION_MILLISECONDS = 8_000;
/** Weight of the latest response in the moving average of failures. */
const FAILURE_RATE_WEIGHT = 0.15;
/** Age at which the load that was stated for others has half its weight. */
const REPORT_HALF_LIFE_MILLISECONDS = 1_000;

/** The load of an endpoint of which nothing is known yet. */
export const INITIAL_LOAD: EndpointLoad = {
  ownRequests: 0,
  ownPrefillMilliseconds: 0,
  otherRequests: 0,
  otherPrefillMilliseconds: 0,
  reportedAt: -Infinity,
  history: NO_HISTORY,
  consecutiveFailures: 0,
  failureRate: 0,
  ejectedUntil: -Infinity,
  isUnreachable: false,
};

/** No load of other hosts. */
const NONE = {requests: 0, prefillMilliseconds: 0};

/** The state of an endpoint that has just shown that it works. */
const HEALTHY = {
  consecutiveFailures: 0,
  ejectedUntil: -Infinity,
  isUnreachable: false,
};

/**
 * The load after an event.
 *
 * ```ts
 * load = applyLoadEvent(load, {kind: 'sent', prefillMilliseconds: 58});
 * ```
 */
export function applyLoadEvent(
  before: EndpointLoad,
  event: LoadEvent,
): EndpointLoad {
  switch (event.kind) {
    case 'sent':
      return {
        ...before,
        ownRequests: before.ownRequests + 1,
        ownPrefillMilliseconds:
          before.ownPrefillMilliseconds + event.prefillMilliseconds,
      };
    case 'prefilled':
      return {
        ...before,
        ownPrefillMilliseconds: Math.max(
          before.ownPrefillMilliseconds - event.prefillMilliseconds,
          0,
        ),
      };
    case 'ended':
      return {...before, ownRequests: Math.max(before.ownRequests - 1, 0)};
    case 'reported':
      return afterReport(before, event);
    case 'unused':
      return {...before, history: withReport(before.history, NONE, event.now)};
    case 'answered':
      return afterAnswer(before, event);
    case 'failed':
      return afterFailure(before, event.now);
    case 'unreachable':
      return {
        ...before,
        consecutiveFailures: before.consecutiveFailures + 1,
        ejectedUntil: event.now + UNREACHABLE_EJECTION_MILLISECONDS,
        isUnreachable: true,
      };
    case 'reached':
      return before.isUnreachable ? {...before, ...HEALTHY} : before;
  }
}

/** Requests of all hosts that an endpoint is believed to have. */
export function expectedRequests(
  {ownRequests, otherRequests, reportedAt}: EndpointLoad,
  now: number,
): number {
  return (
    ownRequests +
    (otherRequests === 0 ? 0 : otherRequests * decayFactor(reportedAt, now))
  );
}

/**
 * Requests of all hosts that an endpoint is believed to have, and milliseconds
 * of prefill that are believed to be queued there.
 */
export function expectedLoad(
  {
    ownRequests,
    ownPrefillMilliseconds,
    otherRequests,
    otherPrefillMilliseconds,
    reportedAt,
  }: EndpointLoad,
  now: number,
): {requests: number; prefillMilliseconds: number} {
  if (otherRequests === 0 && otherPrefillMilliseconds === 0) {
    const prefillMilliseconds = ownPrefillMilliseconds;
    return {requests: ownRequests, prefillMilliseconds};
  }
  const decay = decayFactor(reportedAt, now);
  return {
    requests: ownRequests + otherRequests * decay,
    prefillMilliseconds:
      ownPrefillMilliseconds + otherPrefillMilliseconds * decay,
  };
}

/** The weight of a stated load at its present age, from 1 down to 0. */
function decayFactor(reportedAt: number, now: number): number {
  return 0.5 ** ((now - reportedAt) / REPORT_HALF_LIFE_MILLISECONDS);
}

/** Whether an endpoint is ejected after failures. */
export function isEjected({ejectedUntil}: EndpointLoad, now: number): boolean {
  return now < ejectedUntil;
}

/**
 * Names each field in place of a spread, since it runs for each endpoint with
 * each report of the other hosts.
 */
function afterReport(
  before: EndpointLoad,
  event: Extract<LoadEvent, {kind: 'reported'}>,
): EndpointLoad {
  const {requests, prefillMilliseconds, now} = event;
  return {
    ownRequests: before.ownRequests,
    ownPrefillMilliseconds: before.ownPrefillMilliseconds,
    otherRequests: requests,
    otherPrefillMilliseconds: prefillMilliseconds,
    reportedAt: now,
    history: withReport(before.history, event, now),
    consecutiveFailures: before.consecutiveFailures,
    failureRate: before.failureRate,
    ejectedUntil: before.ejectedUntil,
    isUnreachable: before.isUnreachable,
  };
}

function afterAnswer(
  before: EndpointLoad,
  {now, reportedLoad}: Extract<LoadEvent, {kind: 'answered'}>,
): EndpointLoad {
  const answered = {
    ...before,
    failureRate: before.failureRate * (1 - FAILURE_RATE_WEIGHT),
    ...HEALTHY,
  };
  if (!reportedLoad) return answered;
  const otherRequests = Math.max(
    reportedLoad.running + reportedLoad.waiting - before.ownRequests,
    0,
  );
  const history = withStatement(before.history, otherRequests, now);
  return {...answered, otherRequests, reportedAt: now, history};
}

function afterFailure(before: EndpointLoad, now: number): EndpointLoad {
  const consecutiveFailures = before.consecutiveFailures + 1;
  const failureRate =
    before.failureRate + FAILURE_RATE_WEIGHT * (1 - before.failureRate);
  const doublings = consecutiveFailures - FAILURES_BEFORE_EJECTION;
  if (doublings < 0) return {...before, consecutiveFailures, failureRate};
  const duration = Math.min(
    BASE_EJECTION_MILLISECONDS * 2 ** doublings,
    MAX_EJECTION_MILLISECONDS,
  );
  const ejectedUntil = Math.max(before.ejectedUntil, now + duration);
  return {
    ...before,
    consecutiveFailures,
    failureRate,
    ejectedUntil,
  };
}
