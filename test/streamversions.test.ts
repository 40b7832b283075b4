/**
 * Hosts that remember at which software version streams began, on a manual
 * clock and a store in memory. Guards against streams that go on at another
 * version when callers take them up, after single hosts or all of them have been
 * killed during or just after a release.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import type {Directory} from '../source/directory/index.js';
import {Metrics} from '../source/metrics/index.js';
import {StoreError, type PlainPage} from '../source/store/index.js';
import {
  decideVersion,
  STREAM_LIFETIME_MILLISECONDS,
  StreamVersions,
  type BegunGroup,
} from '../source/versions/index.js';
import {createEndpoint} from './support/forwarding.js';
import {UnusedStore} from './support/unusedstore.js';

const SERVICE = 'drafting';
const LONG_RUNNING_MILLISECONDS = 60_000;

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
class World {
  readonly clock = new ManualClock();
  readonly store = new MemoryStore();
  private directory: Directory = new Map();
  private hosts: StreamVersions[] = [];
  private hostStores: HostStore[] = [];

  constructor() {
    this.store.onWait = wait => this.clock.advance(wait);
  }

  /** The endpoints, as versions by id; each was started now or long ago. */
  serve(versions: Readonly<Record<string, string>>, age = 0): void {
    const born = this.clock.now().getTime() - age;
    this.directory = new Map(
      Object.entries(versions).map(([id, version]) => {
        const known = this.directory.get(id);
        const isSame = known?.entry.softwareVersion === version;
        const created = createEndpoint(id, '127.0.0.1:1', version);
        return [
          id,
          isSame ? known : {...created, entry: {...created.entry, born}},
        ];
      }),
    );
    for (const host of this.hosts) host.setDirectory(this.directory);
  }

  host(recorder?: () => StreamVersions): StreamVersions {
    const quiet = () => {};
    const store = new HostStore(this.store);
    this.hostStores.push(store);
    const host = new StreamVersions({
      store,
      clock: this.clock,
      logger: {debug: quiet, info: quiet, warn: quiet, error: quiet},
      metrics: new Metrics(),
      catchUpWithEndpoints: () => Promise.resolve(!this.store.isAway),
      recorder: () => (recorder ? 'recorder' : undefined),
      sendToRecorder: (_: string, groups: readonly BegunGroup[]) =>
        recorder?.().appendFor(groups),
    });
    this.hosts.push(host);
    host.setDirectory(this.directory);
    return host;
  }

  /** All hosts see the store's era in an answer. */
  reportEra(era: number): void {
    for (const store of this.hostStores) store.restores.report(era);
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

function begin(host: StreamVersions, attempt: string, version: string): void {
  host.recordBegun({attempt, service: SERVICE, version});
}

const KNOWN_V1 = {kind: 'known', version: 'v1'} as const;
const UNKNOWN = {kind: 'unknown'} as const;

/** A host that has known for long that all endpoints are of one version. */
async function longWithOneVersion(): Promise<{
  world: World;
  host: StreamVersions;
}> {
  const world = new World();
  world.serve({a: 'v1', b: 'v1'}, LONG_RUNNING_MILLISECONDS);
  const host = world.host();
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  return {world, host};
}

test('nothing is appended or read while one version serves', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v1'}, LONG_RUNNING_MILLISECONDS);
  const host = world.host();
  const other = world.host();
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  begin(host, 'one', 'v1');
  await world.pass(1_000);
  t.deepEqual(await other.versionOf(SERVICE, 'one'), KNOWN_V1);
  t.is(world.store.calls, 0);
});

test('a stream of a release that another host began goes on at its version', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const [first, second] = [world.host(), world.host()];
  begin(first, 'old', 'v1');
  begin(first, 'new', 'v2');
  t.deepEqual(await second.versionOf(SERVICE, 'old'), KNOWN_V1);
  t.deepEqual(await second.versionOf(SERVICE, 'new'), {
    kind: 'known',
    version: 'v2',
  });
  t.deepEqual(await second.versionOf(SERVICE, 'other'), UNKNOWN);
  t.deepEqual(await second.versionOf(SERVICE, undefined), UNKNOWN);
});

test('a stream that began before a release goes on at the old version', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v1'}, LONG_RUNNING_MILLISECONDS);
  const [first, second] = [world.host(), world.host()];
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  begin(first, 'before', 'v1');
  world.serve({a: 'v1', b: 'v2'});
  await world.pass(300);
  t.deepEqual(await second.versionOf(SERVICE, 'before'), KNOWN_V1);
});

test('after all hosts were killed, what a release began is known from the store', async t => {
  const {world, host} = await longWithOneVersion();
  world.serve({a: 'v1', b: 'v2'});
  begin(host, 'recorded', 'v1');
  await world.pass(300);
  begin(host, 'too late', 'v1');
  world.killAll();
  world.serve({a: 'v1', b: 'v2'});
  const returned = world.host();
  t.deepEqual(await returned.versionOf(SERVICE, 'recorded'), KNOWN_V1);
  t.deepEqual(await returned.versionOf(SERVICE, 'too late'), UNKNOWN);
});

