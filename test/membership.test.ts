/**
 * What a host makes of what it knows of the others: how sure it is, what it takes
 * of a shared limit, and what it does with the entries of the store.
 */
import test from 'ava';
import * as fc from 'fast-check';

import {
  coldStartRate,
  namedLimitRate,
  shareOfRate,
} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import type {HostAddress, HostToContact} from '../source/gossip/index.js';
import {
  HostRegistry,
  hostOfRecord,
  NOTHING_SEEN,
  noteSilent,
  recordOfHost,
  reviewRegistry,
} from '../source/hostregistry/index.js';
import {
  confidenceOf,
  type MembershipConfidence,
} from '../source/membership/index.js';
import {Metrics} from '../source/metrics/index.js';
import {seededRandom} from '../source/random/index.js';
import {
  StoreError,
  type KeyedPage,
  type KeyedValue,
} from '../source/store/index.js';
import {SILENT} from './support/silent.js';
import {UnusedStore} from './support/unusedstore.js';

/** FAILBACK and LIMIT: all hosts together may exceed a rate by this factor. */
const OVERSHOOT = 1.5;

/** How long an endpoint is cold after its start. */
const COLD_SECONDS = 3;

function hostOf(name: string, started = 1): HostAddress {
  return {name, started, address: '10.0.0.1:8748', zone: 'palermo'};
}

const namesOf = (count: number) =>
  Array.from({length: count}, (_, index) => `host-${index}`);

test('a host is sure once it was told of the others, and while silent ones cannot be cut off', t => {
  const evidence = {
    wasTold: true,
    hasSilentHosts: false,
    isStoreInTouch: false,
  };
  t.is(confidenceOf(evidence), 'confirmed');
  t.is(confidenceOf({...evidence, wasTold: false}), 'unconfirmed');
  t.is(confidenceOf({...evidence, hasSilentHosts: true}), 'separated');
  const inTouch = {...evidence, hasSilentHosts: true, isStoreInTouch: true};
  t.is(confidenceOf(inTouch), 'confirmed');
});

test('hosts that are sure, cut off and new together keep to one and a half times a limit', t => {
  const confidence = fc.constantFrom<MembershipConfidence>(
    'confirmed',
    'separated',
  );
  const property = fc.property(
    fc.array(confidence, {minLength: 1, maxLength: 60}),
    fc.integer({min: 0, max: 12}),
    fc.constantFrom(0.4, 2, 12, 40),
    (known, unknownCount, rate) => {
      const hosts = namesOf(known.length + unknownCount);
      for (const shareOf of [coldStartRate, namedLimitRate]) {
        const shares = hosts.map((host, index) => {
          const isNew = index >= known.length;
          const sharing = isNew
            ? {hosts: [host], confidence: 'unconfirmed' as const}
            : {hosts, confidence: known[index] ?? 'confirmed'};
          return shareOfRate(shareOf, 'engine', rate, host, sharing);
        });
        const sum = shares.reduce((total, share) => total + share, 0);
        if (sum > rate * OVERSHOOT + 1e-9) return false;
      }
      return true;
    },
  );
  t.notThrows(() => fc.assert(property, {seed: 54, numRuns: 300}));
});

test('hosts of a zone that is cut off go on sending to its cold endpoints', t => {
  const hosts = namesOf(6);
  const zone = hosts.slice(0, 2);
  for (let number = 0; number < 20; number++) {
    const endpoint = `engine-${number}`;
    const rates = zone.map(host =>
      shareOfRate(coldStartRate, endpoint, 12, host, {
        hosts,
        confidence: 'separated',
      }),
    );
    t.true(rates.every(rate => rate * COLD_SECONDS >= 1));
  }
});

test('a host that was told nothing takes a small part of a limit, not all of it', t => {
  const sharing = {hosts: ['host-1'], confidence: 'unconfirmed'} as const;
  const rate = shareOfRate(coldStartRate, 'engine-1', 12, 'host-1', sharing);
  t.is(rate, 0.25);
});

test('entries of hosts that are not reached are contacted, count once as new, and are removed in the end', t => {
  const self = hostOf('self');
  const entries = [self, hostOf('dead'), hostOf('alive')];
  const reading = {self, entries, reachable: [hostOf('alive')]};
  const first = reviewRegistry({...reading, unreached: NOTHING_SEEN, now: 0});
  t.true(first.isEntered);
  t.deepEqual(first.toContact, [{host: hostOf('dead'), isNew: true}]);
  const {unreached} = first;
  const second = reviewRegistry({...reading, unreached, now: 30_000});
  t.deepEqual(second.toContact, [{host: hostOf('dead'), isNew: false}]);
  t.deepEqual(second.lapsed, []);
  const third = reviewRegistry({...reading, unreached, now: 60_000});
  t.deepEqual(third.lapsed, [hostOf('dead')]);
  const alone = {...reading, reachable: [], unreached, now: 60_000};
  t.deepEqual(reviewRegistry(alone).lapsed, []);
});

