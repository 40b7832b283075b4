/**
 * Hosts that remember at which software version streams began, on a manual
 * clock and a store in memory.
 */
import {ManualClock} from '../../source/clock/index.js';
import type {Directory} from '../../source/directory/index.js';
import {Metrics} from '../../source/metrics/index.js';
import {StoreError, type PlainPage} from '../../source/store/index.js';
import {StreamVersions} from '../../source/versions/index.js';
import {createEndpoint} from './forwarding.js';
import {UnusedStore} from './unusedstore.js';

/** The service of the endpoints and streams. */
export const SERVICE = 'drafting';
/** An age at which an endpoint has run for longer than a stream lasts. */
export const LONG_RUNNING_MILLISECONDS = 60_000;

/** The topic of begun streams in memory. */
class MemoryStore extends UnusedStore {
  readonly records: Buffer[] = [];
  isAway = false;
  calls = 0;

  override async append(
    _?: string,
    records?: readonly Buffer[],
  ): Promise<number> {
    this.call();
    this.records.push(...(records ?? []).map(bytes => Buffer.from(bytes)));
    return this.records.length;
  }

  override async oldestOffset(): Promise<number> {
    this.call();
    return 0;
  }

  override async readPlain(
    _?: string,
    options?: {from: number; wait: number},
  ): Promise<PlainPage> {
    this.call();
    const {from = 0, wait = 0} = options ?? {};
    if (wait > 0) this.onWait(wait);
    const records = this.records.slice(from);
    return {from, records, end: this.records.length};
  }

  /** What happens while a read waits for records. */
  onWait: (wait: number) => void = () => {};

  private call(): void {
    this.calls++;
    if (this.isAway) throw new StoreError('unreachable', 'away');
  }
}

/** The store as one host reaches it, until the host is killed. */
class HostStore extends UnusedStore {
  isKilled = false;

  constructor(private readonly shared: MemoryStore) {
    super();
  }

  override append(topic?: string, records?: readonly Buffer[]) {
    return this.reach().append(topic, records);
  }

  override oldestOffset(): Promise<number> {
    return this.reach().oldestOffset();
  }

  override readPlain(topic?: string, options?: {from: number; wait: number}) {
    return this.reach().readPlain(topic, options);
  }

  private reach(): MemoryStore {
    if (this.isKilled) throw new StoreError('unreachable', 'killed');
    return this.shared;
  }
}

/** A platform whose store outlives its hosts. */
export class World {
  readonly clock = new ManualClock();
  readonly store = new MemoryStore();
  private directory: Directory = new Map();
  private hosts: StreamVersions[] = [];
  private hostStores: HostStore[] = [];
  private readonly byName = new Map<string, StreamVersions>();
  /** Hosts whose recorder has not confirmed what it got, once for each miss. */
  readonly missed: string[] = [];

  constructor() {
    this.store.onWait = wait => this.clock.advance(wait);
  }

  /**
   * The endpoints, as versions by id, undefined for one that states none; each was
   * started now or long ago.
   */
  serve(versions: Readonly<Record<string, string | undefined>>, age = 0): void {
    const born = this.clock.now().getTime() - age;
    this.directory = new Map(
      Object.entries(versions).map(([id, version]) => {
        const known = this.directory.get(id);
        const isSame = known && known.entry.softwareVersion === version;
        const created = createEndpoint(id, '127.0.0.1:1', version);
        return [
          id,
          isSame ? known : {...created, entry: {...created.entry, born}},
        ];
      }),
    );
    for (const host of this.hosts) host.setDirectory(this.directory);
  }

  /** Starts a host, which leaves what begins to a recorder if one is given. */
  host(recorder?: () => StreamVersions | undefined): StreamVersions {
    const name = `host-${this.byName.size}`;
    const quiet = () => {};
    const store = new HostStore(this.store);
    this.hostStores.push(store);
    const host: StreamVersions = new StreamVersions({
      store,
      clock: this.clock,
      logger: {debug: quiet, info: quiet, warn: quiet, error: quiet},
      metrics: new Metrics(),
      catchUpWithEndpoints: () => Promise.resolve(!this.store.isAway),
      link: {
        recorder: () => (recorder ? 'recorder' : undefined),
        deliver: (_, delivery) =>
          recorder?.()?.relay.handleDelivery(name, delivery),
        confirm: (to, number) =>
          this.byName.get(to)?.relay.handleConfirmation(number),
        onMissed: () => this.missed.push(name),
      },
    });
    this.byName.set(name, host);
    this.hosts.push(host);
    host.setDirectory(this.directory);
    return host;
  }

  /** All hosts see the store's era in an answer. */
  reportEra(era: number): void {
    for (const store of this.hostStores) store.restores.report(era);
  }

  /** A host, by its order, no longer reaches the store. */
  cutFromStore(index: number): void {
    const store = this.hostStores[index];
    if (store) store.isKilled = true;
  }

  killAll(): void {
    this.hosts = [];
    for (const store of this.hostStores) store.isKilled = true;
  }

  async pass(milliseconds: number): Promise<void> {
    this.clock.advance(milliseconds);
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** A host receives the first event of a stream. */
export function begin(
  host: StreamVersions,
  attempt: string,
  version: string,
): void {
  host.recordBegun({attempt, service: SERVICE, version});
}

export const KNOWN_V1 = {kind: 'known', version: 'v1'} as const;
export const UNKNOWN = {kind: 'unknown'} as const;
