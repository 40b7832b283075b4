/**
 * Remembers at which software version streams began, for hosts at which their
 * callers take them up. While several versions of a service serve, or may have
 * served before this host started, what has begun is appended to a topic of the
 * store, so that it outlives every host. At other times nothing is appended,
 * since the only version is known anyway.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {Directory, EntryChange} from '../directory/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {RecorderRelay, type RecorderLink} from '../recorder/index.js';
import {StoreError, TopicReader, type RecordStore} from '../store/index.js';
import {EndpointArrivals} from './arrivals.js';
import {BegunStreams, type BegunStream} from './begun.js';
import {
  decideVersion,
  STREAM_LIFETIME_MILLISECONDS,
  type VersionDecision,
} from './decide.js';
import {VersionHistory} from './history.js';
import {PendingGroups} from './pending.js';
import {RecordedVersions} from './recorded.js';
import {
  decodeBegunStreams,
  encodeBegunStreams,
  type BegunGroup,
  type BegunStreamsRecord,
} from './record.js';

const TOPIC = 'streams';
const STORE_TIMEOUT_MILLISECONDS = 1_200;
/** Milliseconds for which streams are gathered into one append. */
const APPEND_INTERVAL_MILLISECONDS = 200;
const RETRY_DELAY_MILLISECONDS = 500;
/** Time for which the recorder of a zone gathers the streams of its hosts. */
const GATHERING_MILLISECONDS = 100;
/**
 * Time after which a host no longer waits for its recorder. A caller that comes
 * back waits as long for the record.
 */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 500;
/**
 * Longest wait for the record of a stream. Its host may have gathered it for a
 * while when the caller comes back.
 */
const RECORD_WAIT_MILLISECONDS = 500;
/** Milliseconds by which the clocks of hosts and endpoints may differ. */
const CLOCK_TOLERANCE_MILLISECONDS = 8_000;

/**
 * What a decision about a stream rests on: that its begin is known here, that only
 * one version has served, the records of all hosts, or that these cannot be read.
 */
type DecisionGround = 'begun' | 'only-version' | 'records' | 'unread';

/** What the memory of stream versions is created from. */
export interface StreamVersionsOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * Reads what the store has of the endpoints now, and applies it. Resolves with
   * whether the directory then has all that was written until the call.
   */
  readonly catchUpWithEndpoints: () => Promise<boolean>;
  /** How begun streams reach the host that appends them for this one. */
  readonly link: RecorderLink<BegunGroup>;
}

/** The versions at which streams began. */
export class StreamVersions {
  private readonly begun = new BegunStreams(STREAM_LIFETIME_MILLISECONDS);
  private readonly history = new VersionHistory();
  private readonly recorded = new RecordedVersions(
    STREAM_LIFETIME_MILLISECONDS + CLOCK_TOLERANCE_MILLISECONDS,
  );
  private readonly pending = new PendingGroups();
  private readonly topic: TopicReader;
  /** Stores the streams that have begun here, and those that others send. */
  readonly relay: RecorderRelay<BegunGroup>;
  /** Services of which several versions serve or have just served. */
  private mixedServices: ReadonlySet<string> = new Set();
  private reading: Promise<number> | undefined;
  private stopTimer: Cancel | undefined;
  private isStopped = false;
  private readonly arrivals = new EndpointArrivals();
  /** What this host has appended and may still matter, the oldest first. */
  private appended: BegunStreamsRecord[] = [];

  constructor(private readonly options: StreamVersionsOptions) {
    this.topic = new TopicReader({
      store: options.store,
      topic: TOPIC,
      timeout: STORE_TIMEOUT_MILLISECONDS,
      onRecord: bytes => this.applyRecord(bytes),
    });
    this.relay = new RecorderRelay({
      ...options.link,
      clock: options.clock,
      gathering: GATHERING_MILLISECONDS,
      patience: CONFIRMATION_TIMEOUT_MILLISECONDS,
      append: groups => this.append(groups),
    });
    options.store.restores.onRestore(() => this.appendAnew());
  }

