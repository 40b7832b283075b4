/**
 * Leases: no two hosts act for one lease at the same time, and no call of a
 * former holder arrives after one of its successor (invariants 6 and 7).
 */
import test from 'ava';
import fc from 'fast-check';

import {
  applyLeaseRecord,
  initialLeaseRole,
  LEASE_DURATION_MILLISECONDS,
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
const MAX_CALL_DELAY_MILLISECONDS = 1_000;

interface SimulatedHost {
  role: LeaseRole;
  leases: Leases;
  next: number;
  readAt: number;
  isFrozen: boolean;
  isCutOff: boolean;
  /** Whether its appends to the log are lost. */
  losesAppends: boolean;
  /** Milliseconds by which its monotonic clock is ahead of the simulation's. */
  readonly skew: number;
}

interface CallInFlight {
  readonly at: number;
  readonly fence: number;
}

/** Faults that can be planted in the lease rules, which the check must find. */
interface PlantedFaults {
  /** A follower claims without waiting for the holder's lease to expire. */
  readonly claimsWithoutWaiting?: boolean;
  /** A holder counts its lease from when it reads its record back. */
  readonly countsFromRead?: boolean;
}

class World {
  now = 0;
  /** Milliseconds between sending an append and its entry in the log. */
  delay = 0;
  readonly tape = new Tape();
  readonly hosts: SimulatedHost[] = [];
  private callsInFlight: CallInFlight[] = [];
  private highestFence = -1;
  claims = 0;

  constructor(private readonly faults: PlantedFaults) {
    for (let index = 0; index < HOSTS; index++) {
      const skew = index * 1_000_000;
      this.hosts.push({
        role: initialLeaseRole(LEASE, `host-${index}`, skew, index * 150),
        leases: new Map(),
        next: 0,
        readAt: -Infinity,
        isFrozen: false,
        isCutOff: false,
        losesAppends: false,
        skew,
      });
    }
  }

  advance(duration: number): void {
    const end = this.now + duration;
    while (this.now < end) {
      this.now += STEP_MILLISECONDS;
      this.tape.landAll(this.now - this.delay);
      for (const host of this.hosts) {
        if (host.isFrozen) continue;
        this.read(host);
        this.tick(host);
      }
      this.deliverCalls();
      this.check();
    }
  }

  read(host: SimulatedHost): void {
    if (host.isCutOff) return;
    const now = this.now + host.skew;
    for (const {offset, value} of this.tape.read(host.next)) {
      const record = logRecordSchema.parse(value);
      if (record.kind !== 'lease') continue;
      host.leases = applyLeaseRecord(host.leases, record, offset);
      const standing = host.leases.get(LEASE);
      this.update(host, {kind: 'read', status: standing, now});
    }
    host.next = this.tape.entries.length;
    host.readAt = now;
  }

  tick(host: SimulatedHost): void {
    const now = this.now + host.skew;
    const {readAt, role} = host;
    if (this.faults.claimsWithoutWaiting)
      host.role = {...role, seenAt: -Infinity};
    this.update(host, {kind: 'tick', now, readAt});
  }

  leave(host: SimulatedHost): void {
    if (host.isFrozen) return;
    this.update(host, {kind: 'leave', now: this.now + host.skew});
  }

  /** If the host may act, it sends a call that arrives after `callDelay`. */
  sendCall(host: SimulatedHost, callDelay: number): void {
    if (host.isFrozen) return;
    const {role, skew} = host;
    if (!mayAct(role, this.now + skew)) return;
    const fence = role.status?.fence ?? -1;
    this.callsInFlight.push({at: this.now + callDelay, fence});
  }

  private update(host: SimulatedHost, event: LeaseEvent): void {
    const before = host.role;
    const {role, append} = updateRole(before, event);
    host.role = role;
    if (this.faults.countsFromRead && event.kind === 'read') {
      if (role.heldUntil !== before.heldUntil && role.heldUntil > 0) {
        host.role = {
          ...role,
          heldUntil: event.now + LEASE_DURATION_MILLISECONDS,
        };
      }
    }
    if (append) {
      if (append.action === 'claim') this.claims++;
      if (!host.losesAppends) this.tape.send(append, this.now);
    }
  }

  /**
   * Delivers the calls that are due. Endpoints that do not check fencing tokens
   * must not get an older one after a newer one.
   */
  private deliverCalls(): void {
    const due = this.callsInFlight.filter(({at}) => at <= this.now);
    this.callsInFlight = this.callsInFlight.filter(({at}) => at > this.now);
    due.sort((one, other) => one.at - other.at);
    for (const {fence} of due) {
      if (fence < this.highestFence)
        throw new Error(
          'a call of a former holder arrived after one of its successor',
        );
      this.highestFence = fence;
    }
  }

  /** Throws if more than one host may act. */
  check(): void {
    const acting = this.hosts.filter(
      ({isFrozen, role, skew}) => !isFrozen && mayAct(role, this.now + skew),
    );
    if (acting.length > 1)
      throw new Error('two hosts believe they are in charge');
  }
}

const command = step<World>;
type Command = ReturnType<typeof command>;

function on(
  name: string,
  run: (world: World, host: SimulatedHost, number: number) => void,
): fc.Arbitrary<Command> {
  const hostIndex = fc.nat(HOSTS - 1);
  return fc
    .tuple(hostIndex, fc.nat(MAX_CALL_DELAY_MILLISECONDS - STEP_MILLISECONDS))
    .map(([index, number]) =>
      command(`${name} ${index} ${number}`, world => {
        const host = world.hosts[index];
        if (host) run(world, host, number);
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
    on('freeze', (_, host) => (host.isFrozen = true)),
    on('thaw', (_, host) => (host.isFrozen = false)),
    on('cut', (_, host) => (host.isCutOff = true)),
    on('heal', (_, host) => (host.isCutOff = false)),
    on('hush', (_, host) => (host.losesAppends = true)),
    on('speak', (_, host) => (host.losesAppends = false)),
    on('leave', (world, host) => world.leave(host)),
    on('order', (world, host, callDelay) => world.sendCall(host, callDelay)),
  ],
  60,
);

function property(faults: PlantedFaults) {
  return fc.property(commands, list => {
    const world = new World(faults);
    fc.modelRun(() => ({model: {}, real: world}), list);
  });
}

test('no two hosts act for a lease at once, whatever is lost, duplicated or frozen', t => {
  holds(t, property({}), 5_000);
});

test('the check detects a follower that does not wait', t => {
  isSeenToFail(t, property({claimsWithoutWaiting: true}), 1_500);
});

/** Lets a holder that is cut off from the log read its renewal once, late. */
function readLate(faults: PlantedFaults): World {
  const world = new World(faults);
  runWithoutFaults(world, 500);
  const holder = world.hosts.find(({role}) => role.state === 'holding');
  if (!holder) throw new Error('nobody holds the lease');
  const before = world.tape.entries.length;
  while (world.tape.entries.length === before) {
    holder.isCutOff = true;
    world.advance(STEP_MILLISECONDS);
  }
  world.advance(3_500);
  holder.isCutOff = false;
  world.advance(STEP_MILLISECONDS);
  holder.isCutOff = true;
  holder.losesAppends = true;
  world.advance(6_000);
  return world;
}

test('a renewal that is read late does not extend the lease', t => {
  t.notThrows(() => readLate({}));
});

test('the check detects a holder that counts its lease from its read', t => {
  t.throws(() => readLate({countsFromRead: true}), {
    message: 'two hosts believe they are in charge',
  });
});

/** Lets time pass without faults: appends take effect at once. */
function runWithoutFaults(world: World, duration: number): void {
  world.advance(duration);
}

test('another host gets the lease of a frozen holder within twice its duration', t => {
  const world = new World({});
  runWithoutFaults(world, 3_000);
  const holder = world.hosts.find(({role}) => role.state === 'holding');
  t.truthy(holder);
  if (holder) holder.isFrozen = true;
  runWithoutFaults(world, 2 * LEASE_DURATION_MILLISECONDS);
  const others = world.hosts.filter(
    host => host !== holder && mayAct(host.role, world.now + host.skew),
  );
  t.is(others.length, 1);
});

test('another host gets a released lease without waiting for it to expire', t => {
  const world = new World({});
  runWithoutFaults(world, 3_000);
  const holder = world.hosts.find(({role}) => role.state === 'holding');
  if (holder) {
    world.leave(holder);
    holder.isCutOff = true;
  }
  runWithoutFaults(world, 2_000);
  const next = world.hosts.find(
    host => host !== holder && host.role.state === 'holding',
  );
  t.truthy(next);
});

test('of two competing claims, the first in the log wins', t => {
  let leases: Leases = new Map();
  const claim = {
    kind: 'lease',
    lease: LEASE,
    action: 'claim',
    follows: -1,
  } as const;
  const rest = {token: 1, duration: LEASE_DURATION_MILLISECONDS};
  leases = applyLeaseRecord(leases, {...claim, ...rest, holder: 'one'}, 7);
  leases = applyLeaseRecord(leases, {...claim, ...rest, holder: 'other'}, 8);
  t.is(leases.get(LEASE)?.holder, 'one');
  t.is(leases.get(LEASE)?.fence, 7);
});

test('a holder stops acting one call delay before its lease expires', t => {
  const held: LeaseRole = {
    ...initialLeaseRole(LEASE, 'host-1', 0, 0),
    state: 'holding',
    actsFrom: 0,
    heldUntil: LEASE_DURATION_MILLISECONDS,
  };
  const last = LEASE_DURATION_MILLISECONDS - MAX_CALL_DELAY_MILLISECONDS;
  t.true(mayAct(held, last - 1));
  t.false(mayAct(held, last));
});
