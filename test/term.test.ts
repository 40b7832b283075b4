/**
 * There is one leader at a time, and leadership does not bounce between hosts
 * (invariants 6 and 7), whatever the store does with its partitions: it reassigns
 * them without asking, its responses are late or lost, it comes back from an older
 * copy of its groups, and hosts pause. Calls
 * are sent during a term and reach the platform up to the longest call delay
 * later.
 */
import test from 'ava';
import fc from 'fast-check';

import {
  mayAct,
  NO_TERM,
  termAfterJoin,
  type Term,
} from '../source/leader/index.js';
import {step, steps, type Step} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const DURATIONS = {timeToLive: 3_000, maxCallDelay: 600, lease: 3_000};
const HOSTS = ['one', 'two', 'three'];
const LEASE = DURATIONS.lease;

type Join = typeof termAfterJoin;

/** The store's response to a host that asked, until it arrives or is lost. */
interface PendingReply {
  readonly host: string;
  readonly askedAt: number;
  readonly generation: number;
  readonly era: number;
  readonly partitions: readonly number[];
}

/** What the store knows of the group. */
interface GroupCopy {
  readonly generation: number;
  readonly owner: string;
}

/** Simulates the store's group, the hosts in it, and the platform. */
class Simulation {
  private now = 0;
  private generation = 1;
  private owner = 'one';
  private era = 1;
  private copies: GroupCopy[] = [];
  private readonly lastJoin = new Map<string, number>();
  private readonly terms = new Map<string, Term>();
  private replies: PendingReply[] = [];
  private readonly calls: Array<{host: string; at: number}> = [];
  private highestFence = 0;
  /** Number of calls that were sent. */
  acted = 0;
  /** Description of the last violation, if there was one. */
  problem = '';

  constructor(private readonly join: Join) {}

  /** Time passes; a leader that does not ask for too long is replaced. */
  pass(duration: number): void {
    this.now += duration;
    const last = this.lastJoin.get(this.owner) ?? -Infinity;
    if (this.now - last > DURATIONS.timeToLive)
      this.assignTo(this.nextMember());
  }

  /** A host asks; the store handles it now and the reply arrives later. */
  ask(host: string): void {
    this.lastJoin.set(host, this.now);
    const partitions = host === this.owner ? [0] : [1];
    const {generation, era, now: askedAt} = this;
    this.replies.push({host, askedAt, generation, era, partitions});
  }

  /** The store is copied. */
  copy(): void {
    this.copies.push({generation: this.generation, owner: this.owner});
  }

  /** The store comes back from its oldest copy, and members have their time. */
  restore(): void {
    const copy = this.copies.shift();
    if (!copy) return;
    this.generation = copy.generation;
    this.owner = copy.owner;
    this.era++;
    for (const host of HOSTS) this.lastJoin.set(host, this.now);
  }

  /** The oldest reply arrives, or is lost. */
  receive(lost: boolean): void {
    const pending = this.replies.shift();
    if (!pending || lost) return;
    const {host, askedAt, generation, era, partitions} = pending;
    const before = this.terms.get(host) ?? NO_TERM;
    const joined = {generation, era, partitions};
    const reply = {joined, askedAt, now: this.now};
    this.terms.set(host, this.join(before, reply, DURATIONS));
  }

  /** The store reassigns the partitions without asking. */
  rebalance(): void {
    this.assignTo(this.nextMember());
  }

  /** A host sends a call if its term allows it. */
  act(host: string, delay: number): void {
    const term = this.terms.get(host) ?? NO_TERM;
    if (!mayAct(term, this.now)) return;
    this.acted++;
    this.arrive(host, term.fence, this.now + delay);
  }

  /** A host asks in time for some rounds, and every reply arrives. */
  stay(host: string, rounds: number): void {
    for (let round = 0; round < rounds; round++) {
      this.pass(900);
      this.ask(host);
      while (this.replies.length > 0) this.receive(false);
    }
  }

  check(): void {}

  /** A call reaches the platform. */
  private arrive(host: string, fence: number, at: number): void {
    if (fence < this.highestFence) this.problem = `fence ${fence} is older`;
    this.highestFence = Math.max(this.highestFence, fence);
    const others = this.calls.filter(call => call.host !== host);
    const other = others[others.length - 1];
    const own = this.calls.findLast(call => call.host === host);
    const isBetween = other && own && own.at < other.at;
    if (isBetween && at - own.at < LEASE) {
      this.problem = `${host}, ${other.host}, ${host} within the lease`;
    }
    this.calls.push({host, at});
  }

