/**
 * Decides what follows in a roll-out, from its state and what the hosts report.
 * Time is Unix milliseconds, as the state outlives its leader.
 */
import {MIN_HALVED_ENDPOINTS, type Evidence} from './evidence.js';
import {
  findFault,
  isDoubtful,
  newAnswers,
  oldAnswers,
  routesOf,
  type Fault,
} from './judge.js';
import {hasEnded, type RolloutPhase, type RolloutState} from './state.js';

/** The bounds of the settings. */
export interface RolloutBounds {
  /** Part of a service's requests that a bad version may get. */
  readonly exposureShare: number;
  /** Requests that it may get beyond that. */
  readonly exposureSlack: number;
  /** Milliseconds after its 50th bad answer in which it may get requests. */
  readonly rollbackMilliseconds: number;
}

/** What a host reports, as the leader sees it. */
export interface HostProgress {
  /** The phase of the newest permission that it confirms. */
  readonly phase: RolloutPhase | undefined;
  /** Requests that it runs at other versions. */
  readonly others: number;
  /** Whether its last report is recent. */
  readonly isHeard: boolean;
}

/** What the leader knows at one moment. */
export interface Observation {
  /** Ready endpoints of the new version, and of versions to be replaced. */
  readonly endpoints: {readonly to: number; readonly others: number};
  /** Since the order. */
  readonly evidence: Evidence;
  /** Of the last seconds. */
  readonly recent: Evidence;
  /** By time, as baselines. */
  readonly windows: readonly Evidence[];
  /** Requests at the new version, and all of the service, since the order. */
  readonly sent: {readonly to: number; readonly all: number};
  /** Requests of the service a millisecond; undefined before it is known. */
  readonly rate: number | undefined;
  readonly hosts: readonly HostProgress[];
  /** Hosts that have stopped by themselves, with what they saw. */
  readonly stopped: number;
  /** Whether the order has been removed. */
  readonly isWithdrawn: boolean;
}

/** What hosts are allowed until they hear otherwise. */
export interface Allowance {
  /** Part of the requests that go to the new version. */
  readonly share: number;
  /** Endpoints of the new version that get them; 0 for all. */
  readonly endpoints: number;
}

/** What follows. */
export interface Decision {
  readonly state: RolloutState;
  readonly allowance: Allowance;
}

/** Longest time in which all traffic is at the new version before the deadline. */
const MAX_RESERVE_MILLISECONDS = 15_000;
const RESERVE_SHARE = 0.5;
/**
 * Time before the deadline at which the last endpoint or answer must be there.
 * A move of all traffic takes two reports and the rest of the running requests.
 */
const MIN_RESERVE_MILLISECONDS = 4_000;
/**
 * Time before the deadline at which the outcome is written in any case. That takes
 * three calls to the store, which may be slow.
 */
const DECISION_MARGIN_MILLISECONDS = 1_500;
/** Part of the exposure bound that is used before all traffic moves. */
const CANARY_BUDGET_SHARE = 0.6;
const CANARY_SLACK_SHARE = 0.5;
/** Part of that which is spent evenly; the rest is for the load phase. */
const EVEN_BUDGET_SHARE = 0.7;
/** Share of the canary phase, whatever the budget is. */
const MAX_CANARY_SHARE = 0.5;
const MAX_LOAD_SHARE = 0.5;
const PARTIAL_SHARE = 0.35;
const PARTIAL_MILLISECONDS = 1_000;
/** Time until a changed share is in force at all hosts and shows in reports. */
const REACTION_MILLISECONDS = 1_000;
/** Endpoints of the canary phase at least, so that a fault is not one machine's. */
const MIN_CANARY_ENDPOINTS = 2;
/** Least time at a share before the next step. */
const MIN_PHASE_MILLISECONDS = 1_500;
/** Good answers that a route with traffic needs for a step up. */
const MIN_GOOD_ANSWERS = 12;

const NOTHING: Allowance = {share: 0, endpoints: 0};

