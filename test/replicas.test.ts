/**
 * Usage sheets that a host keeps for another host: when the other host dies,
 * they are appended even if the store is unreachable at that moment, and a
 * message that arrives late never replaces newer figures by older ones.
 */
import {decode} from 'cbor-x';
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {
  FencedPlatformClient,
  UsageMeter,
  type CallOutcome,
} from '../source/leader/index.js';
import {Metrics} from '../source/metrics/index.js';
import type {Sheet} from '../source/platform/index.js';
import {seededRandom} from '../source/random/index.js';
import {StoreError} from '../source/store/index.js';
import {NO_RECORDER} from './support/linkless.js';
import {SILENT} from './support/silent.js';
import {UnusedStore} from './support/unusedstore.js';

const WINDOW = 5_000;
const OTHER = 'host-2 1';

/** A store that is unreachable for a number of appends. */
class UnreachableStore extends UnusedStore {
  readonly sheets: Sheet[] = [];

  constructor(private failuresLeft: number) {
    super();
  }

  override async append(
    _: string,
    records: readonly Buffer[],
  ): Promise<number> {
    if (this.failuresLeft-- > 0) throw new StoreError('unreachable', 'away');
    for (const bytes of records) {
      this.sheets.push(...(decode(bytes) as {sheets: Sheet[]}).sheets);
    }
    return this.sheets.length;
  }
}

class StubPlatformClient extends FencedPlatformClient {
  override async reportUsage(): Promise<CallOutcome> {
    return 'done';
  }

  override async scale(): Promise<CallOutcome> {
    return 'done';
  }
}

function setUp(failures: number) {
  const clock = new ManualClock();
  clock.advance(10 * WINDOW);
  const store = new UnreachableStore(failures);
  const usage = new UsageMeter({
    incarnation: 'host-1 1',
    hosts: () => [],
    relay: NO_RECORDER,
    window: WINDOW,
    reportDeadline: 2 * WINDOW,
    store,
    client: new StubPlatformClient(),
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

/** Lets pending promises resolve. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}

test('the sheets kept for a lost host are appended once the store is reachable again', async t => {
  const {clock, store, usage} = setUp(3);
  usage.keepReplica(OTHER, [sheetOf(10, 7)]);
  void usage.appendReplicaOf(OTHER);
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

test('a message that arrives late does not replace a newer sheet', async t => {
  const {store, usage} = setUp(0);
  usage.keepReplica(OTHER, [sheetOf(10, 9), sheetOf(11, 12)]);
  usage.keepReplica(OTHER, [sheetOf(10, 4)]);
  await usage.appendReplicaOf(OTHER);
  t.deepEqual(
    store.sheets.map(({window, sequence}) => [window, sequence]),
    [
      [10, 9],
      [11, 12],
    ],
  );
});

test('sheets of windows that should be in the store by now are not kept', async t => {
  const {store, usage} = setUp(0);
  usage.keepReplica(OTHER, [sheetOf(10, 9)]);
  usage.keepReplica(OTHER, [sheetOf(11, 1), sheetOf(12, 2)]);
  await usage.appendReplicaOf(OTHER);
  t.deepEqual(store.sheets.map(({window}) => window).sort(), [11, 12]);
});

test('sheets of hosts that have long been silent are not kept', async t => {
  const {clock, usage} = setUp(0);
  usage.start();
  for (let host = 0; host < 100; host++) {
    const window = Math.floor(clock.now().getTime() / WINDOW);
    usage.keepReplica(`host-${host} 2`, [sheetOf(window, 1)]);
    clock.advance(WINDOW);
    await settle();
  }
  t.true(usage.replicaCount <= 25);
});
