/**
 * Placement: no new work at an endpoint that leaves, at one in a zone that is
 * out, beyond an allowance, or on a cheap one that its class may not use
 * (invariants 9 and 13); and a failed engine cannot empty a pool.
 */
import test from 'ava';
import fc from 'fast-check';

import type {Lane} from '../source/admission/index.js';
import {ManualClock} from '../source/clock/index.js';
import {
  applyNote,
  emptyConfiguration,
  releaseNoteSchema,
  type Configuration,
} from '../source/configuration/index.js';
import {
  Allowances,
  EndpointTable,
  endpointState,
  FixedSplit,
  updateEndpoint,
  type EndpointState,
  type Slot,
} from '../source/placement/index.js';
import {Holding} from '../source/credits/index.js';
import {GrantedAllowances} from '../source/fleet/index.js';
import {step, steps, type Step} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const ZONES = ['palermo', 'catania'];
const NAMES = ['one', 'two', 'three', 'four'];
const SLOTS = 2;

class FixedAllowances extends Allowances {
  override of({warm}: EndpointState): number {
    return warm ? SLOTS : 0;
  }
}

interface Faults {
  /** A host does not look at what endpoints and notes say. */
  readonly deaf?: boolean;
}

class World {
  readonly clock = new ManualClock();
  private readonly table: EndpointTable;
  private configuration: Configuration = emptyConfiguration();
  private readonly out = new Set<string>();
  private readonly leaving = new Set<string>();
  private readonly slots: Slot[] = [];
  private readonly running = new Map<string, number>();
  private offset = 0;
  problem = '';
  taken = 0;

  constructor(private readonly faults: Faults) {
    this.table = new EndpointTable(
      'palermo',
      this.clock,
      new FixedAllowances(),
    );
    this.note({
      added: {
        zones: ZONES.map(name => ({name, region: 'sicily'})),
        endpoints: NAMES.map((name, index) => ({
          name,
          zone: ZONES[index % 2],
          address: `127.0.0.1:${7_000 + index}`,
          pool: 'pool',
          kind: 'engine',
          slots: SLOTS,
          cheap: index === 3,
        })),
      },
    });
    for (const name of NAMES) this.report(name, 'warm');
  }

  private note(parts: object): void {
    const id = `note-${this.offset}`;
    const note = releaseNoteSchema.parse({id, ...parts});
    const {configuration} = applyNote(this.configuration, note, this.offset++);
    this.configuration = configuration;
    if (!this.faults.deaf || this.offset === 1)
      this.table.configure(configuration);
  }

  zone(name: string, state: 'in' | 'out'): void {
    const revision = this.configuration.tables.zones.get(name)?.revision ?? 0;
    const object = {name, region: 'sicily', state};
    this.note({changed: {zones: [{revision, object}]}});
    if (state === 'out') this.out.add(name);
    else this.out.delete(name);
  }

  report(name: string, state: 'cold' | 'warm' | 'leaving'): void {
    const deaf = this.faults.deaf && state === 'leaving';
    if (!deaf) this.table.update(name, {kind: 'reported', state});
    if (state === 'leaving') this.leaving.add(name);
    else this.leaving.delete(name);
  }

  happen(name: string, answered: boolean): void {
    const now = this.clock.monotonic();
    if (answered) this.table.update(name, {kind: 'answered', latency: 5, now});
    else this.table.update(name, {kind: 'failed', now});
  }

  take(repeatable: boolean, cheapShare: number): void {
    const lane: Lane = {
      pool: 'pool',
      className: 'class',
      tier: 1,
      floorShare: 0,
      cheapShare,
      repeatable,
    };
    const expected = this.table.hasRoom(lane);
    const slot = this.table.take(lane, '', new Set());
    if (expected !== (slot !== undefined))
      this.problem = 'room that is not there';
    if (!slot) return;
    const {name, zone, cheap} = slot.endpoint;
    this.taken++;
    this.slots.push(slot);
    this.running.set(name, (this.running.get(name) ?? 0) + 1);
    if (this.out.has(zone)) this.problem = `work for ${zone}, which is out`;
    if (this.leaving.has(name)) this.problem = `work for ${name}, which leaves`;
    if (cheap && !repeatable)
      this.problem = 'work that runs once on a cheap one';
    if ((this.running.get(name) ?? 0) > SLOTS)
      this.problem = `too much for ${name}`;
  }