/**
 * Returns the next state and what hosts are allowed.
 *
 * ```ts
 * const {state, allowance} = decideRollout(before, observed, bounds, unixNow);
 * ```
 */
export function decideRollout(
  before: RolloutState,
  observed: Observation,
  bounds: RolloutBounds,
  now: number,
): Decision {
  if (hasEnded(before))
    return {state: before, allowance: allowanceAfter(before)};
  const {phase, reason} = nextPhase(before, observed, now);
  const state =
    phase === before.phase
      ? {...before, sent: observed.sent}
      : {...before, phase, since: now, reason, sent: observed.sent};
  return {state, allowance: allowanceIn(state, observed, bounds)};
}

/** What holds once a roll-out has ended. */
export function allowanceAfter({phase}: RolloutState): Allowance {
  return phase === 'completed' ? {share: 1, endpoints: 0} : NOTHING;
}

/** Unix milliseconds of the deadline. */
export function deadlineOf({order, orderedAt}: RolloutState): number {
  return orderedAt + Math.max(order.duration, 0);
}

interface Step {
  readonly phase: RolloutPhase;
  readonly reason: string;
}

function nextPhase(
  state: RolloutState,
  observed: Observation,
  now: number,
): Step {
  const fault =
    findFault(observed.evidence, observed.windows) ??
    findFault(observed.recent, [observed.evidence, ...observed.windows]);
  if (fault) return {phase: 'reverted', reason: textOf(fault)};
  if (observed.stopped > 0)
    return {phase: 'reverted', reason: 'a host has seen bad answers'};
  if (observed.isWithdrawn)
    return {phase: 'reverted', reason: 'the order was removed'};
  const {order, phase} = state;
  if (!(order.duration > 0))
    return {phase: 'reverted', reason: 'the order has no duration'};
  if (now >= deadlineOf(state) - DECISION_MARGIN_MILLISECONDS)
    return outcomeAtDeadline(state, observed);
  return stepIn(phase, state, observed, now);
}

function stepIn(
  phase: RolloutPhase,
  state: RolloutState,
  observed: Observation,
  now: number,
): Step {
  const stay = {phase, reason: state.reason};
  const {since} = state;
  const moveAt = deadlineOf(state) - reserveOf(state);
  const lateAt = deadlineOf(state) - MIN_RESERVE_MILLISECONDS;
  const isSettled = now - since >= MIN_PHASE_MILLISECONDS;
  const isLate = now >= lateAt;
  const isGood = hasGoodAnswers(observed.evidence) || isLate;
  switch (phase) {
    case 'waiting':
      if (observed.endpoints.to === 0) return stay;
      return {phase: 'canary', reason: 'endpoints are ready'};
    case 'canary': {
      const loadAt = (state.orderedAt + moveAt) / 2;
      if (!isGood || !(isSettled || isLate) || now < Math.min(loadAt, lateAt))
        return stay;
      return {phase: 'load', reason: 'good answers on each route'};
    }
    case 'load':
      if (!isGood || now < moveAt || !(isSettled || isLate)) return stay;
      return {phase: 'partial', reason: 'good answers under load'};
    case 'partial':
      if (now - since < PARTIAL_MILLISECONDS) return stay;
      return {phase: 'full', reason: 'good answers of many endpoints'};
    case 'full':
      if (now - since < REACTION_MILLISECONDS) return stay;
      return {phase: 'closing', reason: 'good answers of all endpoints'};
    case 'closing':
      if (!isDrained(observed)) return stay;
      return {phase: 'completed', reason: 'no request is at the old version'};
    default:
      return stay;
  }
}

/** All that is known at the deadline is weighed; doubt reverts. */
function outcomeAtDeadline(
  {phase}: RolloutState,
  {evidence, endpoints}: Observation,
): Step {
  if (endpoints.to === 0)
    return {phase: 'reverted', reason: 'no endpoint of the version'};
  if (isDoubtful(evidence))
    return {phase: 'reverted', reason: 'too few answers to rule a fault out'};
  if (phase === 'full' || phase === 'closing')
    return {phase: 'completed', reason: 'the deadline; not all hosts confirm'};
  const routes = routesOf(evidence);
  if (routes.every(route => oldAnswers(evidence, route) === 0))
    return {phase: 'completed', reason: 'nobody called the service'};
  return {
    phase: 'reverted',
    reason: 'the deadline came before all traffic moved',
  };
}

