/**
 * Where prompts go, played against a model of the engines: prompts are read one
 * after another, and what an engine reads delays the answers that it runs. The
 * load is that of the heaviest days; what counts is when callers get their
 * first event, and how long answers stand still.
 */
import test from 'ava';

import {
  EndpointBook,
  type Place,
  type Prompt,
} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import type {Directory} from '../source/directory/index.js';
import {seededRandom, type Random} from '../source/random/index.js';

const SERVICE = {
  name: 'drafting',
  healthPath: '/health',
  coldRate: 0,
  engine: {slots: 64, memory: 349_373},
};
/** Tokens that an engine reads in a millisecond. */
const READ_TOKENS = 56.9;
const PULSE = 200;
const SEED = 20261204;

interface Engine {
  /** Milliseconds at which all that it was given is read. */
  busyUntil: number;
  readonly kept: Set<string>;
  /** Reading of the last 300 ms, for the answers that it runs. */
  readings: Array<{at: number; duration: number}>;
  running: number;
}

interface Host {
  readonly book: EndpointBook;
}

interface Outcome {
  /** Milliseconds to the first event. */
  readonly large: number[];
  readonly small: number[];
  /** Small answers that ran beside reading that was longer than their pause. */
  stalled: number;
}

type Choice = (host: Host, prompt: Prompt) => Place | undefined;

function directoryOf(count: number): Directory {
  const ids = Array.from({length: count}, (_, index) => `engine-${index}`);
  return new Map(
    ids.map(id => [
      id,
      {
        entry: {
          id,
          service: SERVICE.name,
          address: '127.0.0.1:1',
          zone: 'palermo',
          slots: SERVICE.engine.slots,
          leaving: false,
          coldFor: 0,
          born: 1,
          reclaimable: false,
        },
        knownAt: 0,
        coldUntil: -Infinity,
        lapsesAt: undefined,
      },
    ]),
  );
}

function promptOf(random: Random, large: boolean, serial: number): Prompt {
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

/** Plays 12 s of a burst over six hosts. */
function play(engineCount: number, choose: Choice): Outcome {
  const clock = new ManualClock();
  const random = seededRandom(SEED);
  const directory = directoryOf(engineCount);
  const engines = new Map<string, Engine>(
    [...directory.keys()].map(id => [
      id,
      {busyUntil: 0, kept: new Set<string>(), readings: [], running: 0},
    ]),
  );
  const hosts = Array.from({length: 6}, (_, index) => {
    const book = new EndpointBook({
      host: `host-${index}`,
      zone: 'palermo',
      clock,
      regions: {},
    });
    book.setServices(new Map([[SERVICE.name, SERVICE]]));
    book.setDirectory(directory);
    return {book};
  });
  const outcome: Outcome = {large: [], small: [], stalled: 0};
  clock.every(PULSE, () => {
    for (const host of hosts) pulse(host, hosts, clock.monotonic());
  });
  let serial = 0;
  const arrive = (large: boolean) => {
    const host = hosts[Math.floor(random.next() * hosts.length)];
    if (!host) return;
    const prompt = promptOf(random, large, serial++);
    host.book.arrived(SERVICE.name, prompt);
    const place = choose(host, prompt);
    const engine = place && engines.get(place.endpoint.entry.id);
    if (place && engine) read(clock, engine, place, prompt, large, outcome);
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

function pulse(host: Host, hosts: readonly Host[], now: number): void {
  const others = hosts.filter(other => other !== host);
  host.book.setOthers(
    others.flatMap(({book}) => book.uses()),
    others.flatMap(({book}) => book.ownWork()),
  );
  for (const {book} of others) {
    host.book.kept.told(book.kept.since(now - PULSE), now);
  }
}

function read(
  clock: ManualClock,
  engine: Engine,
  place: Place,
  prompt: Prompt,
  large: boolean,
  outcome: Outcome,
): void {
  const now = clock.monotonic();
  const unread = prompt.parts.filter(({id}) => !engine.kept.has(id));
  const tokens = unread.reduce((sum, part) => sum + part.tokens, 0);
  const duration = tokens / READ_TOKENS;
  engine.busyUntil = Math.max(engine.busyUntil, now) + duration;
  for (const {id} of unread) engine.kept.add(id);
  engine.readings = engine.readings.filter(({at}) => now - at < 300);
  engine.readings.push({at: now, duration});
  const beside = engine.readings.reduce((sum, each) => sum + each.duration, 0);
  // Answers stand still while most of the time goes into reading.
  if (beside > 290) outcome.stalled += engine.running;
  const wait = engine.busyUntil - now;
  clock.after(wait, () => {
    place.answered(undefined);
    (large ? outcome.large : outcome.small).push(wait);
    if (!large) engine.running++;
  });
  clock.after(wait + (large ? 250 : 1_500), () => {
    place.release();
    if (!large) engine.running--;
  });
}

function share(waits: readonly number[], most: number): number {
  return waits.filter(wait => wait <= most).length / waits.length;
}

const ours: Choice = ({book}, prompt) =>
  book.take({service: SERVICE.name, prompt, failedAt: new Set()});

/** Each host in turn, as a plain balancer would. */
function roundRobin(): Choice {
  let next = 0;
  return ({book}, prompt) => {
    const others = new Set<string>();
    const chosen = `engine-${next++ % 7}`;
    for (let index = 0; index < 7; index++) {
      if (`engine-${index}` !== chosen) others.add(`engine-${index}`);
    }
    return book.take({service: SERVICE.name, prompt, failedAt: others});
  };
}

test('in a burst nearly all get their first event in time', t => {
  const {large, small} = play(7, ours);
  t.log(`seed ${SEED}: ${large.length} large, ${small.length} small`);
  t.true(share(large, 600) >= 0.97, String(share(large, 600)));
  t.true(share(small, 300) >= 0.99, String(share(small, 300)));
});

test('large prompts hold up few running answers, and fewer than in turn', t => {
  const chosen = play(7, ours);
  const inTurn = play(7, roundRobin());
  t.log(`stalled ${chosen.stalled}, in turn ${inTurn.stalled}`);
  t.true(chosen.stalled * 5 < inTurn.stalled);
});

test('with one engine left, both sizes are still served by it', t => {
  const {large, small} = play(1, ours);
  t.true(large.length > 0);
  t.true(small.length > 0);
});
