/**
 * Enters this host in the store and reads there which others there are: when it
 * starts, and slowly ever after, since two groups of hosts may each be whole in
 * their own eyes. All hosts together read at a rate that does not grow with them.
 * What the store says of a host is only where to look for it: it counts once its
 * pulses come.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {HostAddress, HostToContact} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RandomSource} from '../random/index.js';
import {
  StoreError,
  type KeyedPage,
  type KeyedRecord,
  type KeyedValue,
  type RecordStore,
} from '../store/index.js';
import {hostOfRecord, HOSTS_TOPIC, recordOfHost} from './record.js';
import {
  NOTHING_SEEN,
  noteSilent,
  reviewRegistry,
  type UnreachedHosts,
} from './review.js';

const STORE_TIMEOUT_MILLISECONDS = 1_200;
/** Longest time that hosts which start together are spread over. */
const START_SPREAD_MILLISECONDS = 300;
/** Milliseconds between two reads, for each host that is known to be up. */
const READ_INTERVAL_PER_HOST_MILLISECONDS = 5_000;
/** Milliseconds between two tries, at first and at most. */
const MIN_RETRY_MILLISECONDS = 1_000;
const MAX_RETRY_MILLISECONDS = 8_000;
/** Milliseconds in which hosts read again after what concerns all of them. */
const REVIEW_SPREAD_MILLISECONDS = 2_000;

/** Dependencies of the registry. */
export interface HostRegistryOptions {
  readonly self: HostAddress;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /** The other hosts that are reachable. */
  readonly reachable: () => readonly HostAddress[];
  /** Called after each read with the hosts that are to be contacted. */
  readonly onRead: (toContact: readonly HostToContact[]) => void;
}

/** The hosts that the store names, this one among them. */
export class HostRegistry {
  private unreached: UnreachedHosts = NOTHING_SEEN;
  private isEntered = false;
  /** Whether the store may have an entry of this incarnation. */
  private mayBeEntered = false;
  private isUnderWay = false;
  private isStopped = false;
  private failures = 0;
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: HostRegistryOptions) {
    options.store.restores.onRestore(() => this.handleRestore());
  }

  /** Enters this host soon, and reads who else is there. */
  start(): void {
    this.scheduleWithin(START_SPREAD_MILLISECONDS);
  }

  /** Notes that a host is no longer reachable. */
  noteLost(host: HostAddress): void {
    const {clock, reachable} = this.options;
    this.unreached = noteSilent(this.unreached, host, clock.monotonic());
    if (reachable().length === 0)
      this.scheduleWithin(REVIEW_SPREAD_MILLISECONDS);
  }

  /** Removes the entry of this host, which stops. */
  async leave(): Promise<void> {
    this.isStopped = true;
    this.stopTimer();
    const {self, logger} = this.options;
    if (!this.mayBeEntered) return;
    try {
      await this.append([{key: self.name, value: undefined}]);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      logger.warn('registry-not-left', {detail: error.message});
    }
  }

  /** The copy may lack the entry of this host, and have those of hosts that left. */
  private handleRestore(): void {
    this.isEntered = false;
    this.scheduleWithin(REVIEW_SPREAD_MILLISECONDS);
  }

  private scheduleWithin(spread: number): void {
    this.schedule(this.options.random.next() * spread);
  }

  private schedule(delay: number): void {
    this.stopTimer();
    if (this.isStopped) return;
    this.stopTimer = this.options.clock.after(delay, () => void this.update());
  }

  private async update(): Promise<void> {
    if (this.isUnderWay) return;
    this.isUnderWay = true;
    try {
      // Of two hosts that enter themselves before they read, one sees the other.
      if (!this.isEntered) await this.enter();
      await this.read();
      this.failures = 0;
      if (this.isEntered) this.schedule(this.readInterval());
      else this.scheduleWithin(MAX_RETRY_MILLISECONDS);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      this.handleFailure(error);
    } finally {
      this.isUnderWay = false;
    }
  }

  private async enter(): Promise<void> {
    const {self, logger, metrics} = this.options;
    this.mayBeEntered = true;
    try {
      await this.append([recordOfHost(self)]);
      this.isEntered = true;
    } catch (error) {
      // Others can be found without an entry; the next read shows that it lacks.
      if (!(error instanceof StoreError)) throw error;
      metrics.count('registry-failed', {call: 'append', reason: error.failure});
      logger.warn('registry-not-entered', {detail: error.message});
    }
  }

  private async read(): Promise<void> {
    const {store, self, clock, reachable, onRead} = this.options;
    const page = await store.readNewest(
      HOSTS_TOPIC,
      STORE_TIMEOUT_MILLISECONDS,
    );
    if (this.isStopped) return;
    const review = reviewRegistry({
      self,
      entries: page.records.flatMap(record => this.hostOf(record) ?? []),
      reachable: reachable(),
      unreached: this.unreached,
      now: clock.monotonic(),
    });
    this.isEntered = review.isEntered;
    this.unreached = review.unreached;
    onRead(review.toContact);
    await this.remove(review.lapsed, page);
  }

  /** Removes entries, unless the topic has changed since the page was read. */
  private async remove(
    lapsed: readonly HostAddress[],
    {end}: KeyedPage,
  ): Promise<void> {
    if (lapsed.length === 0) return;
    const {logger} = this.options;
    const names = lapsed.map(({name}) => name);
    try {
      const removals = names.map(key => ({key, value: undefined}));
      await this.append(removals, end);
      logger.info('registry-removed', {hosts: names.join(',')});
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      logger.info('registry-not-removed', {detail: error.message});
    }
  }

  private append(
    values: readonly KeyedValue[],
    expectedEnd?: number,
  ): Promise<void> {
    const timeout = STORE_TIMEOUT_MILLISECONDS;
    const {store} = this.options;
    return store.appendKeyed(HOSTS_TOPIC, values, timeout, expectedEnd);
  }

  private hostOf(record: KeyedRecord): HostAddress | undefined {
    const {logger, metrics} = this.options;
    try {
      return hostOfRecord(record);
    } catch (error) {
      const detail = error instanceof Error ? error.message : 'unreadable';
      metrics.count('record-malformed', {topic: HOSTS_TOPIC});
      logger.warn('record-malformed', {key: record.key, detail});
      return undefined;
    }
  }

  private handleFailure(error: StoreError): void {
    const {logger, metrics, random} = this.options;
    metrics.count('registry-failed', {call: 'read', reason: error.failure});
    if (this.failures === 0)
      logger.warn('registry-not-read', {detail: error.message});
    const backoff = MIN_RETRY_MILLISECONDS * 2 ** this.failures++;
    const delay = Math.min(backoff, MAX_RETRY_MILLISECONDS);
    this.schedule(delay * (0.5 + random.next() / 2));
  }

  /** Milliseconds until the next read of this host. */
  private readInterval(): number {
    const {random, reachable} = this.options;
    const hosts = reachable().length + 1;
    const interval = READ_INTERVAL_PER_HOST_MILLISECONDS * hosts;
    return interval * (0.75 + random.next() / 2);
  }
}
