/** The account of held memory: what fits, and the order of those that wait. */
import test from 'ava';
import fc from 'fast-check';

import {Cancellation} from '../source/cancellation/index.js';
import {ManualClock} from '../source/clock/index.js';
import {Refusal} from '../source/errors/index.js';
import {
  hasRoomFor,
  MemoryAccount,
  memoryBudgetOf,
  WaitingBodies,
  type Holding,
  type MemoryBudget,
  type RoomRequest,
  type WaitingBody,
} from '../source/memory/index.js';
import {Metrics} from '../source/metrics/index.js';

const LARGE = 1_000_000;
const SMALL = 1_000;
const BUDGET: MemoryBudget = {
  total: 4_000_000,
  answers: 500_000,
  waiting: 400_000,
  bodies: 3_100_000,
  smallBodies: 100_000,
};

/** An account, and what became of the requests that wait. */
class World {
  readonly clock = new ManualClock();
  readonly metrics = new Metrics();
  readonly events: string[] = [];
  readonly granted: string[] = [];
  readonly refused: string[] = [];
  readonly account: MemoryAccount;
  private readonly holdings = new Map<string, Holding>();

  constructor(budget = BUDGET) {
    const record = (event: string) => {
      this.events.push(event);
    };
    const logger = {debug: record, info: record, warn: record, error: record};
    const {clock, metrics} = this;
    this.account = new MemoryAccount({budget, clock, logger, metrics});
  }

  /** Asks for room as a request does; returns what cancels it. */
  ask(name: string, bytes: number, room: Partial<RoomRequest> = {}) {
    const stop = new Cancellation();
    const holding = this.account.tryReserve(bytes);
    if (holding) this.keep(name, holding);
    else {
      const request = {
        tier: 0,
        team: '',
        arrived: this.clock.monotonic(),
        patience: 1_000,
        readBefore: 0,
        bytes,
        ...room,
      };
      this.account.reserve(request, stop).then(
        given => this.keep(name, given),
        ({code}: Refusal) => this.refused.push(`${name} ${code}`),
      );
    }
    return stop;
  }

  async free(name: string): Promise<void> {
    this.holdings.get(name)?.release();
    await this.settle();
  }

  async settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
  }

  held(kind: string): number | undefined {
    return this.metrics
      .snapshot()
      .gauges.find(({tags}) => tags['kind'] === kind)?.value;
  }

  private keep(name: string, holding: Holding): void {
    this.granted.push(name);
    this.holdings.set(name, holding);
  }
}

/** A world in which three large bodies leave no room for a fourth. */
function fullWorld(): World {
  const world = new World();
  for (const name of ['one', 'two', 'three']) world.ask(name, LARGE);
  world.granted.length = 0;
  return world;
}

test('the parts of a budget are within it, and there is one for the smallest hosts', t => {
  fc.assert(
    fc.property(fc.integer({min: 1, max: 100_000}), megabytes => {
      const budget = memoryBudgetOf(megabytes);
      const {total, answers, waiting, bodies, smallBodies} = budget;
      t.is(answers + waiting + bodies, total);
      t.true(smallBodies < bodies);
      t.true(hasRoomFor(budget, {small: 0, large: 0}, 4_194_304));
    }),
    {numRuns: 200},
  );
});

test('bodies are taken only while there is room, and freed room is given on', async t => {
  const world = fullWorld();
  world.ask('four', LARGE);
  await world.settle();
  t.deepEqual(world.granted, []);
  await world.free('two');
  t.deepEqual(world.granted, ['four']);
  t.is(world.held('large-bodies'), 3 * LARGE);
});

test('room is freed only when the last holder has let go', async t => {
  const world = new World();
  const holding = world.account.tryReserve(LARGE);
  holding?.retain();
  holding?.release();
  t.is(world.held('large-bodies'), LARGE);
  holding?.shrinkTo(LARGE / 2);
  t.is(world.held('large-bodies'), LARGE / 2);
  holding?.release();
  t.is(world.held('large-bodies'), 0);
});

test('small bodies are taken beside large ones that wait', async t => {
  const world = fullWorld();
  world.ask('large', LARGE);
  world.ask('small', SMALL);
  await world.settle();
  t.deepEqual(world.granted, ['small']);
});

test('small bodies wait only where they fill the whole room themselves', async t => {
  const world = fullWorld();
  for (let index = 0; index < 101; index++) world.ask(`small-${index}`, SMALL);
  await world.settle();
  t.is(world.granted.length, 100);
  await world.free('small-7');
  t.is(world.granted.at(-1), 'small-100');
});

test('room is given by tier, then to teams in turn, then by arrival', async t => {
  const world = fullWorld();
  const waiting: ReadonlyArray<[string, number, string]> = [
    ['b1', 1, 'archive'],
    ['a1', 0, 'guides'],
    ['a2', 0, 'guides'],
    ['a3', 0, 'press'],
    ['b2', 1, 'archive'],
  ];
  for (const [name, tier, team] of waiting)
    world.ask(name, LARGE, {tier, team});
  for (const name of ['one', 'two', 'three', 'a1', 'a3'])
    await world.free(name);
  t.deepEqual(world.granted, ['a1', 'a3', 'a2', 'b1', 'b2']);
});