function reserveOf({order}: RolloutState): number {
  return Math.min(order.duration * RESERVE_SHARE, MAX_RESERVE_MILLISECONDS);
}

/** Whether each route that has traffic has enough answers of the new version. */
function hasGoodAnswers(evidence: Evidence): boolean {
  return routesOf(evidence).every(route => {
    const olds = oldAnswers(evidence, route);
    return (
      olds < MIN_GOOD_ANSWERS || newAnswers(evidence, route) >= MIN_GOOD_ANSWERS
    );
  });
}

/**
 * Whether no host has a request at another version. A silent host may still send
 * there, as its permission has expired, so it is waited for until the deadline.
 */
function isDrained({hosts, endpoints}: Observation): boolean {
  if (endpoints.others === 0) return true;
  return hosts.every(
    ({phase, others, isHeard}) =>
      isHeard && phase === 'closing' && others === 0,
  );
}

function allowanceIn(
  state: RolloutState,
  observed: Observation,
  bounds: RolloutBounds,
): Allowance {
  const {phase} = state;
  const {to: endpoints} = observed.endpoints;
  const {rate} = observed;
  if (phase === 'waiting' || phase === 'reverted' || endpoints === 0)
    return NOTHING;
  if (phase === 'full' || phase === 'closing' || phase === 'completed')
    return {share: 1, endpoints: 0};
  if (phase === 'partial') return {share: PARTIAL_SHARE, endpoints: 0};
  if (rate === undefined) return NOTHING;
  const even = evenShare(state, rate, bounds);
  const share = Math.min(
    phase === 'load' ? Math.max(loadShare(endpoints, bounds), even) : even,
    affordableShare(observed, rate, bounds),
  );
  if (share <= 0) return NOTHING;
  const bearing = Math.round(share * endpoints);
  const least =
    phase === 'load' ? bearingEndpoints(endpoints) : MIN_CANARY_ENDPOINTS;
  return {share, endpoints: Math.min(Math.max(bearing, least), endpoints)};
}

/** The share that spends the budget evenly until all traffic is to move. */
function evenShare(
  state: RolloutState,
  rate: number,
  {exposureShare, exposureSlack}: RolloutBounds,
): number {
  const time = state.order.duration - reserveOf(state);
  const requests = Math.max(rate * time, 1);
  const slack = (exposureSlack * CANARY_SLACK_SHARE) / requests;
  return Math.min(
    exposureShare * CANARY_BUDGET_SHARE * EVEN_BUDGET_SHARE + slack,
    MAX_CANARY_SHARE,
  );
}

/**
 * The least share at which two endpoints, of few one, bear what they would at all
 * traffic. A fault of one machine would else look like one of the version.
 */
function loadShare(endpoints: number, {exposureShare}: RolloutBounds): number {
  const bearing = bearingEndpoints(endpoints);
  return Math.min(Math.max(bearing / endpoints, exposureShare), MAX_LOAD_SHARE);
}

/** How many of the endpoints bear the load in the load phase. */
function bearingEndpoints(endpoints: number): number {
  return endpoints < MIN_HALVED_ENDPOINTS ? 1 : 2;
}

/** The share at which the new version stays within its budget for a while. */
function affordableShare(
  {sent}: Observation,
  rate: number,
  {exposureShare, exposureSlack}: RolloutBounds,
): number {
  const budget =
    sent.all * exposureShare * CANARY_BUDGET_SHARE +
    exposureSlack * CANARY_SLACK_SHARE;
  const rest = Math.max(budget - sent.to, 0);
  return rest / Math.max(rate * REACTION_MILLISECONDS, 1);
}

function textOf({route, kind, bad, answers}: Fault): string {
  return `${kind} on ${route}: ${bad} of ${answers}`;
}
