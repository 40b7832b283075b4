/**
 * Keeps a host's view of a keyed topic up to date: reads the newest records
 * first, then one long poll after another. A read that takes longer than it may
 * is abandoned and repeated on another connection. Retries back off with
 * jitter, so that hosts do not all return at once.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RandomSource} from '../random/index.js';
import {differs, digestOf, type TopicDigest} from './digest.js';
import {GapWatch} from './gap.js';
import {
  applyPage,
  applyPeerPage,
  applyFullPage,
  followsOn,
  recordsFrom,
  UNREAD,
  type KeyedState,
  type KeyedUpdate,
  type PeerRecordPage,
} from './keyedstate.js';
import {isBefore, isSameEra, type StorePosition} from './restores.js';
import {StoreError, type KeyedRecord, type RecordStore} from './store.js';

/** Milliseconds for which a read waits at the store for a record. */
const LONG_POLL_MILLISECONDS = 2_000;
/** Milliseconds beyond its wait after which a read counts as failed. */
const RESPONSE_TIMEOUT_MILLISECONDS = 1_000;
/**
 * The time limit of a read while the store is unreachable, when reads do not
 * wait.
 */
const PROBE_TIMEOUT_MILLISECONDS = 600;
/** Milliseconds after which a read that a request waits for counts as failed. */
const CATCH_UP_TIMEOUT_MILLISECONDS = 600;
/** Reads after which a topic that is still being written is not caught up with. */
const MAX_CATCH_UP_READS = 4;
/** Milliseconds between two checks of whether the host is still fed. */
const FED_CHECK_INTERVAL_MILLISECONDS = 200;
/**
 * Milliseconds after a change before the next read, so that further changes
 * come in one batch, since each read costs a call. A host that feeds others
 * waits longer, since it makes the calls of a large fleet.
 */
const BATCH_DELAY_MILLISECONDS = 50;
const FEEDER_BATCH_DELAY_MILLISECONDS = 200;
/** Least milliseconds between two reads that a difference to another host causes. */
const MIN_REREAD_INTERVAL_MILLISECONDS = 30_000;
const INITIAL_BACKOFF_MILLISECONDS = 100;
const MAX_BACKOFF_MILLISECONDS = 600;

/** What a follower is created from. */
export interface KeyedFollowerOptions {
  readonly store: RecordStore;
  readonly topic: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /**
   * Called with the records that changed the view, in their order, and with
   * whether they come from an older copy of the store; also with none when the
   * first read has found none.
   */
  readonly onChanges: (
    records: readonly KeyedRecord[],
    isRestored: boolean,
  ) => void;
  /**
   * Called when records may have been missed that were written and dropped or
   * replaced since the last read, as after a loss of the store's history.
   */
  readonly onMissed?: () => void;
  /** Whether other hosts follow the topic for this one. */
  readonly fed: () => boolean;
  /** Whether this host follows the topic for others. */
  readonly feeds: () => boolean;
  /**
   * Called with true after each response of the store, and with false after
   * each failure to get one.
   */
  readonly heard: (answered: boolean) => void;
}

/** A view of one keyed topic that is kept up to date with the store. */
export class KeyedFollower {
  private state: KeyedState = UNREAD;
  private hasRead = false;
  /**
   * Monotonic milliseconds of the store's last response; -Infinity before the
   * first one.
   */
  answeredAt = -Infinity;
  private failures = 0;
  private catchingUp: Promise<boolean> | undefined;
  private nextCatchUp: Promise<boolean> | undefined;
  private stopped = false;
  private endPause: Cancel = () => {};
  private readonly gap = new GapWatch();
  /** Whether all records are to be read, as what is known differs from others. */
  private mustReread = false;
  /** Monotonic milliseconds of the last difference that was read for. */
  private rereadAt = -Infinity;

  constructor(private readonly options: KeyedFollowerOptions) {}

  get topic(): string {
    return this.options.topic;
  }

  /** Whether all of the topic has been read at least once. */
  get isLoaded(): boolean {
    return this.hasRead;
  }

  /** Up to where the topic is known; offset 0 before the first read. */
  get position(): StorePosition {
    return {offset: this.state.next ?? 0, era: this.state.era};
  }