  private nextMember(): string {
    const index = HOSTS.indexOf(this.owner);
    return HOSTS[(index + 1) % HOSTS.length] ?? 'one';
  }

  private assignTo(host: string): void {
    this.generation++;
    this.owner = host;
    this.lastJoin.set(host, this.now);
  }
}

const host = fc.constantFrom(...HOSTS);
const kinds: Array<fc.Arbitrary<Step<Simulation>>> = [
  fc
    .integer({min: 50, max: 1_500})
    .map(duration =>
      step(`pass ${duration}`, simulation => simulation.pass(duration)),
    ),
  host.map(name => step(`ask ${name}`, simulation => simulation.ask(name))),
  host.map(name => step(`ask ${name}`, simulation => simulation.ask(name))),
  fc
    .boolean()
    .map(lost =>
      step(`receive ${lost}`, simulation => simulation.receive(lost)),
    ),
  fc.constant(step('receive', simulation => simulation.receive(false))),
  fc
    .tuple(host, fc.integer({min: 1, max: 6}))
    .map(([name, rounds]) =>
      step(`stay ${name} ${rounds}`, simulation =>
        simulation.stay(name, rounds),
      ),
    ),
  fc.constant(step('rebalance', simulation => simulation.rebalance())),
  fc.constant(step('copy', simulation => simulation.copy())),
  fc.constant(step('restore', simulation => simulation.restore())),
  fc
    .tuple(host, fc.integer({min: 0, max: DURATIONS.maxCallDelay - 1}))
    .map(([name, delay]) =>
      step(`act ${name} ${delay}`, simulation => simulation.act(name, delay)),
    ),
];

let acted = 0;

function property(join: Join) {
  return fc.property(steps(kinds, 120), commands => {
    const simulation = new Simulation(join);
    fc.modelRun(() => ({model: {}, real: simulation}), commands);
    acted += simulation.acted;
    return simulation.problem === '';
  });
}

test('fencing tokens never decrease, and leadership never returns to a host within the lease', t => {
  holds(t, property(termAfterJoin), 6_000);
  t.true(acted > 100, 'hosts become leader in these runs');
});

test('the check detects a new leader that does not wait', t => {
  isSeenToFail(
    t,
    property((before, reply, durations) => {
      const term = termAfterJoin(before, reply, durations);
      return term.fence > 0 ? {...term, from: reply.now} : term;
    }),
    6_000,
  );
});

test('the check detects a leader whose term lasts too long after the reply', t => {
  isSeenToFail(
    t,
    property((before, reply, durations) => {
      const term = termAfterJoin(before, reply, durations);
      const until = reply.now + 3 * durations.timeToLive;
      return term.fence > 0 ? {...term, until} : term;
    }),
    6_000,
  );
});

test('the check detects a term that goes on by an earlier generation of a restored store', t => {
  isSeenToFail(
    t,
    property((before, reply, durations) => {
      const {generation, partitions} = reply.joined;
      const term = termAfterJoin(before, reply, durations);
      return partitions.includes(0) ? {...term, fence: generation} : term;
    }),
    6_000,
  );
});

test('a host leads on soon after the store was restored with an earlier generation', t => {
  const askedAt = 10_000;
  const before = {...NO_TERM, generation: 90, era: 1, fence: 90};
  const joined = {generation: 4, era: 2, partitions: [0]};
  const term = termAfterJoin(
    before,
    {joined, askedAt, now: askedAt},
    DURATIONS,
  );
  t.true(term.fence > before.fence);
  t.true(term.from - askedAt <= DURATIONS.lease + DURATIONS.maxCallDelay);
});

test('a leader stops acting one call delay before the store may reassign leadership', t => {
  const joined = {generation: 4, partitions: [0]};
  const first = termAfterJoin(NO_TERM, {joined, askedAt: 0, now: 5}, DURATIONS);
  const waited = DURATIONS.lease + DURATIONS.maxCallDelay + 5;
  const term = termAfterJoin(
    first,
    {joined, askedAt: waited, now: waited + 5},
    DURATIONS,
  );
  const last = waited + DURATIONS.timeToLive - DURATIONS.maxCallDelay;
  t.true(mayAct(term, last - 1));
  t.false(mayAct(term, last));
});
