/**
 * What hosts tell each other of the rates of endpoints: a host that has just
 * started learns from the others, and pulses grow by a tenth at most.
 */
import test from 'ava';

import {
  DemandTracker,
  estimateEngineMilliseconds,
  estimatePrefillMilliseconds,
  type Prompt,
} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import {RatesNotices} from '../source/edge/ratesnotices.js';
import {
  createPulse,
  pulseSchema,
  rateReportBytes,
  type OwnState,
} from '../source/gossip/index.js';
import type {Fields} from '../source/logging/index.js';
import {Metrics} from '../source/metrics/index.js';
import {encodeFrame} from '../source/peers/frame.js';
import {ServiceRates, type RateReport} from '../source/servicerates/index.js';
import {isNear, RateScene, SERVICE, SLOTS} from './support/ratescene.js';

const ENGINES = Array.from({length: 63}, (_, index) => `i-a43bfb95${index}`);

/** All reports that a host would make in so many pulses. */
function reportsOf(scene: RateScene, pulses: number): RateReport[] {
  const reports = Array.from({length: pulses}, () =>
    scene.rates.takeReports(40, scene.now),
  );
  return reports.flat();
}

test('a host that has just started learns rates and their use from the others', t => {
  const scene = new RateScene('a', 'b', 'c');
  for (let count = 0; count < 15; count++) {
    scene.stream('a');
    scene.stream('b', {slowness: 2.5, stated: 1});
    scene.plain('c');
  }
  const rates = new ServiceRates();
  const entry = {service: SERVICE};
  const directory = new Map(['a', 'b', 'c'].map(id => [id, {entry}]));
  rates.setDirectory(directory, []);
  rates.addReports(reportsOf(scene, 10), 0);
  t.true(rates.isInUse(SERVICE));
  const one = rates.rateOf('a', 0);
  const other = rates.rateOf('b', 0);
  t.true(one.certainty > 0);
  t.true(isNear(one.prefillTokensPerMillisecond, 90, 0.25));
  t.true(isNear(one.millisecondsPerToken, 4, 0.25));
  const ratio = other.millisecondsPerToken / one.millisecondsPerToken;
  t.true(ratio > 1.7 && ratio < 2.8, String(ratio));
  t.true(isNear(rates.rateOf('c', 0).plainMilliseconds, 43, 0.3));
});

// Guards against hosts that confirm to each other what nobody measures any more.
test('a host reports only what it has learned itself', t => {
  const scene = new RateScene('a');
  for (let count = 0; count < 15; count++) scene.stream('a');
  const other = new RateScene('a');
  other.rates.addReports(reportsOf(scene, 5), 0);
  t.deepEqual(reportsOf(other, 20), []);
  // Without new samples there is nothing new to report.
  t.deepEqual(reportsOf(scene, 20), []);
});

test('reports do not keep the use alive that the endpoints have ended', t => {
  const scene = new RateScene('a');
  for (let count = 0; count < 15; count++) scene.stream('a');
  const reports = reportsOf(scene, 5);
  const load = {running: 1, waiting: 0, slots: SLOTS};
  for (let count = 0; count < 8; count++)
    scene.rates.recordLoad('a', load, scene.now);
  t.false(scene.rates.isInUse(SERVICE));
  scene.rates.addReports(reports, scene.now);
  t.false(scene.rates.isInUse(SERVICE));
});

test('all endpoints are reported in turn', t => {
  const scene = new RateScene(...ENGINES);
  const seen = new Set<string>();
  for (let round = 0; round < 80; round++) {
    for (const id of ENGINES) scene.stream(id);
    for (const [id] of reportsOf(scene, 1)) seen.add(id);
  }
  t.is(seen.size, ENGINES.length);
});

/** What a host reports beside rates, with so many engines in use. */
function stateOf(engines: number): OwnState {
  const ids = ENGINES.slice(0, engines);
  return {
    leaving: false,
    positions: [{topic: 'keyed.endpoints', position: 45_321, era: 1}],
    uses: ids.map(id => ({id, requests: 2, reading: 31})),
    work: engines > 0 ? [{service: SERVICE, large: 812, small: 93}] : [],
    unreachable: [],
    kept: ids.slice(0, 3).map(endpoint => ({part: '5c1e07a2', endpoint})),
    blocked: [],
    limits: [],
    certainUsage: undefined,
  };
}

for (const engines of [0, 1, 8, 40])
  test(`rates add a tenth at most to the bytes of pulses beside loads of ${engines} engines`, t => {
    const scene = new RateScene(...ENGINES);
    const state = stateOf(engines);
    const self = {
      name: 'host-17',
      started: 1_800_000_000_000,
      address: '10.2.64.31:8389',
      zone: 'palermo',
    };
    let before = 0;
    let after = 0;
    let reported = 0;
    for (let sequence = 2; sequence < 200; sequence++) {
      for (let count = 0; count < 6; count++)
        scene.stream(ENGINES[(sequence * 6 + count) % ENGINES.length] ?? '');
      const head = {
        self,
        sequence,
        heard: sequence,
        period: 2_440,
        time: 1_800_000_100_000,
        uptime: 100_000,
        isConfirmed: true,
        reachableHosts: () => [],
      };
      const rates = scene.rates.takeReports(rateReportBytes(state), scene.now);
      before += encodeFrame(createPulse(state, head)).length;
      after += encodeFrame(createPulse({...state, rates}, head)).length;
      reported += rates.length;
      t.notThrows(() =>
        pulseSchema.parse(createPulse({...state, rates}, head)),
      );
    }
    t.true(reported > 40, String(reported));
    t.true(after <= before * 1.1, `${before} ${after}`);
  });

