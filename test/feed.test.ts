/**
 * Which hosts of a large fleet read the store for the others: few calls, every
 * host up to date in time, and no host left with an old view when feeders are
 * lost. Hosts, store and network are simulated on one injected clock.
 */
import test from 'ava';
import fc from 'fast-check';

import {ManualClock} from '../source/clock/index.js';
import {
  Feeder,
  planFeed,
  type GossipMessage,
  type HostAddress,
} from '../source/gossip/index.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const TOPIC = 'endpoints';
const ZONES = ['palermo', 'catania', 'siracusa'];
const MESSAGE_DELAY_MILLISECONDS = 2;
const READ_INTERVAL_MILLISECONDS = 50;

function createAddresses(count: number): HostAddress[] {
  return Array.from({length: count}, (_, index) => ({
    name: `host-${index}`,
    started: 1,
    address: `10.0.0.${index}:1`,
    zone: ZONES[index % ZONES.length] ?? '',
  }));
}

interface SimulatedHost {
  readonly address: HostAddress;
  readonly feeder: Feeder;
  position: number;
  answeredAt: number;
  isRunning: boolean;
  /** Whether its reads of the store succeed. */
  canReadStore: boolean;
  storeCalls: number;
}

/** A fleet in which each host reads the store while it is not fed. */
class Fleet {
  readonly clock = new ManualClock();
  readonly hosts: SimulatedHost[];
  /** Offset of the end of the store's topic. */
  end = 1;

  constructor(count: number) {
    const all = createAddresses(count);
    this.hosts = all.map(address => this.createHost(address, all));
    for (const {feeder} of this.hosts) feeder.start();
    this.clock.every(READ_INTERVAL_MILLISECONDS, () => this.readStore());
  }

  createHost(address: HostAddress, all: readonly HostAddress[]): SimulatedHost {
    const simulated: SimulatedHost = {
      address,
      position: 1,
      answeredAt: 0,
      isRunning: true,
      canReadStore: true,
      storeCalls: 0,
      feeder: new Feeder({
        self: address,
        clock: this.clock,
        hosts: () => all.filter(({name}) => name !== address.name),
        send: (to, message) => this.send(simulated, to, message),
        positions: () => [{topic: TOPIC, position: simulated.position}],
        records: () => ({records: [], end: simulated.position, whole: false}),
        answeredAt: () => simulated.answeredAt,
        storeLostAt: () => -Infinity,
        onStoreLost: () => {},
      }),
    };
    return simulated;
  }

  /** Hosts that are not fed read the store and get all new records. */
  readStore(): void {
    const now = this.clock.monotonic();
    for (const host of this.hosts) {
      if (!host.isRunning || host.feeder.isFed || !host.canReadStore) continue;
      host.storeCalls++;
      host.answeredAt = now;
      this.advanceTo(host, this.end);
    }
  }

  send(from: SimulatedHost, to: string, message: GossipMessage): void {
    this.clock.after(MESSAGE_DELAY_MILLISECONDS, () => {
      const host = this.hosts.find(({address}) => address.name === to);
      if (!host?.isRunning || !from.isRunning) return;
      if (message.kind === 'feed') host.feeder.handleReport(message);
      if (message.kind === 'records') this.advanceTo(host, message.end);
      if (message.kind !== 'wanted') return;
      const {position: end} = host;
      this.send(host, from.address.name, {
        kind: 'records',
        from: host.address,
        topic: TOPIC,
        records: [],
        end,
        whole: false,
      });
    });
  }

  advanceTo(host: SimulatedHost, end: number): void {
    if (end <= host.position) return;
    host.position = end;
    host.feeder.handleNewRecords();
  }

  /** Names of the running hosts that do not know all records after a time. */
  hostsBehindAfter(duration: number): string[] {
    const {end} = this;
    this.clock.advance(duration);
    return this.hosts
      .filter(({isRunning, position}) => isRunning && position < end)
      .map(({address}) => address.name);
  }

  get storeReaderCount(): number {
    return this.hosts.filter(({feeder}) => !feeder.isFed).length;
  }
}

test('in a small fleet every host follows the store', t => {
  for (const count of [1, 6, 12]) {
    const [self, ...others] = createAddresses(count);
    t.deepEqual(self && planFeed(self, others), {follows: true, feeds: []});
  }
});

