/**
 * A host's view of its platform: the routing configuration, the zones out of
 * service and the endpoints, kept up to date from the store. The view may be
 * out of date while the store is unreachable. Every change of it is logged.
 */
import type {Cancel, Clock} from '../clock/index.js';
import {
  applyEntryChanges,
  removeLapsed,
  lapseGracePeriod,
  type Directory,
  type EntryChange,
  type KnownEndpoint,
} from '../directory/index.js';
import type {TopicPosition} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RandomSource} from '../random/index.js';
import {RoutingTable, type RoutingConfiguration} from '../routing/index.js';
import {
  KeyedFollower,
  type KeyedRecord,
  type PeerRecordPage,
  type StorePosition,
  type TopicDigest,
} from '../store/index.js';
import {DeferredRecords} from './deferred.js';
import type {OperatorChange, PlatformParts} from './platform.js';

const LAPSE_CHECK_INTERVAL_MILLISECONDS = 250;
/**
 * Time after a restore of the store in which operators write again what they had
 * said of the zones.
 */
const ZONE_REWRITE_MILLISECONDS = 2_500;
/**
 * Time after a restore of the store in which endpoints may write entries again
 * that are older than what is known of them.
 */
const ENTRY_REWRITE_MILLISECONDS = 10_000;
/**
 * Time after a restore of the store in which it removes the entry of an endpoint
 * that has left, since that is silent: several heartbeats.
 */
const ENTRY_EXPIRY_MILLISECONDS = 5_000;

/** Dependencies and settings of a platform view. */
export interface PlatformViewOptions extends PlatformParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /** Milliseconds for which a leaving endpoint may still get requests. */
  readonly drain: number;
  /** Called after each change of the view. */
  readonly changed: () => void;
  /** Called with the entries of endpoints that were written or removed. */
  readonly onEntries: (changes: readonly EntryChange[]) => void;
  /** Called when entries may have come and gone unseen. */
  readonly onEntriesMissed: () => void;
  /** Called with an order to roll a version out, or its removal. */
  readonly onRolloutOrder: (change: RolloutChange, offset: number) => void;
  /** Whether other hosts follow the store on behalf of this one. */
  readonly isFed: () => boolean;
  /** Whether this host follows the store on behalf of others. */
  readonly isFeeder: () => boolean;
}

/** An operator's order to roll a version out, or the removal of one. */
export type RolloutChange = Extract<OperatorChange, {kind: 'rollout'}>;

