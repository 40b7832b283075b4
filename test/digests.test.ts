/**
 * Hosts that compare what they know of a topic. Guards against a host that believes
 * something else than the others for ever, whatever made it.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {Metrics} from '../source/metrics/index.js';
import {seededRandom} from '../source/random/index.js';
import {
  KeyedFollower,
  type KeyedPage,
  type KeyedRecord,
} from '../source/store/index.js';
import {SILENT} from './support/silent.js';
import {UnusedStore} from './support/unusedstore.js';

const TOPIC = 'endpoints';
const INTERVAL_MILLISECONDS = 30_000;

/** A store that leaves the records of some keys out of its first answer. */
class FaultyStore extends UnusedStore {
  reads = 0;

  constructor(
    private readonly all: readonly KeyedRecord[],
    private readonly missing: ReadonlySet<string>,
  ) {
    super();
  }

  override async readNewest(): Promise<KeyedPage> {
    const isFaulty = this.reads++ === 0;
    const records = this.all.filter(
      ({key}) => !isFaulty || !this.missing.has(key),
    );
    return {records, end: this.all.length, era: 1};
  }

  override readKeyed(): Promise<KeyedPage> {
    return new Promise(() => {});
  }
}

const RECORDS = ['config', 'evacuate/palermo'].map((key, offset) => ({
  key,
  value: Buffer.from(key),
  offset,
}));

async function follow(missing: readonly string[], isFed = true) {
  const clock = new ManualClock();
  const store = new FaultyStore(RECORDS, new Set(missing));
  const metrics = new Metrics();
  const keys: string[] = [];
  const follower = new KeyedFollower({
    store,
    topic: TOPIC,
    clock,
    logger: SILENT,
    metrics,
    random: seededRandom(1),
    onChanges: records => keys.push(...records.map(({key}) => key)),
    fed: () => isFed,
    feeds: () => false,
    heard: () => {},
  });
  void follower.run();
  const pass = async (milliseconds: number) => {
    clock.advance(milliseconds);
    for (let turn = 0; turn < 4; turn++)
      await new Promise(resolve => setImmediate(resolve));
  };
  await pass(100);
  return {follower, keys, store, pass};
}

test('a host that differs from another one at the same position reads all records', async t => {
  const right = await follow([]);
  const wrong = await follow(['evacuate/palermo']);
  t.deepEqual(wrong.keys, ['config']);
  const {digest} = right.follower;
  if (!digest) return t.fail('no digest');
  wrong.follower.compare(digest, 'host-1');
  await wrong.pass(300);
  t.deepEqual(wrong.keys, ['config', 'evacuate/palermo']);
  t.deepEqual(wrong.follower.digest, digest);
});

test('a host that stays different reads no more than once in a while', async t => {
  const {follower, store, pass} = await follow([]);
  const {digest} = follower;
  if (!digest) return t.fail('no digest');
  const other = {...digest, digest: 'other'};
  for (let report = 0; report < 10; report++) {
    follower.compare(other, 'host-1');
    await pass(300);
  }
  t.is(store.reads, 2);
  await pass(INTERVAL_MILLISECONDS);
  follower.compare(other, 'host-1');
  await pass(300);
  t.is(store.reads, 3);
});

test('hosts at other positions or eras are not compared', async t => {
  const {follower, store, pass} = await follow([]);
  const {digest} = follower;
  if (!digest) return t.fail('no digest');
  const other = {...digest, digest: 'other'};
  follower.compare({...other, position: digest.position + 1}, 'host-1');
  follower.compare({...other, era: 2}, 'host-1');
  await pass(300);
  t.is(store.reads, 1);
});

test('a host that nobody gives the records of a gap reads the store', async t => {
  const {follower, store, pass} = await follow([]);
  let reads = 0;
  store.readKeyed = () => {
    reads++;
    return new Promise(() => {});
  };
  const record = {key: 'config', value: Buffer.from('9'), offset: 9};
  const part = {records: [record], start: 9, end: 10, era: 1, whole: false};
  follower.applyRecords(part);
  await pass(500);
  t.is(reads, 0);
  await pass(700);
  t.is(reads, 1);
  t.is(follower.position.offset, RECORDS.length);
});
