/**
 * Admission: strict order of tiers, floors paid in waiting, teams fair by
 * tokens, and refusals that are early and true (invariants 1 and 2).
 */
import test from 'ava';
import fc from 'fast-check';

import {
  Admission,
  expectedWait,
  Room,
  WaitingQueue,
  type Lane,
  type Ticket,
} from '../source/admission/index.js';
import {ManualClock} from '../source/clock/index.js';
import {Refusal} from '../source/errors/index.js';
import {holds, isSeenToFail} from './support/fuzz.js';

class Places extends Room {
  free = 0;

  override hasRoom(): boolean {
    return this.free > 0;
  }

  override places(): number {
    return 4;
  }
}

function laneOf(tier: number, floorShare = 0): Lane {
  return {
    pool: 'pool',
    className: `class-${tier}`,
    tier,
    floorShare,
    cheapShare: 0,
    repeatable: true,
  };
}

function ticketOf(
  lane: Lane,
  team: string,
  arrived: number,
  estimate = 100,
): Ticket {
  return {lane, team, weight: 1, estimate, arrived, bound: 5_000, prefix: ''};
}

const arrivals = fc.array(
  fc.record({
    tier: fc.integer({min: 1, max: 3}),
    team: fc.constantFrom('one', 'two', 'three'),
    take: fc.nat(3),
  }),
  {minLength: 1, maxLength: 60},
);

/** Without floors, whoever starts is of the highest tier that waits. */
function tierOrder(reversed: boolean) {
  return fc.property(arrivals, list => {
    const room = new Places();
    room.free = Infinity;
    const queue = new WaitingQueue<Ticket>(room);
    const waiting: number[] = [];
    for (const [now, {tier, team, take}] of list.entries()) {
      const shown = reversed ? 4 - tier : tier;
      queue.push(ticketOf(laneOf(shown), team, now));
      waiting.push(tier);
      for (let count = 0; count < take; count++) {
        const pick = queue.take(now);
        if (!pick) break;
        const found = reversed
          ? 4 - pick.ticket.lane.tier
          : pick.ticket.lane.tier;
        if (found !== Math.min(...waiting)) return false;
        waiting.splice(waiting.indexOf(found), 1);
      }
    }
    return true;
  });
}

test('the highest tier that waits starts first', t => {
  holds(t, tierOrder(false), 2_000);
});

test('the check notices tiers that are taken the wrong way round', t => {
  isSeenToFail(t, tierOrder(true), 200);
});

/** Serves `rounds` requests of always-waiting classes; answers their tokens. */
function serve(
  rounds: number,
  floorShare: number,
): {tokens: Map<string, number>; queue: WaitingQueue<Ticket>} {
  const room = new Places();
  room.free = Infinity;
  const queue = new WaitingQueue<Ticket>(room);
  const tokens = new Map<string, number>();
  for (let round = 0; round < rounds; round++) {
    const now = round * 10;
    for (const tier of [1, 2, 3]) {
      const lane = laneOf(tier, floorShare);
      if (queue.ahead(lane) < 5 * tier) queue.push(ticketOf(lane, 'one', now));
    }
    const pick = queue.take(now);
    if (!pick) continue;
    const {className} = pick.ticket.lane;
    tokens.set(className, (tokens.get(className) ?? 0) + 100);
    queue.settle(pick.ticket, 100);
  }
  return {tokens, queue};
}

test('under lasting overload by a higher tier, every class gets its floor', t => {
  const {tokens} = serve(4_000, 0.05);
  const total = 4_000 * 100;
  for (const className of ['class-2', 'class-3']) {
    t.true((tokens.get(className) ?? 0) >= 0.05 * total * 0.95, className);
  }
});

test('without a floor the lower classes starve, so the floor is what feeds them', t => {
  const {tokens} = serve(4_000, 0);
  t.is(tokens.get('class-3'), undefined);
});

