/**
 * When an endpoint is asked whether it is still the one that its entry names.
 * Guards against an end that nobody has noticed, and against asking all the time.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import type {KnownEndpoint} from '../source/directory/index.js';
import {IncarnationWatch} from '../source/edge/incarnationwatch.js';
import type {IncarnationState} from '../source/edge/startreports.js';
import {CrashDetector, type EndpointCrash} from '../source/quarantine/index.js';

const ENDPOINT = {
  entry: {id: 'engine-1', address: '10.0.0.1:1', born: 1_000},
} as KnownEndpoint;

function watchOf(states: readonly IncarnationState[]) {
  const clock = new ManualClock();
  const ended: KnownEndpoint[] = [];
  let asked = 0;
  const watch = new IncarnationWatch({
    clock,
    reports: {
      stateOf: () =>
        Promise.resolve(
          states[Math.min(asked++, states.length - 1)] ?? 'unknown',
        ),
    },
    endpointsAt: address =>
      address === ENDPOINT.entry.address ? [ENDPOINT] : [],
    quarantine: {recordEnd: endpoint => ended.push(endpoint)},
  });
  return {clock, watch, ended, asked: () => asked};
}

const settled = () => new Promise(resolve => setImmediate(resolve));

for (const [states, ends] of [
  [['runs'], 0],
  [['refuses'], 1],
  [['replaced'], 1],
  [['unknown', 'unknown'], 0],
  [['unknown', 'refuses'], 1],
] as const) {
  test(`an endpoint that closes idle connections and is ${states.join(', then ')} has ended ${ends} times`, async t => {
    const {clock, watch, ended, asked} = watchOf(states);
    watch.noteIdleClosed('10.0.0.1:1');
    watch.noteIdleClosed('10.0.0.9:1');
    await settled();
    clock.advance(100);
    await settled();
    t.is(ended.length, ends);
    t.is(asked(), states.length);
  });
}

test('an endpoint that closes many idle connections at once is asked once, and later again', async t => {
  const {clock, watch, asked} = watchOf(['runs']);
  for (let connection = 0; connection < 20; connection++)
    watch.noteIdleClosed('10.0.0.1:1');
  await settled();
  t.is(asked(), 1);
  clock.advance(1_000);
  watch.noteIdleClosed('10.0.0.1:1');
  await settled();
  t.is(asked(), 2);
});

for (const hasEnded of [false, true]) {
  test(`an endpoint that cut a request, accepts a connection and then has ${hasEnded ? '' : 'not '}ended is looked at again`, async t => {
    const clock = new ManualClock();
    const crashes: EndpointCrash[] = [];
    const detector = new CrashDetector({
      clock,
      accepts: () => Promise.resolve(true),
      onCrash: crash => crashes.push(crash),
      hasEnded: () => Promise.resolve(hasEnded),
    });
    const traits = {keys: []} as never;
    const request = {request: 'r', traits, sentAt: 0, events: 0};
    await detector.recordCut({endpoint: ENDPOINT, ...request});
    t.is(crashes.length, 0);
    clock.advance(100);
    await settled();
    t.deepEqual(
      crashes.map(({requests}) => requests.length),
      hasEnded ? [1] : [],
    );
  });
}

test('an endpoint that cuts many requests, one after the other, and lives is asked once for all of them', async t => {
  const clock = new ManualClock();
  let asked = 0;
  const detector = new CrashDetector({
    clock,
    accepts: () => Promise.resolve(true),
    onCrash: () => t.fail('it lives'),
    hasEnded: () => {
      asked++;
      return Promise.resolve(false);
    },
  });
  const traits = {keys: []} as never;
  const request = {request: 'r', traits, sentAt: 0, events: 0};
  for (let count = 0; count < 30; count++)
    await detector.recordCut({endpoint: ENDPOINT, ...request});
  clock.advance(100);
  await settled();
  t.is(asked, 1);
});

test('an endpoint that was found to have ended is reported once', t => {
  const ends: string[] = [];
  const detector = new CrashDetector({
    clock: new ManualClock(),
    accepts: () => Promise.resolve(false),
    onCrash: ({endpoint}) => ends.push(endpoint),
  });
  detector.recordEnd(ENDPOINT);
  detector.recordEnd(ENDPOINT);
  t.is(ends.length, 1);
});
