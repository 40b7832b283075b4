/**
 * One holder of the duties at a time (invariants 6 and 7), whatever the store
 * does with its partitions: it deals them anew without asking, its answers are
 * late or lost, and hosts stand still. Calls go out under a term and reach the
 * platform up to a flight later.
 */
import test from 'ava';
import fc from 'fast-check';

import {afterJoin, mayAct, NO_TERM, type Term} from '../source/duty/index.js';
import {step, steps, type Step} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const TIMES = {timeToLive: 3_000, flight: 600, lease: 3_000};
const HOSTS = ['one', 'two', 'three'];
const LEASE = TIMES.lease;

type Join = typeof afterJoin;

interface Asked {
  readonly host: string;
  readonly askedAt: number;
  readonly generation: number;
  readonly partitions: readonly number[];
}

/** The store's group, the hosts in it, and the platform that is called. */
class World {
  private now = 0;
  private generation = 1;
  private owner = 'one';
  private readonly lastJoin = new Map<string, number>();
  private readonly terms = new Map<string, Term>();
  private answers: Asked[] = [];
  private readonly calls: Array<{host: string; at: number}> = [];
  private highestFence = 0;
  acted = 0;
  problem = '';

  constructor(private readonly join: Join) {}

  pass(duration: number): void {
    this.now += duration;
    const last = this.lastJoin.get(this.owner) ?? -Infinity;
    if (this.now - last > TIMES.timeToLive) this.dealTo(this.nextMember());
  }

  /** A host asks; the store carries it out now and answers when it is read. */
  ask(host: string): void {
    this.lastJoin.set(host, this.now);
    const partitions = host === this.owner ? [0] : [1];
    const {generation, now: askedAt} = this;
    this.answers.push({host, askedAt, generation, partitions});
  }

  /** An answer arrives, or is lost. */
  hear(lost: boolean): void {
    const asked = this.answers.shift();
    if (!asked || lost) return;
    const {host, askedAt, generation, partitions} = asked;
    const before = this.terms.get(host) ?? NO_TERM;
    const joined = {generation, partitions};
    const confirmation = {joined, askedAt, now: this.now};
    this.terms.set(host, this.join(before, confirmation, TIMES));
  }

  /** The store deals the partitions anew, without asking. */
  rebalance(): void {
    this.dealTo(this.nextMember());
  }

  act(host: string, flight: number): void {
    const term = this.terms.get(host) ?? NO_TERM;
    if (!mayAct(term, this.now)) return;
    this.acted++;
    this.arrive(host, term.fence, this.now + flight);
  }

  /** A host asks in time, again and again, and hears each answer. */
  stay(host: string, rounds: number): void {
    for (let round = 0; round < rounds; round++) {
      this.pass(900);
      this.ask(host);
      while (this.answers.length > 0) this.hear(false);
    }
  }

  check(): void {}

  private arrive(host: string, fence: number, at: number): void {
    if (fence < this.highestFence) this.problem = `fence ${fence} is older`;
    this.highestFence = Math.max(this.highestFence, fence);
    const before = this.calls.filter(call => call.host !== host);
    const other = before[before.length - 1];
    const own = this.calls.findLast(call => call.host === host);
    const between = other && own && own.at < other.at;
    if (between && at - own.at < LEASE) {
      this.problem = `${host}, ${other.host}, ${host} within the lease`;
    }
    this.calls.push({host, at});
  }

  private nextMember(): string {
    const index = HOSTS.indexOf(this.owner);
    return HOSTS[(index + 1) % HOSTS.length] ?? 'one';
  }

  private dealTo(host: string): void {
    this.generation++;
    this.owner = host;
    this.lastJoin.set(host, this.now);
  }
}

const host = fc.constantFrom(...HOSTS);
const kinds: Array<fc.Arbitrary<Step<World>>> = [
  fc
    .integer({min: 50, max: 1_500})
    .map(duration => step(`pass ${duration}`, world => world.pass(duration))),
  host.map(name => step(`ask ${name}`, world => world.ask(name))),
  host.map(name => step(`ask ${name}`, world => world.ask(name))),
  fc.boolean().map(lost => step(`hear ${lost}`, world => world.hear(lost))),
  fc.constant(step('hear', world => world.hear(false))),
  fc
    .tuple(host, fc.integer({min: 1, max: 6}))
    .map(([name, rounds]) =>
      step(`stay ${name} ${rounds}`, world => world.stay(name, rounds)),
    ),
  fc.constant(step('rebalance', world => world.rebalance())),
  fc
    .tuple(host, fc.integer({min: 0, max: TIMES.flight - 1}))
    .map(([name, flight]) =>
      step(`act ${name} ${flight}`, world => world.act(name, flight)),
    ),
];

let acted = 0;

function property(join: Join) {
  return fc.property(steps(kinds, 120), commands => {
    const world = new World(join);
    fc.modelRun(() => ({model: {}, real: world}), commands);
    acted += world.acted;
    return world.problem === '';
  });
}

test('fences never go back, and the duties never go back and forth', t => {
  holds(t, property(afterJoin), 6_000);
  t.true(acted > 100, 'hosts hold the duties in these runs');
});

test('the check notices a new holder that does not wait', t => {
  isSeenToFail(
    t,
    property((before, confirmation, times) => {
      const term = afterJoin(before, confirmation, times);
      return term.fence > 0 ? {...term, from: confirmation.now} : term;
    }),
    6_000,
  );
});

test('the check notices a holder whose time counts from the answer', t => {
  isSeenToFail(
    t,
    property((before, confirmation, times) => {
      const term = afterJoin(before, confirmation, times);
      const until = confirmation.now + 3 * times.timeToLive;
      return term.fence > 0 ? {...term, until} : term;
    }),
    6_000,
  );
});

test('a holder stops a flight before the store may give the duties away', t => {
  const joined = {generation: 4, partitions: [0]};
  const first = afterJoin(NO_TERM, {joined, askedAt: 0, now: 5}, TIMES);
  const waited = TIMES.lease + TIMES.flight + 5;
  const term = afterJoin(
    first,
    {joined, askedAt: waited, now: waited + 5},
    TIMES,
  );
  const last = waited + TIMES.timeToLive - TIMES.flight;
  t.true(mayAct(term, last - 1));
  t.false(mayAct(term, last));
});
