/**
 * The leader's part in the roll-outs: takes the hosts' reports, decides the next
 * phase, writes it into the store and tells each host what it may do.
 */
import type {Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {StoreError, type StoreRestores} from '../store/index.js';
import {
  allowanceAfter,
  decideRollout,
  type Allowance,
  type RolloutBounds,
} from './decide.js';
import {newAnswers, oldAnswers, routesOf} from './judge.js';
import type {RolloutReport, RolloutShare} from './message.js';
import {hasSameContent, isSameOrder, type PlacedOrder} from './order.js';
import type {RolloutRecords} from './records.js';
import {RolloutReports} from './reports.js';
import {beginRollout, hasEnded, outcomeOf, type RolloutState} from './state.js';

/**
 * Time in which a new leader only listens: the hosts' counts must have come before
 * it allows anything.
 */
const LISTEN_MILLISECONDS = 700;
/** Time for which hosts are told the end. One that misses it reads the store. */
const FOLLOW_UP_MILLISECONDS = 5_000;
/** Time after a failed call to the store until the next one. */
const RETRY_MILLISECONDS = 300;

/** An order as this host knows it. */
export interface KnownOrder {
  readonly order: PlacedOrder;
  /** Monotonic milliseconds. */
  readonly knownAt: number;
  /** Whether the operator has removed it. */
  readonly isWithdrawn: boolean;
}

/** The leader on whose behalf roll-outs are decided. */
export interface RolloutLeader {
  readonly fence: number;
  readonly mayAct: () => boolean;
}

/** What the control is created from. */
export interface RolloutControlOptions {
  readonly records: RolloutRecords;
  readonly restores: StoreRestores;
  readonly bounds: RolloutBounds;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly orders: () => ReadonlyMap<string, KnownOrder>;
  /** Ready endpoints of a version of a service, and of its other versions. */
  readonly endpoints: (
    service: string,
    to: string,
  ) => {readonly to: number; readonly others: number};
  /** Incarnations of the hosts that are alive, by name, this one among them. */
  readonly hosts: () => ReadonlyMap<string, string>;
  /** Tells a host what it may do. */
  readonly send: (host: string, share: RolloutShare) => void;
}

/** One roll-out that this host leads. */
interface Led {
  state: RolloutState;
  /** The state that the store is known to have; undefined for none. */
  stored: RolloutState | undefined;
  /** Whether the platform has been told the outcome of `state`. */
  isToldOutcome: string | undefined;
  reports: RolloutReports;
  /** Monotonic milliseconds from which this host leads it. */
  readonly since: number;
  endedAt: number | undefined;
  /** Whether what the store has is from an older copy, to be replaced. */
  isRestored: boolean;
  isWriting: boolean;
  retryAt: number;
}

/** Leads the roll-outs while this host is the leader. */
export class RolloutControl {
  private leader: RolloutLeader | undefined;
  private led = new Map<string, Led>();
  private loaded: ReadonlyMap<string, RolloutState> | undefined;
  private isLoading = false;
  private retryAt = -Infinity;

  constructor(private readonly options: RolloutControlOptions) {
    options.restores.onRestore(() => this.writeAnew());
  }

  /** Takes over, or goes on, as the leader. */
  lead(leader: RolloutLeader): void {
    if (leader.fence !== this.leader?.fence) this.forget();
    this.leader = leader;
  }

  /** Whether this host leads now. */
  get isLeading(): boolean {
    return this.leader?.mayAct() ?? false;
  }

  /** Whether a service's order is being carried out, as far as the leader knows. */
  isRunning(service: string): boolean {
    const led = this.led.get(service);
    return led !== undefined && !hasEnded(led.state);
  }

  /** Takes the report of a host. */
  handleReport(incarnation: string, report: RolloutReport): void {
    const led = this.led.get(report.order.service);
    if (!led || !hasSameContent(led.state.order, report.order)) return;
    const knowsEnd =
      report.phase === 'completed' || report.phase === 'reverted';
    // The end of an earlier order of the same content.
    if (knowsEnd && !isSameOrder(led.state.order, report.order)) return;
    led.reports.add(incarnation, report, this.now());
  }

  /** Decides what is due and tells the hosts. Called several times a second. */
  tick(): void {
    const {leader} = this;
    if (!leader?.mayAct()) return this.forget();
    const orders = this.options.orders();
    if (orders.size === 0) return this.led.clear();
    if (!this.loaded) return void this.load(leader);
    for (const known of orders.values()) this.advance(known, leader);
  }

  private forget(): void {
    this.led.clear();
    this.loaded = undefined;
    this.leader = undefined;
  }

  private async load({fence}: RolloutLeader): Promise<void> {
    if (this.isLoading || this.now() < this.retryAt) return;
    this.isLoading = true;
    try {
      const loaded = await this.options.records.read();
      if (this.leader?.fence === fence) this.loaded = loaded;
    } catch (error) {
      this.handleStoreError(error);
      this.retryAt = this.now() + RETRY_MILLISECONDS;
    } finally {
      this.isLoading = false;
    }
    if (this.loaded) this.tick();
  }

  private advance(known: KnownOrder, leader: RolloutLeader): void {
    const led = this.ledFor(known);
    if (!led) return;
    const now = this.now();
    const isListening =
      now < led.since + LISTEN_MILLISECONDS && !hasEnded(led.state);
    const allowance = isListening
      ? {share: 0, endpoints: 0}
      : this.decide(led, known);
    void this.write(led, leader);
    this.tellHosts(led, allowance, isListening, leader);
  }

  /** The roll-out of an order; undefined if there is nothing to do for it. */
  private ledFor({order, knownAt, isWithdrawn}: KnownOrder): Led | undefined {
    const {service} = order;
    const led = this.led.get(service);
    if (led && !hasEnded(led.state) && hasSameContent(led.state.order, order)) {
      if (led.state.order.offset !== order.offset)
        led.state = {...led.state, order};
      return led;
    }
    if (led && isSameOrder(led.state.order, order)) return led;
    const before = led?.state ?? this.loaded?.get(service);
    const goesOn =
      before &&
      (hasEnded(before)
        ? isSameOrder(before.order, order)
        : hasSameContent(before.order, order));
    // What is removed after its end is of no more concern.
    if (isWithdrawn && !(goesOn && !hasEnded(before))) return undefined;
    const unixNow = this.unixNow();
    const orderedAt = unixNow - Math.max(this.now() - knownAt, 0);
    const state = goesOn
      ? {...before, order}
      : beginRollout(order, before, orderedAt, unixNow);
    const begun = this.createLed(state, led?.stored ?? before);
    this.led.set(service, begun);
    if (!hasEnded(state)) this.logStep(begun, {share: 0, endpoints: 0});
    return begun;
  }

  private createLed(
    state: RolloutState,
    stored: RolloutState | undefined,
  ): Led {
    return {
      state,
      stored,
      isToldOutcome: undefined,
      reports: new RolloutReports(state.sent),
      since: this.now(),
      endedAt: hasEnded(state) ? this.now() : undefined,
      isRestored: false,
      isWriting: false,
      retryAt: -Infinity,
    };
  }

  private decide(led: Led, {isWithdrawn}: KnownOrder): Allowance {
    if (hasEnded(led.state)) return allowanceAfter(led.state);
    const {service, to} = led.state.order;
    const now = this.now();
    const unixNow = this.unixNow();
    this.correctOrderTime(led, unixNow);
    const before = led.state;
    const {knownEnd} = led.reports;
    if (knownEnd) {
      const reason = 'a host knows the end';
      led.state = {...before, phase: knownEnd, since: unixNow, reason};
    } else {
      const present = [...this.options.hosts().values()];
      const observed = {
        ...led.reports.observe(present, now),
        endpoints: this.options.endpoints(service, to),
        isWithdrawn,
      };
      const {bounds} = this.options;
      const {state, allowance} = decideRollout(
        before,
        observed,
        bounds,
        unixNow,
      );
      led.state = state;
      if (state.phase === before.phase) return allowance;
      this.logStep(led, allowance);
      if (!hasEnded(state)) return allowance;
    }
    led.endedAt = now;
    return allowanceAfter(led.state);
  }

  /** The order began when the first host knew it, which need not be this one. */
  private correctOrderTime(led: Led, unixNow: number): void {
    const {state, reports} = led;
    if (state.order.duration <= 0) return;
    const first = unixNow - reports.knownFor;
    if (reports.knownFor === 0 || first >= state.orderedAt) return;
    led.state = {...state, orderedAt: first};
  }

  /** Writes what the store lacks, one call after another. */
  private async write(led: Led, leader: RolloutLeader): Promise<void> {
    if (led.isWriting || this.now() < led.retryAt) return;
    const {state, stored} = led;
    const outcome = outcomeOf(state.phase);
    const isStored =
      stored?.phase === state.phase &&
      stored.since === state.since &&
      stored.order.offset === state.order.offset;
    if (isStored && led.isToldOutcome === outcome) return;
    led.isWriting = true;
    const {records} = this.options;
    const mayWrite = () =>
      leader.mayAct() && this.leader?.fence === leader.fence;
    try {
      if (!isStored) {
        const expected = led.isRestored ? 'any' : stored;
        if (!(await records.write(state, expected, mayWrite)))
          return this.forget();
        led.stored = state;
        led.isRestored = false;
      }
      if (led.isToldOutcome === outcome || !mayWrite()) return;
      await records.writeStatus(state);
      led.isToldOutcome = outcome;
      const {service, to} = state.order;
      this.options.logger.info('rollout-status', {service, to, outcome});
    } catch (error) {
      this.handleStoreError(error);
      led.retryAt = this.now() + RETRY_MILLISECONDS;
    } finally {
      led.isWriting = false;
    }
  }

  /** Writes all again, as the store has come back from a copy that may lack it. */
  private writeAnew(): void {
    for (const led of this.led.values()) {
      led.stored = undefined;
      led.isRestored = true;
      led.isToldOutcome = undefined;
    }
  }

  private tellHosts(
    led: Led,
    allowance: Allowance,
    isListening: boolean,
    leader: RolloutLeader,
  ): void {
    const {state, stored, endedAt, reports} = led;
    const isOver =
      endedAt !== undefined && this.now() - endedAt > FOLLOW_UP_MILLISECONDS;
    if (isOver || !leader.mayAct()) return;
    // The old endpoints are needed until the store has `completed`.
    const isUnwritten =
      state.phase === 'completed' && stored?.phase !== 'completed';
    const phase = isListening
      ? 'waiting'
      : isUnwritten
        ? 'closing'
        : state.phase;
    for (const [name, incarnation] of this.options.hosts()) {
      this.options.send(name, {
        order: state.order,
        fence: leader.fence,
        phase,
        ...allowance,
        excluded: state.excluded,
        echo: reports.stampOf(incarnation),
      });
    }
  }

  private logStep({state, reports}: Led, {share, endpoints}: Allowance): void {
    const {order, phase, reason, sent} = state;
    const {service, to} = order;
    const {logger, metrics} = this.options;
    const {evidence} = reports;
    const routes = routesOf(evidence).map(
      route =>
        `${route} ${newAnswers(evidence, route)}/${oldAnswers(evidence, route)}`,
    );
    metrics.count('rollout-step', {service, phase});
    logger.info('rollout-step', {
      service,
      to,
      phase,
      reason,
      share,
      endpoints,
      sentToNew: sent.to,
      sentInAll: sent.all,
      answers: routes.join(),
    });
  }

  private handleStoreError(error: unknown): void {
    if (!(error instanceof StoreError)) throw error;
    const {logger, metrics} = this.options;
    metrics.count('rollout-store-failed', {reason: error.failure});
    logger.warn('rollout-store-failed', {detail: error.message});
  }

  private now(): number {
    return this.options.clock.monotonic();
  }

  private unixNow(): number {
    return this.options.clock.now().getTime();
  }
}