  /** Returns the records that are known from a position, for another host. */
  recordsFrom(position: StorePosition): PeerRecordPage {
    return recordsFrom(this.state, position);
  }

  /** The digest of what is known; undefined while it cannot be compared. */
  get digest(): TopicDigest | undefined {
    const digest = digestOf(this.state);
    const {offset: position, era} = this.position;
    if (digest === undefined) return undefined;
    return {topic: this.topic, position, era, digest};
  }

  /**
   * Compares what is known with what another host knows, and reads all records
   * from the store if they differ.
   */
  compare(other: TopicDigest, host: string): void {
    const {clock, logger, metrics, topic} = this.options;
    if (!differs(this.state, other)) return;
    metrics.count('records-differ', {topic});
    const now = clock.monotonic();
    if (now - this.rereadAt < MIN_REREAD_INTERVAL_MILLISECONDS) return;
    this.rereadAt = now;
    this.mustReread = true;
    const {position} = other;
    const records = this.state.records.size;
    logger.warn('records-differ', {topic, position, host, records});
  }

  /** Applies records that another host has sent. */
  applyRecords(page: PeerRecordPage): void {
    if (!followsOn(this.state, page)) this.noteGap(page);
    this.applyUpdate(applyPeerPage(this.state, page));
  }

  /**
   * Follows the topic until the follower is stopped. All errors are logged, and
   * the topic is followed on: those of the store, and those that `onChanges`
   * throws, whose records count as applied.
   */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.isPaused) {
          await this.pause(FED_CHECK_INTERVAL_MILLISECONDS);
          continue;
        }
        const before = this.position;
        await this.readNext();
        this.handleSuccess();
        if (isBefore(before, this.position)) await this.waitForBatch();
      } catch (error) {
        if (error instanceof StoreError) await this.handleFailure(error);
        else await this.handleUnexpectedError(error);
      }
    }
  }

  /**
   * Reads, beside the long poll, what has been written until now. Resolves with
   * whether this host then knows all that the store had when it was called. Calls
   * that come during a read share the next one, since the store may have answered
   * that read already.
   *
   * ```ts
   * const isUpToDate = await follower.catchUp();
   * ```
   */
  catchUp(): Promise<boolean> {
    if (!this.catchingUp) {
      this.catchingUp = this.readToEnd().finally(
        () => (this.catchingUp = undefined),
      );
      return this.catchingUp;
    }
    this.nextCatchUp ??= this.catchingUp.then(() => {
      this.nextCatchUp = undefined;
      return this.catchUp();
    });
    return this.nextCatchUp;
  }

  /** Stops following once the read in progress has ended. */
  stop(): void {
    this.stopped = true;
    this.endPause();
  }

  /** Reads until there is nothing more; resolves with whether that was reached. */
  private async readToEnd(): Promise<boolean> {
    const {store, topic, logger} = this.options;
    try {
      for (let read = 0; read < MAX_CATCH_UP_READS; read++) {
        const {next: from, era} = this.state;
        if (from === undefined) return false;
        const timeout = CATCH_UP_TIMEOUT_MILLISECONDS;
        const page = await store.readKeyed(topic, {from, wait: 0}, timeout);
        if (!isSameEra(page.era, era)) return false;
        if (page.end <= from) return true;
        this.applyUpdate(applyPage(this.state, page));
      }
    } catch (error) {
      if (!(error instanceof StoreError)) this.reportUnexpected(error);
      else logger.info('store-not-caught-up', {topic, detail: error.message});
    }
    return false;
  }

  private get isPaused(): boolean {
    if (this.state.next === undefined || this.mustReread) return false;
    if (this.gap.isOverdue(this.options.clock.monotonic())) return false;
    return this.options.fed();
  }

  private noteGap({start, end, era}: PeerRecordPage): void {
    const {clock, logger, metrics, topic} = this.options;
    if (!isBefore(this.position, {offset: end, era})) return;
    const isFirst = this.gap.open({offset: end, era}, clock.monotonic());
    if (!isFirst) return;
    metrics.count('records-gap', {topic});
    const {offset: position} = this.position;
    logger.info('records-gap', {topic, position, start: start ?? '', end});
  }

  private async readNext(): Promise<void> {
    const {store, topic} = this.options;
    const {next} = this.state;
    const responseTimeout = RESPONSE_TIMEOUT_MILLISECONDS;
    if (next === undefined || this.mustReread) {
      const page = await store.readNewest(topic, responseTimeout);
      // Of a state that may be wrong, an earlier full page proves nothing.
      const fullPageEnd = this.mustReread ? 0 : this.state.fullPageEnd;
      this.mustReread = false;
      this.applyUpdate(applyFullPage({...this.state, fullPageEnd}, page));
      return;
    }
    const isUnreachable = this.failures > 0;
    const wait = isUnreachable ? 0 : LONG_POLL_MILLISECONDS;
    const timeout = isUnreachable
      ? PROBE_TIMEOUT_MILLISECONDS
      : wait + responseTimeout;
    const readOptions = {from: next, wait};
    const page = await store.readKeyed(topic, readOptions, timeout);
    if (!isSameEra(page.era, this.state.era)) return this.readAnew();
    for (const offset of page.malformed ?? []) this.reportMalformed(offset);
    this.applyUpdate(applyPage(this.state, page));
  }

  /** Lets the next read be one of all records. */
  private readAnew(): void {
    this.state = {...this.state, next: undefined};
  }

  private applyUpdate({state, changes, isRestored}: KeyedUpdate): void {
    const {logger, metrics, topic, store} = this.options;
    const isFirst = !this.hasRead && state.next !== undefined;
    if (this.hasRead && state.fullPageEnd !== this.state.fullPageEnd)
      this.options.onMissed?.();
    if (isRestored) {
      const {offset: before} = this.position;
      const {era = 0, next = 0} = state;
      metrics.count('store-restored', {topic});
      logger.warn('store-restored', {topic, era, before, position: next});
    }
    this.state = state;
    this.gap.update(this.position);
    this.hasRead ||= state.next !== undefined;
    store.restores.report(state.era);
    if ((changes.length > 0 || isRestored || isFirst) && !this.stopped)
      this.options.onChanges(changes, isRestored);
  }

  private reportMalformed(offset: number): void {
    const {logger, metrics, topic} = this.options;
    metrics.count('record-malformed', {topic});
    logger.warn('record-malformed', {topic, offset});
  }

  private handleSuccess(): void {
    const {logger, topic} = this.options;
    if (this.failures > 0) {
      logger.info('store-regained', {topic, failures: this.failures});
    }
    this.failures = 0;
    this.answeredAt = this.options.clock.monotonic();
    this.options.heard(true);
  }

  private async handleFailure(error: StoreError): Promise<void> {
    if (error.failure === 'expired') {
      const {logger, topic} = this.options;
      const {offset: position, era = 0} = this.position;
      logger.info('store-history-lost', {topic, position, era});
      return this.readAnew();
    }
    const {logger, topic} = this.options;
    if (this.failures === 0) {
      logger.warn('store-lost', {topic, detail: error.message});
    }
    this.failures++;
    this.options.heard(false);
    const exponential = INITIAL_BACKOFF_MILLISECONDS * 2 ** (this.failures - 1);
    const backoff = Math.min(exponential, MAX_BACKOFF_MILLISECONDS);
    await this.pause(backoff * (0.5 + this.options.random.next() / 2));
  }

  private async handleUnexpectedError(error: unknown): Promise<void> {
    this.reportUnexpected(error);
    await this.pause(MAX_BACKOFF_MILLISECONDS);
  }

  private reportUnexpected(error: unknown): void {
    const {logger, metrics, topic} = this.options;
    const reason = error instanceof Error ? error.name : 'unknown';
    const detail = error instanceof Error ? (error.stack ?? '') : 'unknown';
    metrics.count('records-not-taken', {topic, reason});
    logger.error('records-not-taken', {topic, reason, detail});
  }

  private waitForBatch(): Promise<void> {
    return this.pause(
      this.options.feeds()
        ? FEEDER_BATCH_DELAY_MILLISECONDS
        : BATCH_DELAY_MILLISECONDS,
    );
  }

  private pause(duration: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.options.clock.after(duration, resolve);
      this.endPause = () => {
        cancel();
        resolve();
      };
    });
  }
}
