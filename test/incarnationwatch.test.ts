/**
 * When an endpoint is asked whether it is still the one that its entry names.
 * Guards against an end that nobody has noticed, and against asking all the time.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import type {KnownEndpoint} from '../source/directory/index.js';
import {IncarnationWatch} from '../source/edge/incarnationwatch.js';
import type {IncarnationState} from '../source/edge/startreports.js';
import {CrashDetector} from '../source/quarantine/index.js';

const ENDPOINT = {
  entry: {id: 'engine-1', address: '10.0.0.1:1', born: 1_000},
} as KnownEndpoint;

function watchOf(state: IncarnationState) {
  const clock = new ManualClock();
  const ended: KnownEndpoint[] = [];
  let asked = 0;
  const watch = new IncarnationWatch({
    clock,
    reports: {
      stateOf: () => {
        asked++;
        return Promise.resolve(state);
      },
    },
    endpointsAt: address =>
      address === ENDPOINT.entry.address ? [ENDPOINT] : [],
    quarantine: {recordEnd: endpoint => ended.push(endpoint)},
  });
  return {clock, watch, ended, asked: () => asked};
}

const settled = () => new Promise(resolve => setImmediate(resolve));

for (const [state, ends] of [
  ['runs', 0],
  ['unknown', 0],
  ['refuses', 1],
  ['replaced', 1],
] as const) {
  test(`an endpoint that closes idle connections and is then ${state} has ended ${ends} times`, async t => {
    const {watch, ended} = watchOf(state);
    watch.noteIdleClosed('10.0.0.1:1');
    watch.noteIdleClosed('10.0.0.9:1');
    await settled();
    t.is(ended.length, ends);
  });
}

test('an endpoint that closes many idle connections at once is asked once, and later again', async t => {
  const {clock, watch, asked} = watchOf('runs');
  for (let connection = 0; connection < 20; connection++)
    watch.noteIdleClosed('10.0.0.1:1');
  await settled();
  t.is(asked(), 1);
  clock.advance(1_000);
  watch.noteIdleClosed('10.0.0.1:1');
  await settled();
  t.is(asked(), 2);
});

test('an endpoint that cut a request and accepts connections is looked at', async t => {
  const alive: KnownEndpoint[] = [];
  const detector = new CrashDetector({
    clock: new ManualClock(),
    accepts: () => Promise.resolve(true),
    onCrash: () => t.fail('it has not crashed'),
    onAlive: endpoint => alive.push(endpoint),
  });
  const traits = {keys: []} as never;
  const cut = {endpoint: ENDPOINT, request: 'r', traits, sentAt: 0, events: 0};
  await detector.recordCut(cut);
  t.deepEqual(alive, [ENDPOINT]);
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
