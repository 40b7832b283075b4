/** What a host that stops soon still passes on. */
import test from 'ava';

import {StopSchedule} from '../source/forward/stopschedule.js';
import {ROUTE} from './support/forwarding.js';

const READ = {...ROUTE, name: 'read', repeatable: true, target: 100};
const RECORD = {...ROUTE, name: 'record', target: 100};
const STOP = 10_000;
const LONG = 60_000;

test('until it is told to stop, a host passes on everything', t => {
  const schedule = new StopSchedule();
  t.true(schedule.allows({route: RECORD, timeLeft: LONG}, STOP * 2));
});

test('a request is passed on for as long as the longest of its route lately took', t => {
  const schedule = new StopSchedule();
  for (const duration of [300, 900, 200])
    schedule.recordDuration(READ, duration);
  schedule.announce(STOP);
  t.true(schedule.allows({route: READ, timeLeft: LONG}, STOP - 900));
  t.false(schedule.allows({route: READ, timeLeft: LONG}, STOP - 899));
  t.true(schedule.allows({route: READ, timeLeft: 50}, STOP - 50));
  for (let number = 0; number < 32; number++)
    schedule.recordDuration(READ, 100);
  t.true(schedule.allows({route: READ, timeLeft: LONG}, STOP - 100));
});

test('a request that may run only once gets twice the time, and the target of its route where none ran', t => {
  const schedule = new StopSchedule();
  schedule.announce(STOP);
  t.true(schedule.allows({route: READ, timeLeft: LONG}, STOP - 100));
  t.true(schedule.allows({route: RECORD, timeLeft: LONG}, STOP - 200));
  t.false(schedule.allows({route: RECORD, timeLeft: LONG}, STOP - 199));
});
