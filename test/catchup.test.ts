/** A follower of a topic that is asked whether it knows all that has been written. */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {Metrics} from '../source/metrics/index.js';
import {seededRandom} from '../source/random/index.js';
import {
  KeyedFollower,
  StoreError,
  type KeyedPage,
} from '../source/store/index.js';
import {SILENT} from './support/silent.js';
import {UnusedStore} from './support/unusedstore.js';

/** A store whose long polls get no answer, and whose other reads are counted. */
class DeafStore extends UnusedStore {
  end = 1;
  isAway = false;
  readonly answers: Array<() => void> = [];

  override async readNewest(): Promise<KeyedPage> {
    return {records: [this.record(0)], end: 1};
  }

  override readKeyed(
    _?: string,
    options?: {from: number; wait: number},
  ): Promise<KeyedPage> {
    const {from = 0, wait = 0} = options ?? {};
    if (wait > 0) return new Promise(() => {});
    if (this.isAway) return Promise.reject(new StoreError('unreachable', ''));
    const records = Array.from({length: this.end - from}, (_, index) =>
      this.record(from + index),
    );
    const page = {records, end: this.end};
    return new Promise(resolve => this.answers.push(() => resolve(page)));
  }

  private record(offset: number) {
    return {key: `engine-${offset}`, value: Buffer.from('{}'), offset};
  }
}

async function follow(onRecord: (key: string) => void = () => {}) {
  const store = new DeafStore();
  const keys: string[] = [];
  const follower = new KeyedFollower({
    store,
    topic: 'keyed.servers',
    clock: new ManualClock(),
    logger: SILENT,
    metrics: new Metrics(),
    random: seededRandom(1),
    onChanges: records => {
      for (const {key} of records) {
        onRecord(key);
        keys.push(key);
      }
    },
    fed: () => false,
    feeds: () => false,
    heard: () => {},
  });
  void follower.run();
  await new Promise(resolve => setImmediate(resolve));
  /** Answers the reads that wait, and those that follow on them. */
  const answerAll = async () => {
    for (let turn = 0; turn < 8; turn++) {
      for (const answer of store.answers.splice(0)) answer();
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  return {store, keys, follower, answerAll};
}

test('a follower whose long poll hangs catches up with what was written', async t => {
  const {store, keys, follower, answerAll} = await follow();
  store.end = 3;
  const caughtUp = follower.catchUp();
  await answerAll();
  t.true(await caughtUp);
  t.deepEqual(keys, ['engine-0', 'engine-1', 'engine-2']);
  follower.stop();
});

test('a call during a read does not take the answer of that read for up to date', async t => {
  const {store, keys, follower, answerAll} = await follow();
  const first = follower.catchUp();
  store.end = 2;
  const [second, third] = [follower.catchUp(), follower.catchUp()];
  t.is(second, third);
  t.is(store.answers.length, 1);
  await answerAll();
  t.deepEqual(await Promise.all([first, second]), [true, true]);
  t.deepEqual(keys, ['engine-0', 'engine-1']);
  follower.stop();
});

test('a follower that cannot reach the store says that it may be behind', async t => {
  const {store, follower} = await follow();
  store.isAway = true;
  t.false(await follower.catchUp());
  follower.stop();
});

test('a record that a host cannot take ends the request that waits for it', async t => {
  const {store, follower, answerAll} = await follow(key => {
    if (key === 'engine-1') throw new RangeError('odd');
  });
  store.end = 2;
  const caughtUp = follower.catchUp();
  await answerAll();
  t.false(await caughtUp);
  const again = follower.catchUp();
  await answerAll();
  t.true(await again);
  follower.stop();
});
