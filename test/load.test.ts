/** When a process says that its memory is near its limit. */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import type {Fields, Logger} from '../source/logging/index.js';
import {LoadReporter} from '../source/process/index.js';

const SAMPLE_MILLISECONDS = 1_000;

test('a memory near its limit is logged once, and once when it is left again', t => {
  const clock = new ManualClock();
  const lines: Array<[string, Fields]> = [];
  const log = (event: string, fields: Fields = {}) =>
    void lines.push([event, fields]);
  const logger: Logger = {debug: log, info: log, warn: log, error: log};
  let memoryMegabytes = 100;
  const reporter = new LoadReporter({
    clock,
    logger,
    load: () => ({active: 3, queued: 2}),
    memoryLimitMegabytes: 200,
    memory: () => ({memoryMegabytes, heapMegabytes: 50}),
  });
  reporter.start();
  for (memoryMegabytes of [100, 169, 171, 190, 165, 171, 159, 165]) {
    clock.advance(SAMPLE_MILLISECONDS);
  }
  reporter.stop();
  const near = lines.filter(([event]) => event.startsWith('memory'));
  t.deepEqual(
    near.map(([event, fields]) => [event, fields['memoryMegabytes']]),
    [
      ['memory-near-limit', 171],
      ['memory-below-limit', 159],
    ],
  );
  t.like(near[0]?.[1], {memoryLimitMegabytes: 200, active: 3, queued: 2});
});