/** What this host knows about its platform from the store and other hosts. */
export class PlatformView {
  /** Undefined until the first valid configuration. */
  routingTable: RoutingTable | undefined;
  directory: Directory = new Map();
  zonesOut: ReadonlySet<string> = new Set();
  private readonly operatorFollower: KeyedFollower;
  private readonly endpointFollower: KeyedFollower;
  /** Monotonic milliseconds of the last restore of the endpoints' topic. */
  private entriesRestoredAt = -Infinity;
  private readonly deferredZones = new DeferredRecords();
  private readonly deferredEntries = new DeferredRecords();
  /** Monotonic milliseconds at which the store was last found unreachable. */
  storeLostAt = -Infinity;
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: PlatformViewOptions) {
    const {
      store,
      clock,
      logger,
      metrics,
      random,
      reader,
      isFed: fed,
      isFeeder: feeds,
    } = options;
    const common = {
      store,
      clock,
      logger,
      metrics,
      random,
      feeds,
      heard: (answered: boolean) => this.recordStoreCall(answered),
    };
    this.operatorFollower = new KeyedFollower({
      ...common,
      topic: reader.operatorTopic,
      // Configurations are large and urgent: each feeder reads them itself.
      fed: () => fed() && !feeds(),
      onChanges: (records, isRestored) =>
        this.applyOperatorRecords(
          isRestored ? this.deferZones(records) : records,
        ),
    });
    this.endpointFollower = new KeyedFollower({
      ...common,
      topic: reader.endpointTopic,
      fed,
      onMissed: () => options.onEntriesMissed(),
      onChanges: (records, isRestored) =>
        this.applyEndpointRecords(
          isRestored ? this.deferUnknownEntries(records) : records,
          isRestored,
        ),
    });
  }

  /** Starts to follow the store. */
  start(): void {
    const {clock} = this.options;
    void this.operatorFollower.run();
    void this.endpointFollower.run();
    this.stopTimer = clock.every(LAPSE_CHECK_INTERVAL_MILLISECONDS, () =>
      this.applyWhatIsDue(),
    );
  }

  stop(): void {
    this.operatorFollower.stop();
    this.endpointFollower.stop();
    this.stopTimer();
  }

  /** For each topic, the offset up to which this host knows it. */
  get positions(): TopicPosition[] {
    return this.followers.map(({topic, position: {offset, era}}) => ({
      topic,
      position: offset,
      era,
    }));
  }

  /**
   * Returns the known records of a topic from a position on, to be sent to
   * another host; none for an unknown topic.
   */
  recordsFrom(topic: string, position: StorePosition): PeerRecordPage {
    return (
      this.follower(topic)?.recordsFrom(position) ?? {
        records: [],
        end: 0,
        whole: false,
      }
    );
  }

  /** Of each topic that can be compared, a digest of what this host knows. */
  get digests(): TopicDigest[] {
    return this.followers.flatMap(({digest}) => digest ?? []);
  }

  /** Compares what another host knows of topics; reads those anew that differ. */
  compareDigests(digests: readonly TopicDigest[], host: string): void {
    for (const digest of digests)
      this.follower(digest.topic)?.compare(digest, host);
  }

  /** Applies records that another host has sent. */
  applyRecords(topic: string, page: PeerRecordPage): void {
    this.follower(topic)?.applyRecords(page);
  }

  /**
   * Monotonic milliseconds of the store's last answer, for the topic whose
   * answer is the oldest.
   */
  get storeAnsweredAt(): number {
    return Math.min(...this.followers.map(({answeredAt}) => answeredAt));
  }

  /**
   * Records that this host or another one found the store unreachable, at a
   * time in monotonic milliseconds.
   */
  recordStoreLoss(at: number): void {
    this.storeLostAt = Math.max(this.storeLostAt, at);
  }

  /**
   * Reads what the store has of the endpoints now. Resolves with whether the
   * directory has all that was written until the call.
   */
  catchUpWithEndpoints(): Promise<boolean> {
    return this.endpointFollower.catchUp();
  }

  private get followers(): readonly KeyedFollower[] {
    return [this.operatorFollower, this.endpointFollower];
  }

  private follower(topic: string): KeyedFollower | undefined {
    return this.followers.find(follower => follower.topic === topic);
  }

  /**
   * Whether the host knows enough to serve: it has a configuration and has read
   * all that operators and endpoints have written once.
   */
  get isComplete(): boolean {
    const isLoaded = this.followers.every(follower => follower.isLoaded);
    return this.routingTable !== undefined && isLoaded;
  }

  /** Records whether a call of this host to the store was answered. */
  recordStoreCall(answered: boolean): void {
    const {clock, metrics} = this.options;
    metrics.count('store-call', {answered: String(answered)});
    if (!answered) this.recordStoreLoss(clock.monotonic());
  }

  /**
   * Defers what a restored store says of zones and roll-outs; returns the rest.
   */
  private deferZones(records: readonly KeyedRecord[]): KeyedRecord[] {
    const {reader, clock} = this.options;
    const dueAt = clock.monotonic() + ZONE_REWRITE_MILLISECONDS;
    return records.filter(record => {
      const {kind} = reader.parseOperatorRecord(record);
      // The copy may lack an order that the operator writes again.
      if (kind === 'rollout' && !record.value) return false;
      if (kind !== 'zone' && kind !== 'rollout') return true;
      this.deferredZones.add(record, dueAt);
      return false;
    });
  }

  /**
   * Defers entries of endpoints that are not known, which may have left since the
   * copy of a restored store was made; returns the rest.
   */
  private deferUnknownEntries(records: readonly KeyedRecord[]): KeyedRecord[] {
    const dueAt = this.options.clock.monotonic() + ENTRY_EXPIRY_MILLISECONDS;
    return records.filter(record => {
      if (!record.value || this.directory.has(record.key)) return true;
      this.deferredEntries.add(record, dueAt);
      return false;
    });
  }

  private applyOperatorRecords(records: readonly KeyedRecord[]): void {
    const {reader, logger, metrics} = this.options;
    for (const record of records) {
      this.deferredZones.drop(record.key);
      const change = reader.parseOperatorRecord(record);
      if (change.kind === 'routing') {
        this.setRouting(change.routing, record.offset);
      } else if (change.kind === 'zone') {
        this.setZone(change.zone, change.out);
        logger.info('zone', {zone: change.zone, out: change.out});
      } else if (change.kind === 'rollout') {
        this.options.onRolloutOrder(change, record.offset);
      } else if (change.kind === 'malformed') {
        metrics.count('record-malformed', {topic: reader.operatorTopic});
        logger.warn('record-malformed', {key: record.key, ...change});
      }
    }
    this.options.changed();
  }

  /** Replaces the configuration, unless the one in force is newer. */
  private setRouting(routing: RoutingConfiguration, offset: number): void {
    const {logger} = this.options;
    const {version, routes} = routing;
    const known = this.routingTable?.version ?? -Infinity;
    if (version < known)
      return logger.warn('configuration-older', {version, known, offset});
    this.routingTable = new RoutingTable(routing);
    logger.info('configuration', {version, offset, routes: routes.length});
  }

  private setZone(zone: string, out: boolean): void {
    const zones = new Set(this.zonesOut);
    if (out) zones.add(zone);
    else zones.delete(zone);
    this.zonesOut = zones;
  }

  private applyEndpointRecords(
    records: readonly KeyedRecord[],
    isRestored = false,
  ): void {
    const {clock} = this.options;
    for (const {key} of records) this.deferredEntries.drop(key);
    const changes = records.map(record => this.entryChange(record));
    this.options.onEntries(changes);
    const before = this.directory;
    const now = clock.monotonic();
    const lapse = lapseGracePeriod(this.options.drain);
    if (isRestored) this.entriesRestoredAt = now;
    const isRewritten =
      now - this.entriesRestoredAt < ENTRY_REWRITE_MILLISECONDS;
    const lostAt = this.storeLostAt;
    const health = {now, lostAt, lapse, isRestored, isRewritten};
    this.directory = applyEntryChanges(before, changes, health);
    for (const {id} of changes) this.logEndpoint(id, before);
    this.options.changed();
  }

  /** Parses an endpoint's record; a malformed one removes the endpoint. */
  private entryChange(record: KeyedRecord): EntryChange {
    const {reader, logger, metrics} = this.options;
    const change = reader.parseEndpointRecord(record);
    if (change.kind === 'entry') return change;
    const {id, detail} = change;
    metrics.count('record-malformed', {topic: reader.endpointTopic});
    logger.warn('record-malformed', {key: id, detail});
    return {id, entry: undefined};
  }

  private logEndpoint(id: string, before: Directory): void {
    const {logger, clock} = this.options;
    const previous = before.get(id);
    const current = this.directory.get(id);
    const known = current ?? previous;
    if (!known) return;
    const {service, zone, address} = known.entry;
    logger.info('endpoint', {
      id,
      service,
      zone,
      address,
      state: stateOf(current),
      cold: Math.max(
        Math.round((current?.coldUntil ?? 0) - clock.monotonic()),
        0,
      ),
      reclaimable: known.entry.reclaimable,
    });
  }

  private applyWhatIsDue(): void {
    const now = this.options.clock.monotonic();
    const zones = this.deferredZones.takeDue(now);
    if (zones.length > 0) this.applyOperatorRecords(zones);
    const entries = this.deferredEntries.takeDue(now);
    if (entries.length > 0) this.applyEndpointRecords(entries);
    this.removeLapsedEntries(now);
  }

  private removeLapsedEntries(now: number): void {
    const before = this.directory;
    this.directory = removeLapsed(before, now);
    if (this.directory === before) return;
    for (const id of before.keys()) {
      if (!this.directory.has(id)) this.logEndpoint(id, before);
    }
    this.options.changed();
  }
}

function stateOf(endpoint: KnownEndpoint | undefined): string {
  if (!endpoint) return 'gone';
  if (endpoint.removeAt !== undefined) return 'lapsed';
  return endpoint.entry.leaving ? 'leaving' : 'ready';
}
