/** Leases: no two hosts act for one at the same time (invariants 6 and 7). */
import test from 'ava';
import fc from 'fast-check';

import {
  foldLease,
  following,
  LEASE_MILLISECONDS,
  mayAct,
  updateRole,
  type LeaseEvent,
  type LeaseRole,
  type Leases,
} from '../source/lease/index.js';
import {logRecordSchema} from '../source/platform/index.js';
import {step, steps} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';
import {Tape} from './support/tape.js';

const LEASE = 'zone palermo';
const HOSTS = 3;
const STEP_MILLISECONDS = 100;
const FLIGHT_MILLISECONDS = 1_000;

interface Contender {
  role: LeaseRole;
  leases: Leases;
  next: number;
  readAt: number;
  frozen: boolean;
  cut: boolean;
  /** Its appends are lost. */
  silent: boolean;
  /** What the host’s monotonic clock shows more than the oracle’s. */
  readonly skew: number;
}

interface Landing {
  readonly at: number;
  readonly fence: number;
}

/** The faults that can be planted in the rules of the lease. */
interface Faults {
  /** A follower claims as soon as it sees the lease held by another. */
  readonly impatient?: boolean;
  /** A holder counts its time from when it reads its record back. */
  readonly countsFromRead?: boolean;
}

class World {
  now = 0;
  /** Milliseconds that an append takes. */
  delay = 0;
  readonly tape = new Tape();
  readonly contenders: Contender[] = [];
  private landings: Landing[] = [];
  private highest = -1;
  claims = 0;

  constructor(private readonly faults: Faults) {
    for (let index = 0; index < HOSTS; index++) {
      const skew = index * 1_000_000;
      this.contenders.push({
        role: following(LEASE, `host-${index}`, skew, index * 150),
        leases: new Map(),
        next: 0,
        readAt: -Infinity,
        frozen: false,
        cut: false,
        silent: false,
        skew,
      });
    }
  }

  advance(duration: number): void {
    const end = this.now + duration;
    while (this.now < end) {
      this.now += STEP_MILLISECONDS;
      this.tape.landAll(this.now - this.delay);
      for (const contender of this.contenders) {
        if (contender.frozen) continue;
        this.read(contender);
        this.tick(contender);
      }
      this.land();
      this.check();
    }
  }

  read(contender: Contender): void {
    if (contender.cut) return;
    const now = this.now + contender.skew;
    for (const {offset, value} of this.tape.read(contender.next)) {
      const record = logRecordSchema.parse(value);
      if (record.kind !== 'lease') continue;
      contender.leases = foldLease(contender.leases, record, offset);
      const standing = contender.leases.get(LEASE);
      this.update(contender, {kind: 'read', standing, now});
    }
    contender.next = this.tape.entries.length;
    contender.readAt = now;
  }

  tick(contender: Contender): void {
    const now = this.now + contender.skew;
    const {readAt, role} = contender;
    if (this.faults.impatient) contender.role = {...role, seenAt: -Infinity};
    this.update(contender, {kind: 'tick', now, readAt});
  }

  leave(contender: Contender): void {
    if (contender.frozen) return;
    this.update(contender, {kind: 'leave', now: this.now + contender.skew});
  }

  /** A host that may act sends an order, which lands after a while. */
  order(contender: Contender, flight: number): void {
    if (contender.frozen) return;
    const {role, skew} = contender;
    if (!mayAct(role, this.now + skew)) return;
    const fence = role.standing?.fence ?? -1;
    this.landings.push({at: this.now + flight, fence});
  }

  private update(contender: Contender, event: LeaseEvent): void {
    const before = contender.role;
    const {role, append} = updateRole(before, event);
    contender.role = role;
    if (this.faults.countsFromRead && event.kind === 'read') {
      if (role.heldUntil !== before.heldUntil && role.heldUntil > 0) {
        contender.role = {...role, heldUntil: event.now + LEASE_MILLISECONDS};
      }
    }
    if (append) {
      if (append.action === 'claim') this.claims++;
      if (!contender.silent) this.tape.send(append, this.now);
    }
  }

  /** Endpoints that ignore fences must not see an old one after a new one. */
  private land(): void {
    const due = this.landings.filter(({at}) => at <= this.now);
    this.landings = this.landings.filter(({at}) => at > this.now);
    due.sort((one, other) => one.at - other.at);
    for (const {fence} of due) {
      if (fence < this.highest)
        throw new Error('an order of a former holder landed');
      this.highest = fence;
    }
  }

  check(): void {
    const acting = this.contenders.filter(
      ({frozen, role, skew}) => !frozen && mayAct(role, this.now + skew),
    );
    if (acting.length > 1)
      throw new Error('two hosts believe they are in charge');
  }
}

const command = step<World>;
type Command = ReturnType<typeof command>;

