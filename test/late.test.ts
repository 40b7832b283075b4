/**
 * Requests that have waited too long to meet their target. They go behind those
 * that can still meet it and may be refused early; no kind of request, no region
 * and no retry may be starved by that.
 */
import test from 'ava';

import {
  Admission,
  CapacityProvider,
  type SchedulingGroup,
} from '../source/admission/index.js';
import {ManualClock} from '../source/clock/index.js';
import {admissionRequestFor} from '../source/forward/index.js';
import type {AllowedRegions, Route} from '../source/routing/index.js';

const DEADLINE_MILLISECONDS = 4_000;
const STEP_MILLISECONDS = 5;

class Slots extends CapacityProvider {
  constructor(private free: number) {
    super();
  }

  /** Regions whose endpoints have no free slot. */
  readonly full = new Set<string>();

  override hasCapacity({homes = []}: SchedulingGroup): boolean {
    return this.free > 0 && !homes.some(region => this.full.has(region));
  }

  override slotCount(): number {
    return 4;
  }

  add(count: number): void {
    this.free += count;
  }
}

/** What differs between the requests of a test. */
interface Spec {
  readonly kind: string;
  readonly target?: number;
  readonly tier?: number;
  readonly homes?: AllowedRegions;
  readonly isRetry?: boolean;
}

/** A host whose requests each hold a slot for 200 ms. */
class World {
  readonly clock = new ManualClock();
  readonly slots: Slots;
  readonly sent = new Map<string, number>();
  readonly started = new Map<string, number>();
  readonly refused: string[] = [];
  private readonly admission: Admission;

  constructor(free: number) {
    this.slots = new Slots(free);
    const {clock} = this;
    const capacity = this.slots;
    this.admission = new Admission({clock, capacity, maxQueued: 2_000});
  }

  send({kind, target = 500, tier = 0, homes, isRetry = false}: Spec): void {
    const arrived = this.clock.monotonic();
    const route = {name: kind, target} as Route;
    const request = admissionRequestFor(
      {
        route,
        service: 'pool',
        team: '',
        tier,
        homes,
        prompt: undefined,
        arrived,
        isRetry,
        deadline: arrived + DEADLINE_MILLISECONDS,
      },
      arrived,
    );
    this.sent.set(kind, (this.sent.get(kind) ?? 0) + 1);
    const work = async () => {
      this.started.set(kind, (this.started.get(kind) ?? 0) + 1);
      this.slots.add(-1);
      await new Promise<void>(resolve => this.clock.after(200, resolve));
      this.slots.add(1);
      return 0;
    };
    const {done} = this.admission.run(request, work, () => {});
    done.catch(() => this.refused.push(kind));
  }

  async run(
    duration: number,
    onStep: (now: number) => void = () => {},
  ): Promise<void> {
    for (let elapsed = 0; elapsed < duration; elapsed += STEP_MILLISECONDS) {
      onStep(this.clock.monotonic());
      this.clock.advance(STEP_MILLISECONDS);
      this.admission.dispatch();
      await new Promise(resolve => setImmediate(resolve));
    }
  }
}

test('a kind with a short target is served as often as one with a long target under overload', async t => {
  const world = new World(4);
  let count = 0;
  await world.run(10_000, now => {
    if (now % 25 !== 0) return;
    const isShort = count++ % 2 === 0;
    world.send(
      isShort ? {kind: 'short', target: 300} : {kind: 'long', target: 4_000},
    );
  });
  const short = world.started.get('short') ?? 0;
  const long = world.started.get('long') ?? 0;
  t.log(`${short} short, ${long} long`);
  t.true(short >= 0.5 * long && long >= 0.5 * short);
});

test('a rare kind of the lowest tier keeps its floor beside an overload of an urgent one', async t => {
  const world = new World(2);
  await world.run(30_000, now => {
    if (now % 40 === 0) world.send({kind: 'urgent', target: 1_000});
    if (now % 1_000 === 0) world.send({kind: 'rare', tier: 2, target: 800});
  });
  const servedShare = (kind: string) =>
    (world.started.get(kind) ?? 0) / (world.sent.get(kind) ?? 1);
  t.log(`${servedShare('rare')} rare, ${servedShare('urgent')} urgent`);
  t.true(servedShare('rare') >= servedShare('urgent') / 4);
});

test('a request is not refused as late for others that may only run in another region', async t => {
  const world = new World(1);
  world.slots.full.add('east');
  world.send({kind: 'first', homes: ['west']});
  await world.run(10);
  world.send({kind: 'east', homes: ['east']});
  world.send({kind: 'west', homes: ['west']});
  await world.run(600);
  t.deepEqual(world.refused, []);
});

test('a request that an endpoint has failed is not refused as late', async t => {
  const world = new World(1);
  world.send({kind: 'first'});
  await world.run(10);
  world.send({kind: 'retry', isRetry: true});
  world.send({kind: 'other'});
  await world.run(1_000);
  t.false(world.refused.includes('retry'));
  t.is(world.started.get('retry'), 1);
});
