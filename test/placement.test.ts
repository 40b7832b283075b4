/**
 * Placement: no new work goes to an endpoint that is leaving, that is in a zone
 * taken out of service, whose slot quota is used up, or that is reclaimable
 * when its class may not use such endpoints (invariants 9 and 13). Failed
 * engines cannot leave a pool without endpoints.
 */
import test from 'ava';
import fc from 'fast-check';

import type {SchedulingGroup} from '../source/admission/index.js';
import {ManualClock} from '../source/clock/index.js';
import {
  applyNote,
  emptyConfiguration,
  releaseNoteSchema,
  type Configuration,
} from '../source/configuration/index.js';
import {
  SlotQuotas,
  EndpointTable,
  initialEndpointState,
  EqualSplitQuotas,
  updateEndpoint,
  type EndpointState,
  type Slot,
} from '../source/placement/index.js';
import {HeldGrants} from '../source/credits/index.js';
import {GrantedSlotQuotas} from '../source/fleet/index.js';
import {step, steps, type Step} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const ZONES = ['palermo', 'catania'];
const NAMES = ['one', 'two', 'three', 'four'];
const SLOTS = 2;

class FixedQuotas extends SlotQuotas {
  override slotsAt({warm}: EndpointState): number {
    return warm ? SLOTS : 0;
  }
}

/** Faults to plant, so that the checks are seen to fail. */
interface Faults {
  /** The host ignores later configurations and reports of leaving. */
  readonly ignoresUpdates?: boolean;
}

/** An endpoint table under test, beside a model of what it may do. */
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
    this.table = new EndpointTable('palermo', this.clock, new FixedQuotas());
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
    if (!this.faults.ignoresUpdates || this.offset === 1)
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
    const ignored = this.faults.ignoresUpdates && state === 'leaving';
    if (!ignored) this.table.update(name, {kind: 'reported', state});
    if (state === 'leaving') this.leaving.add(name);
    else this.leaving.delete(name);
  }

  recordOutcome(name: string, answered: boolean): void {
    const now = this.clock.monotonic();
    if (answered) this.table.update(name, {kind: 'answered', latency: 5, now});
    else this.table.update(name, {kind: 'failed', now});
  }

  take(repeatable: boolean, cheapShare: number): void {
    const group: SchedulingGroup = {
      pool: 'pool',
      className: 'class',
      tier: 1,
      floorShare: 0,
      cheapShare,
      repeatable,
    };
    const expected = this.table.hasCapacity(group);
    const slot = this.table.acquireSlot(group, '', new Set());
    if (expected !== (slot !== undefined))
      this.problem = 'hasCapacity and acquireSlot disagree';
    if (!slot) return;
    const {name, zone, cheap} = slot.endpoint;
    this.taken++;
    this.slots.push(slot);
    this.running.set(name, (this.running.get(name) ?? 0) + 1);
    if (this.out.has(zone))
      this.problem = `a request in zone ${zone}, which is out of service`;
    if (this.leaving.has(name))
      this.problem = `a request at ${name}, which is leaving`;
    if (cheap && !repeatable)
      this.problem =
        'a request that is not repeatable at a reclaimable endpoint';
    if ((this.running.get(name) ?? 0) > SLOTS)
      this.problem = `more requests at ${name} than its slot quota`;
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
        world.recordOutcome(which, answered),
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

test('no request runs at an endpoint that may not get it', t => {
  holds(t, property({}), 2_000);
  t.log(`${taken} slots taken`);
  t.true(taken > 2_000);
});

test('the property fails for a host that ignores configurations and reports', t => {
  isSeenToFail(t, property({ignoresUpdates: true}), 500);
});

test('a pool whose endpoints are all suspect is still used', t => {
  const world = new World({});
  for (const which of NAMES) {
    for (let count = 0; count < 5; count++) world.recordOutcome(which, false);
  }
  world.take(true, 0);
  t.is(world.taken, 1);
});

test('a suspect endpoint gets nothing while others are healthy, then one probe', t => {
  const world = new World({});
  for (let count = 0; count < 2; count++) world.recordOutcome('one', false);
  for (let count = 0; count < 20; count++) world.take(false, 0);
  t.is(world.taken, 2 * SLOTS);
  world.clock.advance(20_000);
  for (let count = 0; count < 20; count++) world.take(false, 0);
  t.is(world.taken, 2 * SLOTS + 1);
});

test('a cold endpoint that fails stays cold until it reports warm', t => {
  const [{object: endpoint} = {object: undefined}] = [
    ...new World({}).endpoints().values(),
  ];
  if (!endpoint) throw new Error('no endpoint');
  let known = initialEndpointState(endpoint, true);
  known = updateEndpoint(known, {kind: 'reported', state: 'warm'});
  known = updateEndpoint(known, {kind: 'reported', state: 'cold'});
  for (let now = 0; now < 5; now++) {
    known = updateEndpoint(known, {kind: 'failed', now});
  }
  t.is(known.state, 'suspect');
  const clock = new ManualClock();
  const equalSplit = new EqualSplitQuotas('host');
  const quotas = new GrantedSlotQuotas(new HeldGrants(), equalSplit, clock);
  t.is(quotas.slotsAt(known), 0);
  known = updateEndpoint(known, {kind: 'reported', state: 'warm'});
  t.is(quotas.slotsAt(known), SLOTS);
});
