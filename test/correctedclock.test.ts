/**
 * The time of day of a machine jumps by seconds, forward, backward and back
 * again. Usage windows are named by the time of day, so a host that follows a
 * jump counts requests in the wrong window, or freezes one that is still open.
 */
import fc from 'fast-check';
import test from 'ava';

import {
  CorrectedClock,
  ManualClock,
  type Cancel,
  type Clock,
} from '../source/clock/index.js';
import {
  FencedPlatformClient,
  UsageMeter,
  type CallOutcome,
} from '../source/leader/index.js';
import {Metrics} from '../source/metrics/index.js';
import {seededRandom} from '../source/random/index.js';
import {NO_RECORDER} from './support/linkless.js';
import {holds} from './support/fuzz.js';
import {SILENT} from './support/silent.js';
import {UnusedStore} from './support/unusedstore.js';

const WINDOW_MILLISECONDS = 5_000;
const MAX_ERROR_MILLISECONDS = 200;
/** Jump sequences of a test. */
const RUNS = 200;
const START_MILLISECONDS = 1_000_000;

/** The clock of a machine, whose time of day can be set. */
class MachineClock implements Clock {
  readonly time = new ManualClock();
  /** Milliseconds by which the time of day is ahead. */
  ahead = 0;
  /** Milliseconds for which the machine was suspended. */
  suspended = 0;

  constructor() {
    this.time.advance(START_MILLISECONDS);
  }

  now(): Date {
    return new Date(this.trueTime + this.ahead);
  }

  get trueTime(): number {
    return this.time.monotonic() + this.suspended;
  }

  monotonic(): number {
    return this.time.monotonic();
  }

  after(delay: number, callback: () => void): Cancel {
    return this.time.after(delay, callback);
  }

  every(period: number, callback: () => void): Cancel {
    return this.time.every(period, callback);
  }
}

class StubClient extends FencedPlatformClient {
  override async reportUsage(): Promise<CallOutcome> {
    return 'done';
  }

  override async scale(): Promise<CallOutcome> {
    return 'done';
  }
}

function correctedClock(machine: MachineClock): CorrectedClock {
  return new CorrectedClock(machine, () => {});
}

function errorOf(clock: Clock, machine: MachineClock): number {
  return Math.abs(clock.now().getTime() - machine.trueTime);
}

/** A jump of the time of day, for some time, after some time. */
const jumpArbitrary = fc.record({
  by: fc.integer({min: 500, max: 8_000}),
  isForward: fc.boolean(),
  wait: fc.integer({min: 0, max: 9_000}),
  length: fc.integer({min: 0, max: 18_000}),
});

test('a clock does not follow jumps of the time of day that jump back again', t => {
  const jumps = fc.array(jumpArbitrary, {minLength: 1, maxLength: 6});
  holds(
    t,
    fc.property(jumps, plan => {
      const machine = new MachineClock();
      const clock = correctedClock(machine);
      let worst = 0;
      const pass = (duration: number) => {
        for (let passed = 0; passed < duration; passed += 250) {
          machine.time.advance(Math.min(250, duration - passed));
          worst = Math.max(worst, errorOf(clock, machine));
        }
      };
      for (const {by, isForward, wait, length} of plan) {
        pass(wait);
        machine.ahead = isForward ? by : -by;
        pass(length);
        machine.ahead = 0;
        pass(1_000);
      }
      return worst <= MAX_ERROR_MILLISECONDS;
    }),
    RUNS,
  );
});

test('each request is counted in the window in which it began, over jumps of the time of day', t => {
  const jumps = fc.array(jumpArbitrary, {minLength: 1, maxLength: 4});
  holds(
    t,
    fc.property(jumps, plan => {
      const machine = new MachineClock();
      const usage = new UsageMeter({
        incarnation: 'host-1 1',
        hosts: () => [],
        relay: NO_RECORDER,
        window: WINDOW_MILLISECONDS,
        reportDeadline: 2 * WINDOW_MILLISECONDS,
        store: new UnusedStore(),
        client: new StubClient(),
        clock: correctedClock(machine),
        random: seededRandom(20261204),
        logger: SILENT,
        metrics: new Metrics(),
      });
      const truth = new Map<number, number>();
      const count = (duration: number) => {
        for (let passed = 0; passed < duration; passed += 1_000) {
          machine.time.advance(1_000);
          const window = Math.floor(machine.trueTime / WINDOW_MILLISECONDS);
          truth.set(window, (truth.get(window) ?? 0) + 1);
          usage.countRequest('guides');
        }
      };
      for (const {by, isForward, wait, length} of plan) {
        count(wait);
        machine.ahead = isForward ? by : -by;
        count(length);
        machine.ahead = 0;
      }
      return usage
        .unstoredSheets()
        .every(
          ({window, figures}) => figures[0]?.requests === truth.get(window),
        );
    }),
    RUNS,
  );
});

test('a machine that was suspended takes the time of the other hosts', t => {
  const machine = new MachineClock();
  const clock = correctedClock(machine);
  machine.suspended = 4_000;
  t.true(errorOf(clock, machine) > 3_000);
  for (const peer of ['host-2', 'host-3'])
    clock.recordPeerTime(peer, machine.trueTime);
  t.true(errorOf(clock, machine) <= MAX_ERROR_MILLISECONDS);
});

test('a host that starts while its time of day is off takes the time of the others', t => {
  const machine = new MachineClock();
  machine.ahead = -3_500;
  const clock = correctedClock(machine);
  for (const peer of ['host-2', 'host-3', 'host-4'])
    clock.recordPeerTime(peer, machine.trueTime);
  t.true(errorOf(clock, machine) <= MAX_ERROR_MILLISECONDS);
  machine.ahead = 0;
  t.true(errorOf(clock, machine) <= MAX_ERROR_MILLISECONDS);
});

test('times that were held up on the way set no clock back', t => {
  const machine = new MachineClock();
  const clock = correctedClock(machine);
  const peers = ['host-2', 'host-3', 'host-4'];
  for (const peer of peers) clock.recordPeerTime(peer, machine.trueTime);
  const stated = machine.trueTime;
  machine.time.advance(4_000);
  for (const peer of peers) clock.recordPeerTime(peer, stated);
  t.true(errorOf(clock, machine) <= MAX_ERROR_MILLISECONDS);
});

test('one other host alone, and less than half of the hosts, set no clock', t => {
  const machine = new MachineClock();
  const clock = correctedClock(machine);
  clock.recordPeerTime('host-2', machine.trueTime + 5_000);
  t.true(errorOf(clock, machine) <= MAX_ERROR_MILLISECONDS);
  clock.recordPeerTime('host-3', machine.trueTime);
  clock.recordPeerTime('host-4', machine.trueTime);
  t.true(errorOf(clock, machine) <= MAX_ERROR_MILLISECONDS);
});

test('a jump that lasts is followed in the end', t => {
  const machine = new MachineClock();
  const clock = correctedClock(machine);
  machine.ahead = 60_000;
  for (let second = 0; second < 25; second++) {
    clock.now();
    machine.time.advance(1_000);
  }
  t.is(clock.now().getTime(), machine.now().getTime());
});
