/** What is blocked, as the store keeps it while hosts come and go. */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {
  BlockedRecords,
  keyOf,
  type BlocklistEntry,
} from '../source/quarantine/index.js';
import {
  StoreError,
  type KeyedPage,
  type KeyedValue,
} from '../source/store/index.js';
import {SILENT} from './support/silent.js';
import {UnusedStore} from './support/unusedstore.js';

const HOSTS = ['host-0', 'host-1', 'host-2', 'host-3'];
const SUSPECT = {kind: 'request', id: 'f1'} as const;
const ENTRY: BlocklistEntry = {
  kind: 'request',
  part: 'f1',
  team: 'editors',
  revision: 1,
  isBlocked: true,
  reviewIn: 60_000,
};

class KeyedStore extends UnusedStore {
  readonly values = new Map<string, Buffer>();
  isAway = false;
  appends = 0;

  override async readNewest(): Promise<KeyedPage> {
    if (this.isAway) throw new StoreError('unreachable', 'away');
    const records = [...this.values].map(([key, value], offset) => {
      return {key, value, offset};
    });
    return {records, end: records.length};
  }

  override async appendKeyed(
    _?: string,
    values?: readonly KeyedValue[],
  ): Promise<void> {
    if (this.isAway) throw new StoreError('unreachable', 'away');
    this.appends++;
    for (const {key, value} of values ?? []) {
      if (value) this.values.set(key, Buffer.from(value));
      else this.values.delete(key);
    }
  }
}

/** The records of one host, with what it blocks and what it has loaded. */
function recordsOf(store: KeyedStore, clock: ManualClock, host = 'host-0') {
  const entries: BlocklistEntry[] = [];
  const loaded: BlocklistEntry[] = [];
  const records = new BlockedRecords({
    store,
    host,
    hosts: () => HOSTS,
    clock,
    logger: SILENT,
    entries: () => entries,
    onLoaded: found => loaded.push(...found),
  });
  return {entries, loaded, records};
}

async function pass(clock: ManualClock, milliseconds: number): Promise<void> {
  clock.advance(milliseconds);
  await new Promise(resolve => setImmediate(resolve));
}

/** All hosts block the same, at once. */
function blockEverywhere(store: KeyedStore, clock: ManualClock) {
  return HOSTS.map(host => {
    const created = recordsOf(store, clock, host);
    created.entries.push(ENTRY);
    created.records.noteChange(SUSPECT);
    return created;
  });
}

test('two hosts write what all block, and one that starts reads it with its age', async t => {
  const store = new KeyedStore();
  const clock = new ManualClock();
  blockEverywhere(store, clock);
  await pass(clock, 100);
  t.is(store.appends, 2);
  await pass(clock, 10_000);
  const {records, loaded} = recordsOf(store, clock);
  records.start();
  await pass(clock, 0);
  t.deepEqual(loaded, [{...ENTRY, reviewIn: 50_000}]);
});

test('what is no longer blocked comes back after a restart of all hosts', async t => {
  const store = new KeyedStore();
  const clock = new ManualClock();
  const hosts = blockEverywhere(store, clock);
  await pass(clock, 100);
  for (const {entries, records} of hosts) {
    entries.splice(0, 1, {...ENTRY, revision: 2, isBlocked: false});
    records.noteChange(SUSPECT);
  }
  await pass(clock, 100);
  t.is(store.values.size, 0);
});

test('a store that is away, or comes back from a copy, loses what is blocked', async t => {
  const store = new KeyedStore();
  const clock = new ManualClock();
  store.isAway = true;
  blockEverywhere(store, clock);
  await pass(clock, 100);
  store.isAway = false;
  await pass(clock, 1_000);
  t.deepEqual([...store.values.keys()], [keyOf(SUSPECT)]);
  store.restores.report(1);
  store.values.clear();
  store.restores.report(2);
  await pass(clock, 100);
  t.deepEqual([...store.values.keys()], [keyOf(SUSPECT)]);
});

test('a host that starts while the store is away never learns what is blocked', async t => {
  const store = new KeyedStore();
  const clock = new ManualClock();
  blockEverywhere(store, clock);
  await pass(clock, 100);
  store.isAway = true;
  const {records, loaded} = recordsOf(store, clock);
  records.start();
  await pass(clock, 0);
  store.isAway = false;
  await pass(clock, 1_000);
  t.is(loaded.length, 1);
});

test('a record that is malformed ends no host', async t => {
  const store = new KeyedStore();
  const clock = new ManualClock();
  store.values.set('request f0', Buffer.from('odd'));
  blockEverywhere(store, clock);
  await pass(clock, 100);
  const {records, loaded} = recordsOf(store, clock);
  records.start();
  await pass(clock, 0);
  t.deepEqual(
    loaded.map(({part}) => part),
    ['f1'],
  );
});