// Guards against a pulse, and with it a host, that is lost for a wrong rate.
test('rates that are malformed or missing do not lose the rest of a pulse', t => {
  const self = {name: 'h', started: 1, address: '10.2.64.31:8389', zone: 'z'};
  const head = {
    self,
    sequence: 2,
    heard: 1,
    period: 200,
    time: 1,
    uptime: 100_000,
    isConfirmed: true,
    reachableHosts: () => [],
  };
  const pulse = createPulse(stateOf(1), head);
  t.false('rates' in pulse);
  t.is(pulseSchema.parse(pulse).rates, undefined);
  const odd = [
    'text',
    [['a', -1, 0, 0, 0, 0]],
    [['a', 1e300, 0, 0, 0, 0]],
    [['a', NaN, 0, 0, 0, 0]],
    [['a', 1]],
    Array.from({length: 5_000}, () => ['a', 1, 1, 1, 1, 1]),
  ];
  for (const rates of odd)
    t.deepEqual(pulseSchema.parse({...pulse, rates}).rates, []);
});

const PROMPT: Prompt = {
  model: 'm',
  parts: [
    {id: 'style', tokens: 198},
    {id: 'own', tokens: 628},
  ],
  tokens: 826,
  output: 288,
};

test('demand is estimated at the typical rate of a service that states work factors, elsewhere as before', t => {
  const clock = new ManualClock();
  const scene = new RateScene('a', 'b', 'c');
  for (let count = 0; count < 15; count++)
    for (const id of ['a', 'b', 'c']) scene.stream(id, {slowness: 2});
  const plain = new DemandTracker(clock);
  const rated = new DemandTracker(clock, scene.rates);
  for (const tracker of [plain, rated]) {
    tracker.recordArrival(SERVICE, PROMPT, SLOTS);
    tracker.recordArrival('other', PROMPT, SLOTS);
  }
  t.deepEqual(rated.ownDemand('other'), plain.ownDemand('other'));
  const rate = scene.rates.typicalRate(SERVICE, scene.now);
  if (!rate) return t.fail('not in use');
  const expected = estimateEngineMilliseconds(PROMPT, SLOTS, 1, rate);
  const step = 8 / (SLOTS * 0.6);
  const right = 826 / 45 + PROMPT.output * step;
  t.true(isNear(expected, right, 0.15), `${expected} ${right}`);
  const ratio = rated.ownDemand(SERVICE).small / plain.ownDemand(SERVICE).small;
  const assumed = estimateEngineMilliseconds(PROMPT, SLOTS, 1);
  t.true(isNear(ratio, expected / assumed, 0.05));
  t.is(estimatePrefillMilliseconds(500), 10);
  t.true(isNear(estimatePrefillMilliseconds(450, rate), 10, 0.15));
});

test('operators see the typical rates, what is stated, and malformed loads', t => {
  const lines: Array<readonly [event: string, fields: Fields | undefined]> = [];
  const log = (event: string, fields?: Fields) => lines.push([event, fields]);
  const logger = {debug: log, info: log, warn: log, error: log};
  const metrics = new Metrics();
  const clock = new ManualClock();
  const notices = new RatesNotices({
    logger,
    metrics,
    clock,
    rates: () => rates,
  });
  const rates = new ServiceRates(change => notices.handle(change));
  const entry = {service: SERVICE};
  rates.setDirectory(new Map([['a', {entry}]]), []);
  const load = {running: 1, waiting: 0, slots: SLOTS};
  for (const workFactor of [1, 1])
    rates.recordLoad('a', {...load, workFactor}, 0);
  for (let count = 0; count < 8; count++) rates.recordLoad('a', load, 0);
  rates.recordLoad('a', {...load, workFactor: 1}, 0);
  for (let count = 0; count < 3; count++)
    rates.recordMalformed('a', '9'.repeat(500));
  t.deepEqual(
    lines.map(([event]) => event),
    [
      'work-factors-stated',
      'work-factors-ended',
      'work-factors-stated',
      'load-malformed',
    ],
  );
  t.is(String(lines.at(-1)?.[1]?.['text']).length, 80);
  t.is(metrics.value('load-malformed'), 3);
  const {gauges} = metrics.snapshot();
  const gaugeOf = (name: string) =>
    gauges.filter(gauge => gauge.name === name).map(({value}) => value);
  t.deepEqual(gaugeOf('work-factor-endpoints'), [1]);
  t.deepEqual(gaugeOf('work-factor-statements'), [3]);
  t.deepEqual(gaugeOf('rate-plain-milliseconds'), [20]);
});
