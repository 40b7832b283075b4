/** An error in one part of a host is logged and counted, and the part goes on. */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {LeaderElector} from '../source/leader/index.js';
import {Metrics} from '../source/metrics/index.js';
import type {GroupAssignment} from '../source/store/index.js';
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