test('a host that falls silent is not counted as new when the store names it, and another incarnation is', t => {
  const self = hostOf('self');
  const unreached = noteSilent(NOTHING_SEEN, hostOf('other', 1), 0);
  const reading = {self, reachable: [], unreached, now: 1_000};
  const same = reviewRegistry({...reading, entries: [hostOf('other', 1)]});
  t.deepEqual(
    same.toContact.map(({isNew}) => isNew),
    [false],
  );
  const later = reviewRegistry({...reading, entries: [hostOf('other', 2)]});
  t.deepEqual(
    later.toContact.map(({isNew}) => isNew),
    [true],
  );
  t.false(later.isEntered);
});

/** A keyed topic that several hosts share. */
class SharedTopic extends UnusedStore {
  readonly values = new Map<string, Buffer>();
  end = 0;
  reads = 0;
  isAway = false;

  override async readNewest(): Promise<KeyedPage> {
    this.reads++;
    if (this.isAway) throw new StoreError('unreachable', 'away');
    const records = [...this.values].map(([key, value]) => {
      return {key, value, offset: 0};
    });
    return {records, end: this.end};
  }

  override async appendKeyed(
    _?: string,
    values: readonly KeyedValue[] = [],
    __?: number,
    expectedEnd = this.end,
  ): Promise<void> {
    if (this.isAway) throw new StoreError('unreachable', 'away');
    if (expectedEnd !== this.end) throw new StoreError('conflict', 'moved');
    for (const {key, value} of values) {
      this.end++;
      if (value) this.values.set(key, Buffer.from(value));
      else this.values.delete(key);
    }
  }
}

function registryOf(store: SharedTopic, clock: ManualClock, name: string) {
  const contacts: HostToContact[] = [];
  const reachable: HostAddress[] = [];
  const registry = new HostRegistry({
    self: hostOf(name),
    store,
    clock,
    logger: SILENT,
    metrics: new Metrics(),
    random: seededRandom(54),
    reachable: () => reachable,
    onRead: hosts => contacts.push(...hosts),
  });
  return {registry, contacts, reachable};
}

async function pass(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 100) {
    clock.advance(100);
    await new Promise(resolve => setImmediate(resolve));
  }
}

test('a host enters itself, is found there, and enters itself again if its entry is lost', async t => {
  const [store, clock] = [new SharedTopic(), new ManualClock()];
  const one = registryOf(store, clock, 'one');
  const two = registryOf(store, clock, 'two');
  one.registry.start();
  two.registry.start();
  await pass(clock, 500);
  const found = [...one.contacts, ...two.contacts].map(({host}) => host.name);
  t.true(found.includes('one') || found.includes('two'));
  t.deepEqual([...store.values.keys()].sort(), ['one', 'two']);
  store.values.delete('one');
  await pass(clock, 20_000);
  t.true(store.values.has('one'));
  await one.registry.leave();
  t.deepEqual([...store.values.keys()], ['two']);
});

test('hosts read the store at a rate that does not grow with the fleet, and go on after it was away', async t => {
  const [store, clock] = [new SharedTopic(), new ManualClock()];
  store.isAway = true;
  const {registry, reachable} = registryOf(store, clock, 'one');
  for (const name of namesOf(99)) reachable.push(hostOf(name));
  registry.start();
  await pass(clock, 60_000);
  t.is(store.values.size, 0);
  store.isAway = false;
  await pass(clock, 10_000);
  t.true(store.values.has('one'));
  store.reads = 0;
  await pass(clock, 1_000_000);
  t.true(store.reads >= 1 && store.reads <= 3);
});

test('an entry that is written anew while others remove it stays', async t => {
  const [store, clock] = [new SharedTopic(), new ManualClock()];
  await store.appendKeyed('', [recordOfHost(hostOf('other'))]);
  const {registry, reachable} = registryOf(store, clock, 'one');
  reachable.push(hostOf('third'));
  registry.start();
  const readNewest = store.readNewest.bind(store);
  await pass(clock, 30_000);
  store.readNewest = async () => {
    const page = await readNewest();
    await store.appendKeyed('', [recordOfHost(hostOf('other', 2))]);
    return page;
  };
  await pass(clock, 60_000);
  const value = store.values.get('other');
  t.is(hostOfRecord({key: 'other', value, offset: 0})?.started, 2);
});