/** Two teams of a class, one of which sends ten times as much. */
function shareOfWorst(charged: boolean): number {
  const room = new Places();
  room.free = Infinity;
  const queue = new WaitingQueue<Ticket>(room);
  const served = new Map<string, number>();
  const lane = laneOf(1);
  let arrived = 0;
  for (let index = 0; index < 2_000; index++) {
    queue.push(ticketOf(lane, 'loud', arrived++));
    if (index % 10 === 0) queue.push(ticketOf(lane, 'quiet', arrived++));
  }
  for (let index = 0; index < 240; index++) {
    const pick = queue.take(index);
    if (!pick) break;
    const {team} = pick.ticket;
    const tokens = team === 'loud' ? 300 : 100;
    served.set(team, (served.get(team) ?? 0) + tokens);
    queue.settle(pick.ticket, charged ? tokens : pick.ticket.estimate);
  }
  const quiet = served.get('quiet') ?? 0;
  const mean = (quiet + (served.get('loud') ?? 0)) / 2;
  return quiet / mean;
}

test('a team that sends ten times as much gets no more tokens', t => {
  t.true(shareOfWorst(true) >= 0.9);
});

test('the check notices that estimates are not settled', t => {
  t.true(shareOfWorst(false) < 0.9);
});

test('a team that was idle gets no credit for it', t => {
  const room = new Places();
  room.free = Infinity;
  const queue = new WaitingQueue<Ticket>(room);
  const lane = laneOf(1);
  for (let index = 0; index < 20; index++)
    queue.push(ticketOf(lane, 'busy', index));
  for (let index = 0; index < 10; index++) queue.take(index);
  for (let index = 0; index < 10; index++)
    queue.push(ticketOf(lane, 'late', 30));
  const teams = Array.from({length: 10}, () => queue.take(40)?.ticket.team);
  t.true(teams.filter(team => team === 'late').length <= 6);
});

interface Trial {
  readonly clock: ManualClock;
  readonly room: Places;
  readonly admission: Admission;
}

function trial(places: number): Trial {
  const clock = new ManualClock();
  const room = new Places();
  return {clock, room, admission: new Admission({clock, room, places})};
}

function enter(
  {admission, room, clock}: Trial,
  tier: number,
): {done: Promise<string>; end: () => void; preempted: () => boolean} {
  let end = () => {};
  let preempted = false;
  const work = () =>
    new Promise<number>(resolve => {
      room.free--;
      end = () => {
        room.free++;
        resolve(100);
      };
    });
  const ticket = ticketOf(laneOf(tier), 'one', clock.monotonic());
  const entry = admission.run(ticket, work, () => {
    preempted = true;
    end();
  });
  const done = entry.done.then(
    () => 'done',
    (error: unknown) => (error instanceof Refusal ? error.code : 'failed'),
  );
  return {done, end: () => end(), preempted: () => preempted};
}

test('a full queue sheds the lowest tier for a higher one, never the reverse', async t => {
  const made = trial(2);
  const low = enter(made, 3);
  const middle = enter(made, 2);
  const high = enter(made, 1);
  t.is(await low.done, 'shed');
  const lower = enter(made, 3);
  t.is(await lower.done, 'queue-full');
  made.room.free = 2;
  made.admission.poke();
  high.end();
  middle.end();
  t.is(await high.done, 'done');
  t.is(await middle.done, 'done');
});

test('a request is refused when its bound has passed', async t => {
  const made = trial(10);
  const waiting = enter(made, 1);
  made.clock.advance(5_000);
  t.is(await waiting.done, 'queue-timeout');
});

test('a higher tier preempts a lower one before it is refused', async t => {
  const made = trial(10);
  made.room.free = 1;
  const low = enter(made, 3);
  made.admission.poke();
  const high = enter(made, 1);
  made.clock.advance(5_000);
  t.true(low.preempted());
  await new Promise(resolve => setImmediate(resolve));
  made.admission.poke();
  high.end();
  t.is(await high.done, 'done');
});

test('a lower tier preempts nobody', async t => {
  const made = trial(10);
  made.room.free = 1;
  const high = enter(made, 1);
  made.admission.poke();
  const low = enter(made, 3);
  made.clock.advance(5_000);
  t.false(high.preempted());
  t.is(await low.done, 'queue-timeout');
  high.end();
  t.is(await high.done, 'done');
});

test('a wait that would pass the bound is refused at once', async t => {
  t.is(expectedWait({ahead: 20, places: 4, serviceTime: 500}), 2_500);
  const made = trial(1_000);
  const entries = Array.from({length: 60}, () => enter(made, 1));
  const last = enter(made, 1);
  t.is(await last.done, 'target-unreachable');
  made.clock.advance(5_000);
  await Promise.all(entries.map(({done}) => done));
});
