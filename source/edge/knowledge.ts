/**
 * What a host believes about its platform: the configuration in force, the
 * zones that are out and the endpoints, kept up to date from the store. Every
 * change of belief is a line in the log.
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
import type {Random} from '../random/index.js';
import {RoutingTable} from '../routing/index.js';
import {
  KeyedFollower,
  type KeyedRecord,
  type PassedOn,
} from '../store/index.js';
import type {PlatformParts} from './platform.js';

const LAPSE_CHECK_MILLISECONDS = 250;

/** What the knowledge is made from. */
export interface KnowledgeOptions extends PlatformParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: Random;
  /** Milliseconds for which an endpoint that leaves may be sent to. */
  readonly drain: number;
  /** Called when anything has changed. */
  readonly changed: () => void;
  /** Whether other hosts follow the store for this one. */
  readonly fed: () => boolean;
  /** Whether this host follows the store for others. */
  readonly feeds: () => boolean;
}

/** What a host believes about its platform. */
export class Knowledge {
  table: RoutingTable | undefined;
  directory: Directory = new Map();
  zonesOut: ReadonlySet<string> = new Set();
  private readonly operator: KeyedFollower;
  private readonly endpoints: KeyedFollower;
  /** Monotonic milliseconds at which the store was last found away. */
  lostAt = -Infinity;
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: KnowledgeOptions) {
    const {store, clock, logger, random, reader, fed, feeds} = options;
    const common = {
      store,
      clock,
      logger,
      random,
      fed,
      feeds,
      heard: (answered: boolean) => this.heard(answered),
    };
    this.operator = new KeyedFollower({
      ...common,
      topic: reader.operatorTopic,
      changed: records => this.takeOperator(records),
    });
    this.endpoints = new KeyedFollower({
      ...common,
      topic: reader.endpointTopic,
      changed: records => this.takeEndpoints(records),
    });
  }

  /** Begins to follow the store. */
  start(): void {
    const {clock} = this.options;
    void this.operator.run();
    void this.endpoints.run();
    this.stopTimer = clock.every(LAPSE_CHECK_MILLISECONDS, () => this.lapse());
  }

  stop(): void {
    this.operator.stop();
    this.endpoints.stop();
    this.stopTimer();
  }

  /** How far the host knows each topic. */
  get positions(): TopicPosition[] {
    return this.followers.map(({topic, position}) => ({topic, position}));
  }

  /** The records of a topic from an offset, for another host. */
  records(topic: string, position: number): PassedOn {
    return (
      this.follower(topic)?.from(position) ?? {
        records: [],
        end: 0,
        whole: false,
      }
    );
  }

  /** Takes over records that another host has passed on. */
  take(topic: string, page: PassedOn): void {
    this.follower(topic)?.take(page);
  }

  /** Monotonic milliseconds up to which the store has answered for all topics. */
  get answeredAt(): number {
    return Math.min(...this.followers.map(({answeredAt}) => answeredAt));
  }

  /** Notes that the store was found away, by this host or by another. */
  noteLost(at: number): void {
    this.lostAt = Math.max(this.lostAt, at);
  }

  private get followers(): readonly KeyedFollower[] {
    return [this.operator, this.endpoints];
  }

  private follower(topic: string): KeyedFollower | undefined {
    return this.followers.find(follower => follower.topic === topic);
  }

  /** Whether the host knows enough to serve. */
  get complete(): boolean {
    return this.table !== undefined && this.endpoints.complete;
  }

  /** Notes that the store has answered this host, or has failed to. */
  heard(answered: boolean): void {
    const {clock, metrics} = this.options;
    metrics.count('store-call', {answered: String(answered)});
    if (!answered) this.noteLost(clock.monotonic());
  }

  private takeOperator(records: readonly KeyedRecord[]): void {
    const {reader, logger, metrics} = this.options;
    for (const record of records) {
      const change = reader.operator(record);
      if (change.kind === 'routing') {
        this.table = new RoutingTable(change.routing);
        logger.info('configuration', {
          version: this.table.version,
          offset: record.offset,
          routes: change.routing.routes.length,
        });
      } else if (change.kind === 'zone') {
        this.setZone(change.zone, change.out);
        logger.info('zone', {zone: change.zone, out: change.out});
      } else if (change.kind === 'malformed') {
        metrics.count('record-malformed', {topic: reader.operatorTopic});
        logger.warn('record-malformed', {key: record.key, ...change});
      }
    }
    this.options.changed();
  }

  private setZone(zone: string, out: boolean): void {
    const zones = new Set(this.zonesOut);
    if (out) zones.add(zone);
    else zones.delete(zone);
    this.zonesOut = zones;
  }

  private takeEndpoints(records: readonly KeyedRecord[]): void {
    const {clock} = this.options;
    const changes = records.map(record => this.entryChange(record));
    const before = this.directory;
    const now = clock.monotonic();
    const lapse = lapseGracePeriod(this.options.drain);
    const health = {now, lostAt: this.lostAt, lapse};
    this.directory = applyEntryChanges(before, changes, health);
    for (const {id} of changes) this.noteEndpoint(id, before);
    this.options.changed();
  }

  private entryChange(record: KeyedRecord): EntryChange {
    const {reader, logger, metrics} = this.options;
    const change = reader.endpoint(record);
    if (change.kind === 'entry') return change;
    const {id, detail} = change;
    metrics.count('record-malformed', {topic: reader.endpointTopic});
    logger.warn('record-malformed', {key: id, detail});
    return {id, entry: undefined};
  }

  private noteEndpoint(id: string, before: Directory): void {
    const {logger, clock} = this.options;
    const was = before.get(id);
    const is = this.directory.get(id);
    const known = is ?? was;
    if (!known) return;
    const {service, zone, address} = known.entry;
    logger.info('endpoint', {
      id,
      service,
      zone,
      address,
      state: stateOf(is),
      cold: Math.max(Math.round((is?.coldUntil ?? 0) - clock.monotonic()), 0),
      reclaimable: known.entry.reclaimable,
    });
  }

  private lapse(): void {
    const before = this.directory;
    this.directory = removeLapsed(before, this.options.clock.monotonic());
    if (this.directory === before) return;
    for (const id of before.keys()) {
      if (!this.directory.has(id)) this.noteEndpoint(id, before);
    }
    this.options.changed();
  }
}

function stateOf(endpoint: KnownEndpoint | undefined): string {
  if (!endpoint) return 'gone';
  if (endpoint.removeAt !== undefined) return 'lapsed';
  return endpoint.entry.leaving ? 'leaving' : 'ready';
}