test('a large body that is next is not overtaken by a less large one', async t => {
  const world = fullWorld();
  world.ask('largest', 2 * LARGE);
  world.ask('large', LARGE);
  await world.free('one');
  t.deepEqual(world.granted, []);
  await world.free('two');
  t.deepEqual(world.granted, ['largest']);
});

test('a request that gets no room in time is refused and leaves its turn', async t => {
  const world = fullWorld();
  world.ask('first', 2 * LARGE, {patience: 100});
  world.ask('second', LARGE, {patience: 5_000});
  await world.free('one');
  world.clock.advance(101);
  await world.settle();
  t.deepEqual(world.refused, ['first queue-timeout']);
  t.deepEqual(world.granted, ['second']);
});

test('a request that is cancelled while it waits gets no room', async t => {
  const world = fullWorld();
  world.ask('left', LARGE).abort();
  world.ask('next', LARGE);
  await world.free('one');
  t.deepEqual(world.granted, ['next']);
  t.is(world.held('waiting'), 0);
});

test('one that is cancelled no longer holds up those behind it', async t => {
  const world = fullWorld();
  const first = world.ask('first', 2 * LARGE);
  world.ask('second', LARGE);
  await world.free('one');
  t.deepEqual(world.granted, []);
  first.abort();
  await world.settle();
  t.deepEqual(world.granted, ['second']);
});

test('where unread bodies take too much, the least urgent one is refused', async t => {
  const world = fullWorld();
  for (let index = 0; index < 6; index++)
    world.ask(`calm-${index}`, LARGE, {tier: 1});
  world.ask('urgent', LARGE, {tier: 0});
  await world.settle();
  t.deepEqual(world.refused, ['calm-5 queue-full']);
  t.true((world.held('waiting') ?? Infinity) <= BUDGET.waiting);
});

test('a body that is over the whole room is refused at once', t => {
  const world = new World();
  const error = t.throws(() => world.account.tryReserve(3_050_000), {
    instanceOf: Refusal,
  });
  t.is(error?.code, 'body-too-large');
  t.is(error?.outcome, 'not-run');
});

test('the log says once that the budget is reached, and that it is left', async t => {
  const world = fullWorld();
  for (let index = 0; index < 3; index++) world.ask(`${index}`, LARGE);
  for (const name of ['one', 'two', 'three']) await world.free(name);
  t.deepEqual(world.events, ['memory-budget-reached']);
  world.clock.advance(10_000);
  t.deepEqual(world.events, ['memory-budget-reached', 'memory-budget-left']);
});

test('the log says that the budget is left though small bodies go on to come and go', async t => {
  const world = fullWorld();
  for (let index = 0; index < 3; index++) world.ask(`${index}`, LARGE);
  for (const name of ['one', 'two', 'three']) await world.free(name);
  for (let index = 0; index < 12; index++) {
    world.ask(`small ${index}`, 1_000);
    await world.free(`small ${index}`);
    world.clock.advance(1_000);
  }
  t.deepEqual(world.events, ['memory-budget-reached', 'memory-budget-left']);
});

test('what is held never exceeds the budget, and nobody waits for ever', async t => {
  const steps = fc.array(
    fc.record({
      bytes: fc.oneof(
        fc.integer({min: 1, max: 60_000}),
        fc.integer({min: 70_000, max: 3_000_000}),
      ),
      tier: fc.integer({min: 0, max: 2}),
      team: fc.constantFrom('guides', 'press'),
      frees: fc.nat(3),
    }),
    {maxLength: 60},
  );
  await fc.assert(
    fc.asyncProperty(steps, async taken => {
      const world = new World();
      const names = taken.map((_, index) => `${index}`);
      let freed = 0;
      for (const [index, {bytes, tier, team, frees}] of taken.entries()) {
        world.ask(`${index}`, bytes, {tier, team});
        await world.settle();
        const before = freed;
        for (const name of world.granted.slice(before, before + frees)) {
          await world.free(name);
          freed++;
        }
        const small = world.held('small-bodies') ?? 0;
        const large = world.held('large-bodies') ?? 0;
        t.true(small + large <= BUDGET.bodies);
        t.true(large <= BUDGET.bodies - BUDGET.smallBodies);
      }
      while (freed < world.granted.length)
        await world.free(world.granted[freed++] ?? '');
      t.is(world.granted.length + world.refused.length, names.length);
      t.is(world.held('small-bodies'), 0);
      t.is(world.held('large-bodies'), 0);
      t.is(world.held('waiting'), 0);
    }),
    {numRuns: 50},
  );
});

test('requests leave the order by tier, and each leaves it once', t => {
  const bodies = fc.array(
    fc.record({
      tier: fc.integer({min: 0, max: 3}),
      team: fc.constantFrom('guides', 'press', 'archive'),
      arrived: fc.nat(100),
      bytes: fc.integer({min: 1, max: 1_000}),
    }),
  );
  fc.assert(
    fc.property(bodies, all => {
      const order = new WaitingBodies<WaitingBody>();
      for (const body of all) order.push(body);
      const taken: WaitingBody[] = [];
      for (let next = order.shift(); next; next = order.shift())
        taken.push(next);
      const tiers = taken.map(({tier}) => tier);
      t.deepEqual(
        tiers,
        [...tiers].sort((one, other) => one - other),
      );
      t.is(new Set(taken).size, all.length);
      t.is(order.size, 0);
    }),
  );
});