test('in a large fleet three hosts of different zones follow the store, and all hosts are fed', t => {
  for (const count of [13, 61, 340]) {
    const all = createAddresses(count);
    const plans = all.map(self =>
      planFeed(
        self,
        all.filter(other => other !== self),
      ),
    );
    const followers = all.filter((_, index) => plans[index]?.follows);
    t.is(followers.length, 3);
    t.is(new Set(followers.map(({zone}) => zone)).size, 3);
    t.is(plans.filter(({feeds}) => feeds.length > 0).length, 6);
    const fed = new Set(plans.flatMap(({feeds}) => feeds));
    t.is(fed.size, count);
  }
});

test('few hosts call the store, and all hosts receive new records within 150 milliseconds', t => {
  const fleet = new Fleet(61);
  fleet.clock.advance(2_000);
  t.is(fleet.storeReaderCount, 3);
  fleet.end++;
  t.deepEqual(fleet.hostsBehindAfter(READ_INTERVAL_MILLISECONDS + 100), []);
});

type HostLoss = (fleet: Fleet, chosen: readonly number[]) => void;

const kill: HostLoss = (fleet, chosen) => {
  for (const index of chosen) {
    const host = fleet.hosts[index];
    if (host) host.isRunning = false;
  }
};

/**
 * After any loss every running host knows all new records within two seconds.
 */
function lossProperty(loseHosts: HostLoss) {
  const chosen = fc.uniqueArray(fc.integer({min: 0, max: 60}), {
    maxLength: 60,
  });
  return fc.property(chosen, list => {
    const fleet = new Fleet(61);
    fleet.clock.advance(2_000);
    loseHosts(fleet, list);
    fleet.end++;
    return fleet.hostsBehindAfter(1_900).length === 0;
  });
}

test('whichever hosts are lost, the others receive new records within two seconds', t => {
  holds(t, lossProperty(kill), 40);
});

test('the property fails if hosts go on relying on feeders that have become silent', t => {
  isSeenToFail(
    t,
    lossProperty((fleet, chosen) => {
      kill(fleet, chosen);
      for (const host of fleet.hosts) {
        if (host.feeder.isFed) host.canReadStore = false;
      }
    }),
    40,
  );
});

test('feeders that cannot read the store do not keep each other’s reports fresh', t => {
  const fleet = new Fleet(61);
  fleet.clock.advance(2_000);
  const feeders = fleet.hosts.filter(({feeder}) => !feeder.isFed);
  for (const host of feeders) host.canReadStore = false;
  fleet.end++;
  t.deepEqual(
    fleet
      .hostsBehindAfter(5_000)
      .filter(name => feeders.every(({address}) => address.name !== name)),
    [],
  );
  t.true(fleet.storeReaderCount > feeders.length);
});

test('feeders that cannot read the store are fed by those that can', t => {
  const fleet = new Fleet(61);
  fleet.clock.advance(2_000);
  const feeders = fleet.hosts.filter(({feeder}) => !feeder.isFed);
  for (const host of feeders.slice(1)) host.canReadStore = false;
  fleet.end++;
  t.deepEqual(fleet.hostsBehindAfter(1_000), []);
});

test('reports of feeders that are gone are not kept', t => {
  const clock = new ManualClock();
  const [self, ...others] = createAddresses(500);
  if (!self) throw new Error('no host');
  const feeder = new Feeder({
    self,
    clock,
    hosts: () => [],
    send: () => {},
    positions: () => [],
    records: () => ({records: [], end: 0, whole: false}),
    answeredAt: () => 0,
    storeLostAt: () => -Infinity,
    onStoreLost: () => {},
  });
  for (const from of others) {
    feeder.handleReport({kind: 'feed', from, positions: [], age: 0});
    clock.advance(400);
  }
  t.true(feeder.reportCount <= 3);
});

test('feeders whose followers are turned away for long are not behind the store by seconds', t => {
  const fleet = new Fleet(61);
  fleet.clock.advance(2_000);
  for (const host of fleet.hosts) {
    if (!host.feeder.isFed) host.canReadStore = false;
  }
  fleet.clock.advance(5_000);
  for (let round = 0; round < 10; round++) {
    fleet.end++;
    t.deepEqual(fleet.hostsBehindAfter(600), []);
  }
});
