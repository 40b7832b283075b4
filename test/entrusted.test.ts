/**
 * Usage that one host keeps for another: it is appended when the other dies,
 * though the store is away just then, and never as it stood before.
 */
import {decode} from 'cbor-x';
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {DutyCalls, Usage, type CallOutcome} from '../source/duty/index.js';
import {Metrics} from '../source/metrics/index.js';
import type {Sheet} from '../source/platform/index.js';
import {seededRandom} from '../source/random/index.js';
import {
  RecordStore,
  StoreError,
  type Joined,
  type KeyedPage,
  type PlainPage,
} from '../source/store/index.js';
import {SILENT} from './support/silent.js';

const WINDOW = 5_000;
const OTHER = 'host-2 1';
/** A store that is away for its first appends. */
class AwayStore extends RecordStore {
  readonly sheets: Sheet[] = [];

  constructor(private away: number) {
    super();
  }

  override async append(
    _: string,
    records: readonly Buffer[],
  ): Promise<number> {
    if (this.away-- > 0) throw new StoreError('unreachable', 'away');
    for (const bytes of records) {
      this.sheets.push(...(decode(bytes) as {sheets: Sheet[]}).sheets);
    }
    return this.sheets.length;
  }

  override async newest(): Promise<KeyedPage> {
    throw new Error('not used');
  }

  override async followKeyed(): Promise<KeyedPage> {
    throw new Error('not used');
  }

  override async follow(): Promise<PlainPage> {
    throw new Error('not used');
  }

  override async oldest(): Promise<number> {
    throw new Error('not used');
  }

  override async join(): Promise<Joined> {
    throw new Error('not used');
  }

  override async leave(): Promise<void> {}
}

class NoCalls extends DutyCalls {
  override async report(): Promise<CallOutcome> {
    return 'done';
  }

  override async order(): Promise<CallOutcome> {
    return 'done';
  }
}

function world(away: number) {
  const clock = new ManualClock();
  clock.advance(10 * WINDOW);
  const store = new AwayStore(away);
  const usage = new Usage({
    incarnation: 'host-1 1',
    hosts: () => [],
    window: WINDOW,
    late: 2 * WINDOW,
    store,
    calls: new NoCalls(),
    clock,
    random: seededRandom(20261204),
    logger: SILENT,
    metrics: new Metrics(),
  });
  return {clock, store, usage};
}

function sheetOf(window: number, sequence: number): Sheet {
  return {
    region: 'all',
    window,
    incarnation: OTHER,
    sequence,
    since: 0,
    sealed: false,
    figures: [{team: 'guides', requests: sequence, tokens: 0}],
  };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}

test('what a lost host had entrusted is appended once the store is back', async t => {
  const {clock, store, usage} = world(3);
  usage.keep(OTHER, [sheetOf(10, 7)]);
  void usage.appendFor(OTHER);
  for (let second = 0; second < 4; second++) {
    await settle();
    clock.advance(1_000);
  }
  await settle();
  t.deepEqual(
    store.sheets.map(({sequence}) => sequence),
    [7],
  );
});

test('a message that comes late takes nothing back', async t => {
  const {store, usage} = world(0);
  usage.keep(OTHER, [sheetOf(10, 9), sheetOf(11, 12)]);
  usage.keep(OTHER, [sheetOf(10, 4)]);
  await usage.appendFor(OTHER);
  t.deepEqual(
    store.sheets.map(({window, sequence}) => [window, sequence]),
    [
      [10, 9],
      [11, 12],
    ],
  );
});

test('what no window is open for any more is not kept', async t => {
  const {store, usage} = world(0);
  usage.keep(OTHER, [sheetOf(10, 9)]);
  usage.keep(OTHER, [sheetOf(11, 1), sheetOf(12, 2)]);
  await usage.appendFor(OTHER);
  t.deepEqual(store.sheets.map(({window}) => window).sort(), [11, 12]);
});