test('after all hosts were killed and the old version has left, its streams go on nowhere', async t => {
  const {world, host} = await longWithOneVersion();
  begin(host, 'old', 'v1');
  world.killAll();
  world.serve({c: 'v2', d: 'v2'});
  await world.pass(2_000);
  t.deepEqual(await world.host().versionOf(SERVICE, 'old'), UNKNOWN);
});

test('after all hosts were killed with one version in service, streams go on', async t => {
  const {world, host} = await longWithOneVersion();
  begin(host, 'old', 'v1');
  world.killAll();
  await world.pass(2_000);
  t.deepEqual(await world.host().versionOf(SERVICE, 'old'), KNOWN_V1);
});

test('after all hosts were killed soon after the start of the platform, streams go on', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v1'});
  const host = world.host();
  await world.pass(5_000);
  begin(host, 'old', 'v1');
  await world.pass(300);
  world.killAll();
  await world.pass(2_000);
  t.deepEqual(await world.host().versionOf(SERVICE, 'old'), KNOWN_V1);
});

test('what a host gathers goes through the host that appends for it', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const recorder = world.host();
  const host = world.host(() => recorder);
  begin(host, 'one', 'v1');
  await world.pass(250);
  t.is(world.store.records.length, 0);
  await world.pass(250);
  t.is(world.store.records.length, 1);
  t.deepEqual(await world.host().versionOf(SERVICE, 'one'), KNOWN_V1);
});

test('a store that is away delays the records and loses none', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const [host, other] = [world.host(), world.host()];
  world.store.isAway = true;
  begin(host, 'one', 'v1');
  await world.pass(300);
  t.deepEqual(await other.versionOf(SERVICE, 'one'), UNKNOWN);
  world.store.isAway = false;
  for (let round = 0; round < 4; round++) await world.pass(300);
  t.deepEqual(await other.versionOf(SERVICE, 'one'), KNOWN_V1);
});

test('a version is certain only where every version that can have served is the same', t => {
  const evidence = {
    seen: new Set(['v1']),
    hasFollowed: false,
    isUpToDate: true,
    isMixed: false,
    recorded: new Set<string>(),
    hasLongRunning: false,
  };
  t.deepEqual(decideVersion(evidence), UNKNOWN);
  t.deepEqual(decideVersion({...evidence, hasFollowed: true}), KNOWN_V1);
  t.deepEqual(decideVersion({...evidence, hasLongRunning: true}), KNOWN_V1);
  const recorded = new Set(['v1']);
  t.deepEqual(decideVersion({...evidence, recorded}), KNOWN_V1);
  const other = new Set(['v2']);
  t.deepEqual(decideVersion({...evidence, recorded: other}), UNKNOWN);
  const mixed = {...evidence, hasFollowed: true, isMixed: true};
  t.deepEqual(decideVersion(mixed), UNKNOWN);
  const late = {...evidence, hasFollowed: true, isUpToDate: false};
  t.deepEqual(decideVersion(late), UNKNOWN);
  const none = {...evidence, seen: new Set<string>()};
  t.deepEqual(decideVersion(none), {kind: 'unversioned'});
});

test('streams that began before the store came back from a copy are appended again, once', async t => {
  const world = new World();
  world.serve({'engine-1': 'v1', 'engine-2': 'v2'});
  const [first, second] = [world.host(), world.host()];
  world.reportEra(1);
  begin(first, 'a-1', 'v1');
  await world.pass(1_000);
  t.deepEqual(await second.versionOf(SERVICE, 'a-1'), {
    kind: 'known',
    version: 'v1',
  });
  t.is(world.store.records.length, 1);
  world.store.records.splice(0);
  world.reportEra(2);
  await world.pass(1_000);
  t.is(world.store.records.length, 1);
});

test('a stream of a version that came and went unseen goes on at another one', async t => {
  const {host} = await longWithOneVersion();
  const {entry} = createEndpoint('c', '127.0.0.1:1', 'v2');
  host.recordEntries([
    {id: 'c', entry},
    {id: 'c', entry: undefined},
  ]);
  t.deepEqual(await host.versionOf(SERVICE, 'one'), UNKNOWN);
});

test('a host that has missed entries reads the records of all hosts', async t => {
  const {world, host} = await longWithOneVersion();
  await host.versionOf(SERVICE, 'one');
  t.is(world.store.calls, 0);
  host.recordEntries([{id: 'never seen', entry: undefined}]);
  await host.versionOf(SERVICE, 'one');
  t.true(world.store.calls > 0);
  const calls = world.store.calls;
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  host.recordMissedEntries();
  await host.versionOf(SERVICE, 'one');
  t.true(world.store.calls > calls);
});

test('a host whose directory is not up to date takes its only version for the only one', async t => {
  const {world, host} = await longWithOneVersion();
  begin(host, 'own', 'v1');
  world.store.isAway = true;
  t.deepEqual(await host.versionOf(SERVICE, 'one'), UNKNOWN);
  t.deepEqual(await host.versionOf(SERVICE, 'own'), KNOWN_V1);
});