  /**
   * Stops to append; what is gathered, here and for other hosts, is appended at
   * once.
   */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.stopTimer?.();
    await Promise.all([this.flush(), this.relay.appendGathered()]);
  }

  /**
   * Follows the endpoints. When a second version of a service turns up, the
   * streams that began before are appended too.
   */
  setDirectory(directory: Directory): void {
    const now = this.options.clock.monotonic();
    this.history.setDirectory(directory, now);
    const services = [...directory.values()].map(({entry}) => entry.service);
    const mixed = new Set(services.filter(service => this.isMixed(service)));
    for (const service of mixed) {
      if (this.mixedServices.has(service)) continue;
      this.options.logger.info('versions-mixed', {
        service,
        versions: [...this.versionsOf(service)].join(),
      });
      for (const stream of this.begun.ofService(service, now))
        this.enqueue(stream);
    }
    this.mixedServices = mixed;
    this.arrivals.update(service => this.history.hasEndpoint(service));
  }

  /** Records entries of endpoints that were written or removed. */
  recordEntries(changes: readonly EntryChange[]): void {
    this.history.recordEntries(changes, this.options.clock.monotonic());
  }

  /** Records that entries of endpoints may have come and gone unseen. */
  recordMissedEntries(): void {
    this.history.recordMissed(this.options.clock.monotonic());
  }

  /** Records a stream whose first event this host has received. */
  recordBegun(stream: BegunStream): void {
    this.begun.add(stream, this.options.clock.monotonic());
    if (this.mustAppend(stream.service)) this.enqueue(stream);
  }

  /** Takes over what a host of an older program has gathered, to append it. */
  appendFor(groups: readonly BegunGroup[]): void {
    for (const group of groups) this.pending.addGroup(group);
    this.flushSoon(APPEND_INTERVAL_MILLISECONDS);
  }

  /**
   * Resolves with true once an endpoint of a service is known, and with false if
   * none is within `patience` milliseconds.
   */
  whenEndpointKnown(service: string, patience: number): Promise<boolean> {
    if (this.history.hasEndpoint(service)) return Promise.resolve(true);
    return this.arrivals.wait(service, patience, this.options.clock);
  }

  /**
   * Returns at which version a caller's stream may go on; `attempt` is the
   * attempt that brought its first event, where the caller names it, and `cameAt`
   * the monotonic milliseconds at which the caller came. Reads the records of
   * other hosts if this one does not know.
   *
   * ```ts
   * const decision = await versions.versionOf('drafting', request.resumes);
   * ```
   */
  async versionOf(
    service: string,
    attempt: string | undefined,
    cameAt = this.options.clock.monotonic(),
  ): Promise<VersionDecision> {
    const own = this.known(attempt);
    if (own) return this.logged(own, 'begun', service, attempt);
    const isUpToDate = await this.options.catchUpWithEndpoints();
    const begunSince = cameAt - STREAM_LIFETIME_MILLISECONDS;
    const isOnlyVersion = this.versionsSince(service, begunSince).size <= 1;
    const hasFollowed = this.history.hasFollowedSince(begunSince);
    if (isUpToDate && hasFollowed && isOnlyVersion) {
      const decision = this.decide(service, isUpToDate, begunSince);
      return this.logged(decision, 'only-version', service, attempt);
    }
    const {clock, logger} = this.options;
    const deadline = clock.monotonic() + RECORD_WAIT_MILLISECONDS;
    let wait = 0;
    for (;;) {
      try {
        await this.read(wait);
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        logger.warn('streams-not-read', {detail: error.message});
        const decision = this.decide(service, isUpToDate, begunSince);
        return this.logged(decision, 'unread', service, attempt);
      }
      const decision =
        this.known(attempt) ?? this.decide(service, isUpToDate, begunSince);
      wait = Math.floor(deadline - clock.monotonic());
      if (decision.kind !== 'unknown' || wait <= 0)
        return this.logged(decision, 'records', service, attempt);
    }
  }

  /** Logs on which ground a stream goes on or not; returns the decision. */
  private logged(
    decision: VersionDecision,
    ground: DecisionGround,
    service: string,
    attempt = '',
  ): VersionDecision {
    this.options.logger.info('stream-version', {
      attempt,
      service,
      ground,
      decision: decision.kind,
      version: decision.kind === 'known' ? decision.version : '',
      versions: [...this.versionsOf(service)].join(),
    });
    return decision;
  }

  private known(attempt: string | undefined): VersionDecision | undefined {
    const version = attempt && this.begun.version(attempt);
    return version === undefined ? undefined : {kind: 'known', version};
  }

  /** Decides about a stream that has begun since a monotonic time. */
  private decide(
    service: string,
    isUpToDate: boolean,
    begunSince: number,
  ): VersionDecision {
    const unixCameAt =
      this.unixTimeOf(begunSince) + STREAM_LIFETIME_MILLISECONDS;
    return decideVersion({
      seen: this.versionsSince(service, begunSince),
      hasFollowed: this.history.hasFollowedSince(begunSince),
      isUpToDate,
      isMixed: this.recorded.isMixed(service, unixCameAt),
      recorded: this.recorded.versions(service, unixCameAt),
      hasLongRunning: this.hasLongRunning(service, begunSince),
    });
  }

  /** Monotonic milliseconds since which a stream that is taken up now has begun. */
  private get earliestBegin(): number {
    return this.options.clock.monotonic() - STREAM_LIFETIME_MILLISECONDS;
  }

  /** The versions of a service since a monotonic time. */
  private versionsSince(service: string, since: number): ReadonlySet<string> {
    const now = this.options.clock.monotonic();
    return this.history.versionsSince(service, since, now);
  }

  /** The versions of a service in the time in which a stream can have begun. */
  private versionsOf(service: string): ReadonlySet<string> {
    return this.versionsSince(service, this.earliestBegin);
  }

  /** Whether an endpoint of a service has run since before a monotonic time. */
  private hasLongRunning(service: string, since: number): boolean {
    const latest = this.unixTimeOf(since) - CLOCK_TOLERANCE_MILLISECONDS;
    return this.history.hasEndpointBornBefore(service, latest);
  }

  private unixTimeOf(monotonic: number): number {
    const {clock} = this.options;
    return clock.now().getTime() - (clock.monotonic() - monotonic);
  }

  private isMixed(service: string): boolean {
    return this.versionsOf(service).size > 1;
  }

  private mustAppend(service: string): boolean {
    if (this.isMixed(service)) return true;
    const since = this.earliestBegin;
    return (
      !this.history.hasFollowedSince(since) &&
      !this.hasLongRunning(service, since)
    );
  }

  private enqueue({service, version, attempt}: BegunStream): void {
    const isMixed = this.isMixed(service);
    this.pending.addGroup({service, version, isMixed, attempts: [attempt]});
    this.flushSoon(APPEND_INTERVAL_MILLISECONDS);
  }

  private flushSoon(delay: number): void {
    if (this.isStopped) return;
    this.stopTimer ??= this.options.clock.after(delay, () => {
      this.stopTimer = undefined;
      void this.flush();
    });
  }

  /** Stores what is gathered; gathers it again where that fails. */
  private async flush(): Promise<void> {
    const groups = this.pending.take();
    if (groups.length === 0 || (await this.relay.store(groups))) return;
    for (const group of groups) this.pending.addGroup(group);
    this.flushSoon(RETRY_DELAY_MILLISECONDS);
  }

  /** Appends groups; resolves to whether the store has confirmed them. */
  private async append(groups: readonly BegunGroup[]): Promise<boolean> {
    const {store, clock, logger} = this.options;
    const at = clock.now().getTime();
    const record: BegunStreamsRecord = {
      kind: 'streams-begun',
      at,
      groups: [...groups],
    };
    const bytes = encodeBegunStreams(record);
    try {
      await store.append(TOPIC, [bytes], STORE_TIMEOUT_MILLISECONDS);
      this.keepAppended(record, at);
      return true;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      logger.warn('streams-not-appended', {detail: error.message});
      return false;
    }
  }

  private keepAppended(record: BegunStreamsRecord, unixNow: number): void {
    const recent = this.appended.filter(
      ({at}) => unixNow - at <= STREAM_LIFETIME_MILLISECONDS,
    );
    this.appended = [...recent, record];
  }

  /**
   * Gathers again what this host has appended lately, as the store has come back
   * from a copy that may lack it.
   */
  private appendAnew(): void {
    const records = this.appended;
    this.appended = [];
    const groups = records.flatMap(record => record.groups);
    if (groups.length === 0) return;
    this.options.logger.info('streams-appended-anew', {
      records: records.length,
    });
    this.appendFor(groups);
  }

  /** Reads on in the topic; calls at the same time share one read. */
  private read(wait: number): Promise<number> {
    this.reading ??= this.topic
      .readPage(wait)
      .finally(() => (this.reading = undefined));
    return this.reading;
  }

  private applyRecord(bytes: Buffer): void {
    const record = decodeBegunStreams(bytes);
    if (!record)
      return this.options.metrics.count('record-malformed', {topic: TOPIC});
    this.recorded.apply(record);
    const now = this.options.clock.monotonic();
    for (const {service, version, attempts} of record.groups) {
      for (const attempt of attempts)
        this.begun.add({attempt, service, version}, now);
    }
  }
}
