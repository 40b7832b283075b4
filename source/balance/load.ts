/**
 * What a host knows of the load and health of one endpoint, as an immutable
 * value. Its own requests it knows exactly; those of other hosts it learns from
 * what answers say, which grows old.
 */

/** The load that an endpoint named in an answer. */
export interface NamedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What is known of an endpoint's load and health. */
export interface EndpointLoad {
  /** Requests of this host that it has. */
  readonly own: number;
  /** Milliseconds of reading that requests of this host wait for there. */
  readonly ownReading: number;
  /** Requests of other hosts, when an answer or a host last told. */
  readonly others: number;
  /** Milliseconds of reading that those wait for. */
  readonly othersReading: number;
  /** Monotonic milliseconds at which an answer or a host last told. */
  readonly toldAt: number;
  /** Failures since the last good answer. */
  readonly failures: number;
  /** Share of its answers that failed, of late. */
  readonly failing: number;
  /** Monotonic milliseconds until which it gets no requests after failures. */
  readonly avoidedUntil: number;
  /** Whether it is avoided because it could not be reached at all. */
  readonly unreachable: boolean;
}

/** What can happen at an endpoint. */
export type LoadEvent =
  | {readonly kind: 'sent'; readonly reading: number}
  | {readonly kind: 'read'; readonly reading: number}
  | {readonly kind: 'ended'}
  | {
      readonly kind: 'told';
      readonly requests: number;
      readonly reading: number;
      readonly now: number;
    }
  | {
      readonly kind: 'answered';
      readonly now: number;
      readonly named: NamedLoad | undefined;
    }
  | {readonly kind: 'failed'; readonly now: number}
  /** It does not accept connections, or another has its address. */
  | {readonly kind: 'unreachable'; readonly now: number}
  /** It has answered when it was asked how it is. */
  | {readonly kind: 'reached'};

/** Failures in a row after which an endpoint is avoided. */
const FAILURES_BEFORE_AVOIDED = 2;
const AVOIDED_MILLISECONDS = 500;
const AVOIDED_MILLISECONDS_MOST = 8_000;
const UNREACHABLE_MILLISECONDS = 8_000;
const FAILING_WEIGHT = 0.15;
/** Milliseconds after which half of what an answer told counts no more. */
const TOLD_HALF_LIFE_MILLISECONDS = 1_000;

/** An endpoint about which nothing has been learned. */
export const IDLE_LOAD: EndpointLoad = {
  own: 0,
  ownReading: 0,
  others: 0,
  othersReading: 0,
  toldAt: -Infinity,
  failures: 0,
  failing: 0,
  avoidedUntil: -Infinity,
  unreachable: false,
};

/** An endpoint that has proved that it works. */
const SOUND = {failures: 0, avoidedUntil: -Infinity, unreachable: false};

/**
 * The load after an event.
 *
 * ```ts
 * load = afterLoad(load, {kind: 'sent', reading: 58});
 * ```
 */
export function afterLoad(
  before: EndpointLoad,
  event: LoadEvent,
): EndpointLoad {
  switch (event.kind) {
    case 'sent':
      return {
        ...before,
        own: before.own + 1,
        ownReading: before.ownReading + event.reading,
      };
    case 'read':
      return {
        ...before,
        ownReading: Math.max(before.ownReading - event.reading, 0),
      };
    case 'ended':
      return {...before, own: Math.max(before.own - 1, 0)};
    case 'told':
      return {
        ...before,
        others: event.requests,
        othersReading: event.reading,
        toldAt: event.now,
      };
    case 'answered':
      return afterAnswer(before, event);
    case 'failed':
      return afterFailure(before, event.now);
    case 'unreachable':
      return {
        ...before,
        failures: before.failures + 1,
        avoidedUntil: event.now + UNREACHABLE_MILLISECONDS,
        unreachable: true,
      };
    case 'reached':
      return before.unreachable ? {...before, ...SOUND} : before;
  }
}

/** Requests that an endpoint is believed to have, of all hosts. */
export function expectedRequests(
  {own, others, toldAt}: EndpointLoad,
  now: number,
): number {
  return own + (others === 0 ? 0 : others * kept(toldAt, now));
}

/** Milliseconds of reading that are believed to wait at an endpoint. */
export function expectedReading(
  {ownReading, othersReading, toldAt}: EndpointLoad,
  now: number,
): number {
  if (othersReading === 0) return ownReading;
  return ownReading + othersReading * kept(toldAt, now);
}

/** How much of what was told still counts. */
function kept(toldAt: number, now: number): number {
  return 0.5 ** ((now - toldAt) / TOLD_HALF_LIFE_MILLISECONDS);
}

/** Whether an endpoint is given a rest after failures. */
export function isAvoided({avoidedUntil}: EndpointLoad, now: number): boolean {
  return now < avoidedUntil;
}

function afterAnswer(
  before: EndpointLoad,
  {now, named}: Extract<LoadEvent, {kind: 'answered'}>,
): EndpointLoad {
  const answered = {
    ...before,
    failing: before.failing * (1 - FAILING_WEIGHT),
    ...SOUND,
  };
  if (!named) return answered;
  const others = Math.max(named.running + named.waiting - before.own, 0);
  return {...answered, others, toldAt: now};
}

function afterFailure(before: EndpointLoad, now: number): EndpointLoad {
  const failures = before.failures + 1;
  const failing = before.failing + FAILING_WEIGHT * (1 - before.failing);
  const beyond = failures - FAILURES_BEFORE_AVOIDED;
  if (beyond < 0) return {...before, failures, failing};
  const rest = Math.min(
    AVOIDED_MILLISECONDS * 2 ** beyond,
    AVOIDED_MILLISECONDS_MOST,
  );
  const avoidedUntil = Math.max(before.avoidedUntil, now + rest);
  return {...before, failures, failing, avoidedUntil};
}
