/**
 * Credits: all hosts together never run more requests at an endpoint than it
 * has slots, and higher tiers are served before lower ones on every host
 * (invariants 1, 2, 8).
 */
import test from 'ava';
import fc from 'fast-check';

import {
  GRANT_LIFETIME_MILLISECONDS,
  allocateShares,
  type HostDemand,
} from '../source/credits/index.js';
import {step, steps} from './support/commands.js';
import {
  CreditsWorld,
  HOSTS,
  REPORT_LAG_MILLISECONDS,
  type Faults,
  type HostModel,
} from './support/creditsworld.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const command = step<CreditsWorld>;
type Command = ReturnType<typeof command>;

function hostCommand(
  name: string,
  run: (world: CreditsWorld, host: HostModel, endpoint: string) => void,
): fc.Arbitrary<Command> {
  return fc
    .tuple(fc.nat(HOSTS - 1), fc.constantFrom('one', 'one', 'two'))
    .map(([index, endpoint]) =>
      command(`${name} ${index} ${endpoint}`, world => {
        const host = world.hosts[index];
        if (host) run(world, host, endpoint);
      }),
    );
}

const deliver = fc
  .nat(9)
  .map(index =>
    command(`deliver ${index}`, world => world.deliver(index, false)),
  );
const ask = hostCommand('ask', (world, host) => world.ask(host));
const start = hostCommand('start', (world, host, endpoint) =>
  world.start(host, endpoint),
);
const report = fc
  .constantFrom(0, 500, REPORT_LAG_MILLISECONDS)
  .map(lag => command(`report ${lag}`, world => world.report(lag)));
const commands = steps(
  [
    deliver,
    deliver,
    deliver,
    ask,
    ask,
    start,
    start,
    start,
    start,
    report,
    report,
    hostCommand('finish', (world, host, endpoint) =>
      world.finish(host, endpoint),
    ),
    fc
      .constantFrom(10, 1_000, GRANT_LIFETIME_MILLISECONDS + 300)
      .map(duration =>
        command(`advance ${duration}`, world => {
          world.now += duration;
        }),
      ),
    fc
      .nat(9)
      .map(index =>
        command(`lose ${index}`, world => world.deliver(index, true)),
      ),
    hostCommand('kill', (world, host) => world.kill(host)),
    fc.constant(command('replace owner', world => world.replaceOwner())),
  ],
  80,
);

let started = 0;

function property(faults: Faults) {
  return fc.property(commands, list => {
    const world = new CreditsWorld(faults);
    world.now = 2 * GRANT_LIFETIME_MILLISECONDS;
    world.check();
    world.report(0);
    for (let round = 0; round < 2 * HOSTS; round++) {
      const next = world.hosts[round % HOSTS];
      if (next) world.ask(next);
      for (let count = 0; count < HOSTS + 1; count++) world.deliver(0, false);
    }
    fc.modelRun(() => ({model: {}, real: world}), list);
    started += world.started;
  });
}

test('no endpoint runs more requests than it has slots, whatever is lost or replaced', t => {
  holds(t, property({}), 4_000);
  t.log(`${started} requests started`);
  t.true(started > 4_000);
});

test('the check detects a new owner that does not wait for old grants to expire', t => {
  isSeenToFail(t, property({skipsInitialWait: true}), 4_000);
});

test('the check detects an owner that forgets its outstanding grants', t => {
  isSeenToFail(t, property({forgetsGrants: true}), 4_000);
});

const classDemand = fc.record({
  name: fc.constantFrom('first-a', 'second-a', 'third-a'),
  running: fc.nat(5),
  waiting: fc.nat(8),
});
const demandLists = fc.array(
  fc.uniqueArray(classDemand, {selector: ({name}) => name, maxLength: 3}),
  {minLength: 1, maxLength: 6},
);
const TIERS: Readonly<Record<string, number>> = {
  'first-a': 1,
  'second-a': 2,
  'third-a': 3,
};

function hostDemands(
  lists: ReadonlyArray<
    ReadonlyArray<{name: string; running: number; waiting: number}>
  >,
  floorShare: number,
): HostDemand[] {
  return lists.map((classes, index) => ({
    host: `host-${index}`,
    classes: classes.map(item => ({
      ...item,
      tier: TIERS[item.name] ?? 3,
      floorShare,
      pressing: item.waiting,
    })),
  }));
}

test('the shares of the hosts add up to exactly all slots', t => {
  holds(
    t,
    fc.property(fc.nat(40), demandLists, (slots, lists) => {
      const {shares} = allocateShares(slots, hostDemands(lists, 0.05));
      const sum = shares.reduce((total, share) => total + share.slots, 0);
      return sum === slots;
    }),
    2_000,
  );
});

test('without floors, a tier gets slots only once higher tiers need no more', t => {
  holds(
    t,
    fc.property(fc.nat(40), demandLists, (slots, lists) => {
      const hosts = hostDemands(lists, 0);
      const {shares} = allocateShares(slots, hosts);
      const wanted = (host: HostDemand, maxTier: number) =>
        host.classes
          .filter(({tier}) => tier <= maxTier)
          .reduce((sum, {running, waiting}) => sum + running + waiting, 0);
      for (const tier of [1, 2]) {
        const unmet = hosts.some(
          (host, index) => (shares[index]?.slots ?? 0) < wanted(host, tier),
        );
        const beyond = hosts.some(
          (host, index) => (shares[index]?.slots ?? 0) > wanted(host, tier),
        );
        if (unmet && beyond) return false;
      }
      return true;
    }),
    2_000,
  );
});

test('a class with requests on only one host gets its floor on that host', t => {
  const busyHost = (host: string): HostDemand => ({
    host,
    classes: [
      {
        name: 'first-a',
        tier: 1,
        floorShare: 0.05,
        running: 0,
        waiting: 90,
        pressing: 0,
      },
    ],
  });
  const starved: HostDemand = {
    host: 'host-2',
    classes: [
      {
        name: 'third-a',
        tier: 3,
        floorShare: 0.05,
        running: 0,
        waiting: 1,
        pressing: 0,
      },
    ],
  };
  const {shares, pressure} = allocateShares(20, [
    busyHost('host-0'),
    busyHost('host-1'),
    starved,
  ]);
  t.is(shares[2]?.slots, 1);
  t.is(pressure, 0);
});
