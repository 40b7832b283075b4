/**
 * A zone of a fleet of 195 hosts whose recorder dies or stands still. Guards against
 * items that are lost with it, and against appends of every host until it is known
 * to be gone.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {ZoneRecorder} from '../source/edge/zonerecorder.js';
import type {HostAddress} from '../source/gossip/index.js';
import {RecorderRelay} from '../source/recorder/index.js';
import {SILENT} from './support/silent.js';

const HOSTS = 195;
const ZONES = ['palermo', 'catania', 'siracusa'];
const MESSAGE_DELAY_MILLISECONDS = 2;
const INTERVAL_MILLISECONDS = 200;
const GATHERING_MILLISECONDS = 100;
const PATIENCE_MILLISECONDS = 500;
/** Deliveries that a host can have on their way when the first one is missed. */
const OUTSTANDING = Math.ceil(PATIENCE_MILLISECONDS / INTERVAL_MILLISECONDS);

interface SimulatedHost {
  readonly address: HostAddress;
  readonly relay: RecorderRelay<string>;
}

/** The hosts of one zone, which all count a dead one as reachable. */
class Zone {
  readonly clock = new ManualClock();
  readonly stored = new Set<string>();
  /** Which host made each append, and when. */
  readonly appends: Array<{readonly host: string; readonly at: number}> = [];
  readonly silent = new Set<string>();
  readonly hosts: readonly SimulatedHost[];
  private items = 0;

  constructor() {
    const all = Array.from({length: HOSTS}, (_, index) => ({
      name: `host-${index}`,
      started: 1,
      address: `10.0.0.${index}:1`,
      zone: ZONES[index % ZONES.length] ?? '',
    }));
    this.hosts = all
      .filter(({zone}) => zone === ZONES[0])
      .map(address => this.createHost(address, all));
  }

  /** Every host that is up stores an item; returns their names. */
  storeOnce(): string[] {
    const up = this.hosts.filter(({address}) => !this.silent.has(address.name));
    return up.map(({relay}) => {
      const item = `item-${this.items++}`;
      void relay.store([item]);
      return item;
    });
  }

  async pass(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
      this.clock.advance(10);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** The host that appended last. */
  get recorder(): string {
    return this.appends.at(-1)?.host ?? '';
  }

  private createHost(
    self: HostAddress,
    all: readonly HostAddress[],
  ): SimulatedHost {
    const {clock} = this;
    const recorder = new ZoneRecorder({
      self,
      clock,
      hosts: () => all.filter(({name}) => name !== self.name),
      send: () => {},
      logger: SILENT,
    });
    const later = (to: string, act: (relay: RecorderRelay<string>) => void) =>
      void clock.after(MESSAGE_DELAY_MILLISECONDS, () => {
        const host = this.hosts.find(({address}) => address.name === to);
        const isSilent = this.silent.has(to) || this.silent.has(self.name);
        if (host && !isSilent) act(host.relay);
      });
    const relay = new RecorderRelay<string>({
      clock,
      gathering: GATHERING_MILLISECONDS,
      patience: PATIENCE_MILLISECONDS,
      recorder: () => recorder.name,
      deliver: (to, delivery) =>
        later(to, other => other.handleDelivery(self.name, delivery)),
      confirm: (to, number) =>
        later(to, other => other.handleConfirmation(number)),
      onMissed: name => recorder.noteMissed(name),
      append: async items => {
        if (this.silent.has(self.name)) return false;
        this.appends.push({host: self.name, at: clock.monotonic()});
        for (const item of items) this.stored.add(item);
        return true;
      },
    });
    return {address: self, relay};
  }
}

test('items of a zone whose recorder dies are stored within a second, with few appends', async t => {
  const zone = new Zone();
  zone.storeOnce();
  await zone.pass(INTERVAL_MILLISECONDS);
  const dead = zone.recorder;
  zone.silent.add(dead);
  const items: string[] = [];
  zone.appends.splice(0);
  for (let round = 0; round < 10; round++) {
    items.push(...zone.storeOnce());
    await zone.pass(INTERVAL_MILLISECONDS);
  }
  await zone.pass(PATIENCE_MILLISECONDS);
  t.deepEqual(
    items.filter(item => !zone.stored.has(item)),
    [],
  );
  const {recorder} = zone;
  t.not(recorder, dead);
  const others = zone.appends.filter(({host}) => host !== recorder);
  t.log(`${zone.appends.length} appends, ${others.length} of owners`);
  t.true(others.length <= OUTSTANDING * zone.hosts.length);
  // Once a miss is known, only the next recorder appends.
  const lastOwn = Math.max(...others.map(({at}) => at));
  t.true(lastOwn <= 2 * PATIENCE_MILLISECONDS + 2 * INTERVAL_MILLISECONDS);
});

test('a recorder that has stood still is used again after a while', async t => {
  const zone = new Zone();
  zone.storeOnce();
  await zone.pass(INTERVAL_MILLISECONDS);
  const first = zone.recorder;
  zone.silent.add(first);
  zone.storeOnce();
  await zone.pass(1_000);
  zone.silent.delete(first);
  zone.storeOnce();
  await zone.pass(300);
  t.not(zone.recorder, first);
  await zone.pass(10_000);
  zone.storeOnce();
  await zone.pass(300);
  t.is(zone.recorder, first);
});
