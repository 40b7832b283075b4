/**
 * Selects engines for prompts in a simulation, with the load of the busiest
 * days. A simulated engine prefills one prompt after another, and its prefill
 * delays the responses that it runs. Guards against late first events, and
 * against responses that stall because large prompts are prefilled beside them.
 */
import test from 'ava';

import {
  EndpointSelector,
  type Reservation,
  type Prompt,
} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import {seededRandom, type RandomSource} from '../source/random/index.js';
import {directoryOfEngines} from './support/directories.js';

const SERVICE = {
  name: 'drafting',
  healthPath: '/health',
  coldRate: 0,
  engine: {slots: 64, memory: 349_373},
};
/** Tokens that an engine prefills in a millisecond. */
const PREFILL_TOKENS_PER_MILLISECOND = 56.9;
const REPORT_PERIOD_MILLISECONDS = 200;
const SEED = 20261204;

interface Engine {
  /** Monotonic milliseconds at which it has prefilled all that it was sent. */
  busyUntil: number;
  readonly cached: Set<string>;
  /**
   * The prefills of the last 300 ms, which delay the responses that it runs.
   */
  prefills: Array<{at: number; duration: number}>;
  running: number;
}

interface Host {
  readonly selector: EndpointSelector;
}

interface Outcome {
  /** Milliseconds to the first event. */
  readonly large: number[];
  readonly small: number[];
  /**
   * Small responses that ran beside more prefill than their pause target
   * allows.
   */
  stalled: number;
}

type Select = (host: Host, prompt: Prompt) => Reservation | undefined;

function promptOf(
  random: RandomSource,
  large: boolean,
  serial: number,
): Prompt {
  const own = {id: `own-${serial}`, tokens: large ? 2_890 : 628};
  const subject = Math.floor(random.next() * (large ? 147 : 123));
  const shared = large
    ? [
        {id: `base-${subject % 4}`, tokens: 2_520},
        {id: `glossary-${subject}`, tokens: 3_780},
      ]
    : [{id: `style-${subject % 8}`, tokens: 198}];
  const parts = [...shared, own];
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
  return {model: 'm', parts, tokens, output: large ? 50 : 290};
}

/** Simulates a burst of 12 s on six hosts. */
function simulate(engineCount: number, select: Select): Outcome {
  const clock = new ManualClock();
  const random = seededRandom(SEED);
  const directory = directoryOfEngines(engineCount, SERVICE);
  const engines = new Map<string, Engine>(
    [...directory.keys()].map(id => [
      id,
      {busyUntil: 0, cached: new Set<string>(), prefills: [], running: 0},
    ]),
  );
  const hosts = Array.from({length: 6}, (_, index) => {
    const selector = new EndpointSelector({
      host: `host-${index}`,
      zone: 'palermo',
      clock,
      regions: {},
    });
    selector.setServices(new Map([[SERVICE.name, SERVICE]]));
    selector.setDirectory(directory);
    return {selector};
  });
  const outcome: Outcome = {large: [], small: [], stalled: 0};
  clock.every(REPORT_PERIOD_MILLISECONDS, () => {
    for (const host of hosts) exchangeReports(host, hosts, clock.monotonic());
  });
  let serial = 0;
  const arrive = (large: boolean) => {
    const host = hosts[Math.floor(random.next() * hosts.length)];
    if (!host) return;
    const prompt = promptOf(random, large, serial++);
    host.selector.recordArrival(SERVICE.name, prompt);
    const reservation = select(host, prompt);
    const engine = reservation && engines.get(reservation.endpoint.entry.id);
    if (reservation && engine)
      prefill(clock, engine, reservation, prompt, large, outcome);
  };
  for (let at = 0; at < 12_000; at += 10) {
    clock.after(at, () => {
      if (random.next() < 0.21) arrive(true);
      if (random.next() < 0.18) arrive(false);
    });
  }
  clock.advance(16_000);
  return outcome;
}

function exchangeReports(
  host: Host,
  hosts: readonly Host[],
  now: number,
): void {
  const others = hosts.filter(other => other !== host);
  host.selector.setHostReports(
    others.flatMap(({selector}) => selector.loadReports()),
    others.flatMap(({selector}) => selector.ownDemands()),
  );
  for (const {selector} of others) {
    host.selector.prefixCache.addReports(
      selector.prefixCache.prefillsSince(now - REPORT_PERIOD_MILLISECONDS),
      now,
    );
  }
}

function prefill(
  clock: ManualClock,
  engine: Engine,
  reservation: Reservation,
  prompt: Prompt,
  large: boolean,
  outcome: Outcome,
): void {
  const now = clock.monotonic();
  const uncached = prompt.parts.filter(({id}) => !engine.cached.has(id));
  const tokens = uncached.reduce((sum, part) => sum + part.tokens, 0);
  const duration = tokens / PREFILL_TOKENS_PER_MILLISECOND;
  engine.busyUntil = Math.max(engine.busyUntil, now) + duration;
  for (const {id} of uncached) engine.cached.add(id);
  engine.prefills = engine.prefills.filter(({at}) => now - at < 300);
  engine.prefills.push({at: now, duration});
  const recentPrefill = engine.prefills.reduce(
    (sum, each) => sum + each.duration,
    0,
  );
  // Responses stall while most of the engine's time goes into prefill.
  if (recentPrefill > 290) outcome.stalled += engine.running;
  const wait = engine.busyUntil - now;
  clock.after(wait, () => {
    reservation.answered(undefined);
    (large ? outcome.large : outcome.small).push(wait);
    if (!large) engine.running++;
  });
  clock.after(wait + (large ? 250 : 1_500), () => {
    reservation.release();
    if (!large) engine.running--;
  });
}

function shareWithin(waits: readonly number[], limit: number): number {
  return waits.filter(wait => wait <= limit).length / waits.length;
}

const selectAsHost: Select = ({selector}, prompt) =>
  selector.reserve({
    service: SERVICE.name,
    prompt,
    tier: 0,
    failedEndpoints: new Set(),
  });

/** Each engine in turn, as a plain load balancer does. */
function roundRobin(): Select {
  let next = 0;
  return ({selector}, prompt) => {
    const others = new Set<string>();
    const chosen = `engine-${next++ % 7}`;
    for (let index = 0; index < 7; index++) {
      if (`engine-${index}` !== chosen) others.add(`engine-${index}`);
    }
    return selector.reserve({
      service: SERVICE.name,
      prompt,
      tier: 0,
      failedEndpoints: others,
    });
  };
}

test('in a burst nearly all requests get their first event in time', t => {
  const {large, small} = simulate(7, selectAsHost);
  t.log(`seed ${SEED}: ${large.length} large, ${small.length} small`);
  t.true(shareWithin(large, 600) >= 0.97, String(shareWithin(large, 600)));
  t.true(shareWithin(small, 300) >= 0.99, String(shareWithin(small, 300)));
});

test('large prompts stall few running responses, and far fewer than with round robin', t => {
  const selected = simulate(7, selectAsHost);
  const inTurn = simulate(7, roundRobin());
  t.log(`stalled ${selected.stalled}, in turn ${inTurn.stalled}`);
  t.true(selected.stalled * 5 < inTurn.stalled);
});

test('a single engine serves both large and small prompts', t => {
  const {large, small} = simulate(1, selectAsHost);
  t.true(large.length > 0);
  t.true(small.length > 0);
});
