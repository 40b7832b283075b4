/**
 * Who reads the store for whom in a large fleet: few calls, every host served
 * in time, and nobody left with an old view when feeders are lost. Hosts, store
 * and network are played on one injected clock.
 */
import test from 'ava';
import fc from 'fast-check';

import {ManualClock} from '../source/clock/index.js';
import {
  Feeder,
  feedPlan,
  type Gossip,
  type HostAddress,
} from '../source/gossip/index.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const TOPIC = 'endpoints';
const ZONES = ['palermo', 'catania', 'siracusa'];
const FLIGHT = 2;
const STEP = 50;

function addresses(count: number): HostAddress[] {
  return Array.from({length: count}, (_, index) => ({
    name: `host-${index}`,
    started: 1,
    address: `10.0.0.${index}:1`,
    zone: ZONES[index % ZONES.length] ?? '',
  }));
}

interface PlayedHost {
  readonly address: HostAddress;
  readonly feeder: Feeder;
  position: number;
  answeredAt: number;
  alive: boolean;
  /** Whether the store answers it. */
  served: boolean;
  calls: number;
}

/** A fleet, of which each host reads the store while it is not fed. */
class Fleet {
  readonly clock = new ManualClock();
  readonly hosts: PlayedHost[];
  /** Offset of the end of the store's topic. */
  end = 1;

  constructor(count: number) {
    const all = addresses(count);
    this.hosts = all.map(address => this.host(address, all));
    for (const {feeder} of this.hosts) feeder.start();
    this.clock.every(STEP, () => this.read());
  }

  host(address: HostAddress, all: readonly HostAddress[]): PlayedHost {
    const played: PlayedHost = {
      address,
      position: 1,
      answeredAt: 0,
      alive: true,
      served: true,
      calls: 0,
      feeder: new Feeder({
        self: address,
        clock: this.clock,
        hosts: () => all.filter(({name}) => name !== address.name),
        send: (to, message) => this.send(played, to, message),
        positions: () => [{topic: TOPIC, position: played.position}],
        records: () => ({records: [], end: played.position, whole: false}),
        answeredAt: () => played.answeredAt,
        lostAt: () => -Infinity,
        lost: () => {},
      }),
    };
    return played;
  }

  /** Hosts that are not fed read, and learn what is new. */
  read(): void {
    const now = this.clock.monotonic();
    for (const host of this.hosts) {
      if (!host.alive || host.feeder.fed || !host.served) continue;
      host.calls++;
      host.answeredAt = now;
      this.learn(host, this.end);
    }
  }

  send(from: PlayedHost, to: string, message: Gossip): void {
    this.clock.after(FLIGHT, () => {
      const host = this.hosts.find(({address}) => address.name === to);
      if (!host?.alive || !from.alive) return;
      if (message.kind === 'feed') host.feeder.take(message);
      if (message.kind === 'records') this.learn(host, message.end);
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

  learn(host: PlayedHost, end: number): void {
    if (end <= host.position) return;
    host.position = end;
    host.feeder.changed();
  }

  /** Hosts that live and do not know all within a time. */
  behindAfter(duration: number): string[] {
    const {end} = this;
    this.clock.advance(duration);
    return this.hosts
      .filter(({alive, position}) => alive && position < end)
      .map(({address}) => address.name);
  }

  get readers(): number {
    return this.hosts.filter(({feeder}) => !feeder.fed).length;
  }
}

test('in a small fleet every host follows the store', t => {
  for (const count of [1, 6, 12]) {
    const [self, ...others] = addresses(count);
    t.deepEqual(self && feedPlan(self, others), {follows: true, feeds: []});
  }
});

test('in a large fleet two hosts of each zone follow it, and all others are fed', t => {
  for (const count of [13, 61, 340]) {
    const all = addresses(count);
    const plans = all.map(self =>
      feedPlan(
        self,
        all.filter(other => other !== self),
      ),
    );
    t.is(plans.filter(({follows}) => follows).length, 6);
    const fed = new Set(plans.flatMap(({feeds}) => feeds));
    t.is(fed.size, count);
  }
});

test('few hosts call the store, and all know what is new at once', t => {
  const fleet = new Fleet(61);
  fleet.clock.advance(2_000);
  t.is(fleet.readers, 6);
  fleet.end++;
  t.deepEqual(fleet.behindAfter(STEP + 100), []);
});

type Loss = (fleet: Fleet, chosen: readonly number[]) => void;

const killed: Loss = (fleet, chosen) => {
  for (const index of chosen) {
    const host = fleet.hosts[index];
    if (host) host.alive = false;
  }
};

/** After any loss every host that lives knows what is new within two seconds. */
function lossProperty(lose: Loss) {
  const chosen = fc.uniqueArray(fc.integer({min: 0, max: 60}), {
    maxLength: 60,
  });
  return fc.property(chosen, list => {
    const fleet = new Fleet(61);
    fleet.clock.advance(2_000);
    lose(fleet, list);
    fleet.end++;
    return fleet.behindAfter(1_900).length === 0;
  });
}

test('whatever hosts are lost, the others know what is new in time', t => {
  holds(t, lossProperty(killed), 40);
});

test('the check notices hosts that trust a feeder without a word', t => {
  isSeenToFail(
    t,
    lossProperty((fleet, chosen) => {
      killed(fleet, chosen);
      for (const host of fleet.hosts) {
        if (host.feeder.fed) host.served = false;
      }
    }),
    40,
  );
});

test('feeders that the store turns away do not keep each other’s word fresh', t => {
  const fleet = new Fleet(61);
  fleet.clock.advance(2_000);
  const feeders = fleet.hosts.filter(({feeder}) => !feeder.fed);
  for (const host of feeders) host.served = false;
  fleet.end++;
  t.deepEqual(
    fleet
      .behindAfter(5_000)
      .filter(name => feeders.every(({address}) => address.name !== name)),
    [],
  );
  t.true(fleet.readers > feeders.length);
});

test('feeders that the store turns away are fed by the others', t => {
  const fleet = new Fleet(61);
  fleet.clock.advance(2_000);
  const feeders = fleet.hosts.filter(({feeder}) => !feeder.fed);
  for (const host of feeders.slice(1)) host.served = false;
  fleet.end++;
  t.deepEqual(fleet.behindAfter(1_000), []);
});
