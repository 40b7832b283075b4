/** An error in one part of a host is logged and counted, and the part goes on. */
import test from 'ava';

import {ManualClock, SystemClock} from '../source/clock/index.js';
import {LeaderElector} from '../source/leader/index.js';
import {Metrics} from '../source/metrics/index.js';
import {seededRandom} from '../source/random/index.js';
import {
  KeyedFollower,
  type GroupAssignment,
  type KeyedPage,
} from '../source/store/index.js';
import {until} from './support/edgeprocess.js';
import {SILENT} from './support/silent.js';
import {UnusedStore} from './support/unusedstore.js';

/** A store that makes each member the leader. */
class LeadingStore extends UnusedStore {
  override async join(): Promise<GroupAssignment> {
    return {generation: 1, partitions: [0]};
  }
}

test('a leader task that throws ends neither the host nor the other tasks', async t => {
  const clock = new ManualClock();
  const metrics = new Metrics();
  let runs = 0;
  const elector = new LeaderElector({
    name: 'host-1',
    member: 'host-1 1',
    lease: 1_000,
    store: new LeadingStore(),
    clock,
    logger: SILENT,
    metrics,
    tasks: [
      () => Promise.reject(new RangeError('odd')),
      async () => {
        runs++;
      },
    ],
    isCandidate: () => true,
    heard: () => {},
  });
  elector.start();
  for (let second = 0; second < 5; second++) {
    for (let turn = 0; turn < 20; turn++) await Promise.resolve();
    clock.advance(1_000);
  }
  await elector.leave();
  t.true(runs >= 2);
  t.true(metrics.value('duty-failed', {reason: 'RangeError'}) >= 2);
});

/** A store to whose topic one record is added with each read. */
class GrowingStore extends UnusedStore {
  private end = 1;

  override async readNewest(): Promise<KeyedPage> {
    return {records: [this.recordAt(0)], end: 1};
  }

  override async readKeyed(): Promise<KeyedPage> {
    const record = this.recordAt(this.end);
    this.end++;
    return {records: [record], end: this.end};
  }

  private recordAt(offset: number) {
    return {key: 'config', value: Buffer.from('{}'), offset};
  }
}

test('a topic is followed on after a record that the host cannot take', async t => {
  const metrics = new Metrics();
  const taken: number[] = [];
  const follower = new KeyedFollower({
    store: new GrowingStore(),
    topic: 'keyed.op',
    clock: new SystemClock(),
    logger: SILENT,
    metrics,
    random: seededRandom(20261204),
    onChanges: ([record]) => {
      if (record?.offset === 1) throw new RangeError('odd');
      taken.push(record?.offset ?? -1);
    },
    fed: () => false,
    feeds: () => false,
    heard: () => {},
  });
  const ended = follower.run();
  await Promise.race([ended, until(() => taken.length >= 2)]);
  follower.stop();
  await ended;
  t.deepEqual(taken.slice(0, 2), [0, 2]);
  const tags = {topic: 'keyed.op', reason: 'RangeError'};
  t.is(metrics.value('records-not-taken', tags), 1);
});
