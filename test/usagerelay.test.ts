/**
 * Usage sheets of a large fleet, which one host of each zone appends for the
 * others. Guards against an append of every host in every window, and against
 * sheets that are lost with the host that should have appended them.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import type {Sheet} from '../source/platform/index.js';
import {RecorderRelay} from '../source/recorder/index.js';

const HOSTS = 40;
const MESSAGE_DELAY_MILLISECONDS = 2;

function sheetOf(host: string): Sheet {
  return {
    region: 'all',
    window: 1,
    incarnation: host,
    sequence: 1,
    since: 0,
    sealed: true,
    figures: [{team: 'guides', requests: 1, tokens: 0}],
  };
}

class Zone {
  readonly clock = new ManualClock();
  readonly appends: Array<readonly Sheet[]> = [];
  isStoreAway = false;
  isRecorderDead = false;
  private readonly relays = new Map<string, RecorderRelay<Sheet>>();

  constructor() {
    for (let index = 0; index < HOSTS; index++) this.add(`host-${index}`);
  }

  get stored(): Set<string> {
    return new Set(this.appends.flat().map(({incarnation}) => incarnation));
  }

  async storeAll(): Promise<boolean[]> {
    const storing = [...this.relays].map(([name, relay]) =>
      relay.store([sheetOf(name)]),
    );
    for (let step = 0; step < 200; step++) {
      this.clock.advance(10);
      await Promise.resolve();
    }
    return Promise.all(storing);
  }

  private add(name: string): void {
    const {clock} = this;
    const isRecorder = name === 'host-0';
    const later = (act: () => void) =>
      void clock.after(MESSAGE_DELAY_MILLISECONDS, act);
    const relay = new RecorderRelay<Sheet>({
      clock,
      gathering: 300,
      patience: 1_200,
      onMissed: () => {},
      recorder: () => (isRecorder ? undefined : 'host-0'),
      deliver: (host, delivery) =>
        later(() => {
          if (this.isRecorderDead) return;
          this.relays.get(host)?.handleDelivery(name, delivery);
        }),
      confirm: (host, number) =>
        later(() => this.relays.get(host)?.handleConfirmation(number)),
      append: async sheets => {
        if (this.isStoreAway) return false;
        this.appends.push(sheets);
        return true;
      },
    });
    this.relays.set(name, relay);
  }
}

test('the sheets of a zone are stored with two appends', async t => {
  const zone = new Zone();
  t.true((await zone.storeAll()).every(isStored => isStored));
  t.is(zone.stored.size, HOSTS);
  t.is(zone.appends.length, 2);
});

test('hosts whose appending host is dead append their sheets themselves', async t => {
  const zone = new Zone();
  zone.isRecorderDead = true;
  t.true((await zone.storeAll()).every(isStored => isStored));
  t.is(zone.stored.size, HOSTS);
});

test('no sheet counts as stored while the store is away', async t => {
  const zone = new Zone();
  zone.isStoreAway = true;
  t.false((await zone.storeAll()).some(isStored => isStored));
});