  release(index: number): void {
    const [slot] = this.slots.splice(index % Math.max(this.slots.length, 1), 1);
    if (!slot) return;
    slot.release();
    slot.release();
    const {name} = slot.endpoint;
    this.running.set(name, (this.running.get(name) ?? 1) - 1);
  }

  endpoints() {
    return this.configuration.tables.endpoints;
  }

  check(): void {
    if (this.problem !== '') throw new Error(this.problem);
  }
}

const command = step<World>;
const name = fc.constantFrom(...NAMES);
const zone = fc.constantFrom(...ZONES);
const take: fc.Arbitrary<Step<World>> = fc
  .tuple(fc.boolean(), fc.constantFrom(0, 0.5, 1))
  .map(([repeatable, share]) =>
    command(`take ${repeatable} ${share}`, world =>
      world.take(repeatable, share),
    ),
  );
const kinds: Array<fc.Arbitrary<Step<World>>> = [
  take,
  take,
  take,
  fc
    .nat(9)
    .map(index => command(`release ${index}`, world => world.release(index))),
  fc
    .tuple(zone, fc.constantFrom<'in' | 'out'>('in', 'out'))
    .map(([which, state]) =>
      command(`zone ${which} ${state}`, world => world.zone(which, state)),
    ),
  fc
    .tuple(
      name,
      fc.constantFrom<'cold' | 'warm' | 'leaving'>('cold', 'warm', 'leaving'),
    )
    .map(([which, state]) =>
      command(`report ${which} ${state}`, world => world.report(which, state)),
    ),
  fc
    .tuple(name, fc.boolean())
    .map(([which, answered]) =>
      command(`${answered ? 'answer' : 'failure'} of ${which}`, world =>
        world.happen(which, answered),
      ),
    ),
  fc
    .integer({min: 1, max: 20_000})
    .map(time =>
      command(`advance ${time}`, world => world.clock.advance(time)),
    ),
];

let taken = 0;

function property(faults: Faults) {
  return fc.property(steps(kinds, 60), list => {
    const world = new World(faults);
    fc.modelRun(() => ({model: {}, real: world}), list);
    taken += world.taken;
  });
}

test('no new work goes where it may not', t => {
  holds(t, property({}), 2_000);
  t.log(`${taken} slots taken`);
  t.true(taken > 2_000);
});

test('the check notices a host that is deaf to notes and reports', t => {
  isSeenToFail(t, property({deaf: true}), 500);
});

test('a pool whose endpoints are all suspect is still used', t => {
  const world = new World({});
  for (const which of NAMES) {
    for (let count = 0; count < 5; count++) world.happen(which, false);
  }
  world.take(true, 0);
  t.is(world.taken, 1);
});

test('a suspect gets nothing while others are sound, and then one request', t => {
  const world = new World({});
  for (let count = 0; count < 2; count++) world.happen('one', false);
  for (let count = 0; count < 20; count++) world.take(false, 0);
  t.is(world.taken, 2 * SLOTS);
  world.clock.advance(20_000);
  for (let count = 0; count < 20; count++) world.take(false, 0);
  t.is(world.taken, 2 * SLOTS + 1);
});

test('a cold endpoint that fails stays cold until it is reported warm', t => {
  const [{object: endpoint} = {object: undefined}] = [
    ...new World({}).endpoints().values(),
  ];
  if (!endpoint) throw new Error('no endpoint');
  let known = endpointState(endpoint, true);
  known = updateEndpoint(known, {kind: 'reported', state: 'warm'});
  known = updateEndpoint(known, {kind: 'reported', state: 'cold'});
  for (let now = 0; now < 5; now++) {
    known = updateEndpoint(known, {kind: 'failed', now});
  }
  t.is(known.state, 'suspect');
  const clock = new ManualClock();
  const split = new FixedSplit('host');
  const allowances = new GrantedAllowances(new Holding(), split, clock);
  t.is(allowances.of(known), 0);
  known = updateEndpoint(known, {kind: 'reported', state: 'warm'});
  t.is(allowances.of(known), SLOTS);
});