function on(
  name: string,
  run: (world: World, contender: Contender, number: number) => void,
): fc.Arbitrary<Command> {
  const host = fc.nat(HOSTS - 1);
  return fc
    .tuple(host, fc.nat(FLIGHT_MILLISECONDS - STEP_MILLISECONDS))
    .map(([index, number]) =>
      command(`${name} ${index} ${number}`, world => {
        const contender = world.contenders[index];
        if (contender) run(world, contender, number);
      }),
    );
}

const advance = fc
  .integer({min: 1, max: 40})
  .map(steps =>
    command(`advance ${steps}`, world =>
      world.advance(steps * STEP_MILLISECONDS),
    ),
  );

const commands = steps(
  [
    advance,
    advance,
    advance,
    fc.constantFrom(0, 0, 300, 1_000, 3_000, 1_000_000).map(delay =>
      command(`delay ${delay}`, world => {
        world.delay = delay;
      }),
    ),
    fc
      .nat(9)
      .map(index =>
        command(`land ${index}`, ({tape}) => tape.land(index, false)),
      ),
    fc
      .nat(9)
      .map(index =>
        command(`double ${index}`, ({tape}) => tape.land(index, true)),
      ),
    fc
      .nat(9)
      .map(index => command(`lose ${index}`, ({tape}) => tape.lose(index))),
    on('freeze', (_, contender) => (contender.frozen = true)),
    on('thaw', (_, contender) => (contender.frozen = false)),
    on('cut', (_, contender) => (contender.cut = true)),
    on('heal', (_, contender) => (contender.cut = false)),
    on('hush', (_, contender) => (contender.silent = true)),
    on('speak', (_, contender) => (contender.silent = false)),
    on('leave', (world, contender) => world.leave(contender)),
    on('order', (world, contender, flight) => world.order(contender, flight)),
  ],
  60,
);

function property(faults: Faults) {
  return fc.property(commands, list => {
    const world = new World(faults);
    fc.modelRun(() => ({model: {}, real: world}), list);
  });
}

test('no two hosts act for a lease, whatever is lost, doubled or frozen', t => {
  holds(t, property({}), 5_000);
});

test('the check notices a follower that does not wait', t => {
  isSeenToFail(t, property({impatient: true}), 1_500);
});

/** A holder that is cut off reads its renewal late, for one moment. */
function readLate(faults: Faults): World {
  const world = new World(faults);
  runCalm(world, 500);
  const holder = world.contenders.find(({role}) => role.state === 'holding');
  if (!holder) throw new Error('nobody holds the lease');
  const before = world.tape.entries.length;
  while (world.tape.entries.length === before) {
    holder.cut = true;
    world.advance(STEP_MILLISECONDS);
  }
  world.advance(3_500);
  holder.cut = false;
  world.advance(STEP_MILLISECONDS);
  holder.cut = true;
  holder.silent = true;
  world.advance(6_000);
  return world;
}

test('a renewal that is read late lets nobody hold for longer', t => {
  t.notThrows(() => readLate({}));
});

test('the check notices a holder that counts from its read', t => {
  t.throws(() => readLate({countsFromRead: true}), {
    message: 'two hosts believe they are in charge',
  });
});

/** Everything lands at once, as on a good day. */
function runCalm(world: World, duration: number): void {
  world.advance(duration);
}

test('a lease passes on within twice its time when its holder freezes', t => {
  const world = new World({});
  runCalm(world, 3_000);
  const holder = world.contenders.find(({role}) => role.state === 'holding');
  t.truthy(holder);
  if (holder) holder.frozen = true;
  runCalm(world, 2 * LEASE_MILLISECONDS);
  const others = world.contenders.filter(
    contender =>
      contender !== holder &&
      mayAct(contender.role, world.now + contender.skew),
  );
  t.is(others.length, 1);
});

test('a released lease passes on at once', t => {
  const world = new World({});
  runCalm(world, 3_000);
  const holder = world.contenders.find(({role}) => role.state === 'holding');
  if (holder) {
    world.leave(holder);
    holder.cut = true;
  }
  runCalm(world, 2_000);
  const next = world.contenders.find(
    contender => contender !== holder && contender.role.state === 'holding',
  );
  t.truthy(next);
});

test('racing claims are settled alike for every reader', t => {
  let leases: Leases = new Map();
  const claim = {
    kind: 'lease',
    lease: LEASE,
    action: 'claim',
    follows: -1,
  } as const;
  const rest = {token: 1, duration: LEASE_MILLISECONDS};
  leases = foldLease(leases, {...claim, ...rest, holder: 'one'}, 7);
  leases = foldLease(leases, {...claim, ...rest, holder: 'other'}, 8);
  t.is(leases.get(LEASE)?.holder, 'one');
  t.is(leases.get(LEASE)?.fence, 7);
});

test('a holder stops a flight before its lease is up', t => {
  const held: LeaseRole = {
    ...following(LEASE, 'host-1', 0, 0),
    state: 'holding',
    actsFrom: 0,
    heldUntil: LEASE_MILLISECONDS,
  };
  const last = LEASE_MILLISECONDS - FLIGHT_MILLISECONDS;
  t.true(mayAct(held, last - 1));
  t.false(mayAct(held, last));
});
