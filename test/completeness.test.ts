/**
 * What the hosts of a large fleet believe of a topic, whatever order of full pages,
 * partial pages, lost messages, restarts and restores they see. Guards against
 * taking a part of the records for all of them: a host that started again while it
 * could not reach the store never learned that a zone was evacuated.
 */
import test from 'ava';
import fc from 'fast-check';

import {BeliefWorld} from './support/beliefworld.js';
import {parameters} from './support/fuzz.js';

const HOSTS = 14;
/** A host that feeds no others and does not follow the store for them. */
const FED_HOST = 13;
/** Time after which all hosts that are in touch know what was written. */
const QUIET_MILLISECONDS = 8_000;
const RUNS = 150;
const KEYS = ['config', 'evacuate/palermo', 'engine-1', 'engine-2'];

/** Something that happens to the fleet. */
interface Happening {
  readonly text: string;
  readonly run: (world: BeliefWorld) => void;
}

/** Hosts that something happens to: a few, so that it happens to one repeatedly. */
const host = fc.constantFrom(0, 5, 12, FED_HOST);
const write = fc
  .tuple(fc.constantFrom(...KEYS), fc.boolean(), fc.nat())
  .map(([key, isRemoved, number]): Happening => ({
    text: `write ${key} ${isRemoved ? '' : number}`,
    run: world => world.write(key, isRemoved ? undefined : String(number)),
  }));
const others: Array<fc.Arbitrary<Happening>> = [
  fc.tuple(host, fc.boolean()).map(([index, isCut]): Happening => ({
    text: `cut ${index} from the store ${isCut}`,
    run: world => world.cutFromStore(index, isCut),
  })),
  fc.tuple(host, fc.boolean()).map(([index, isApart]): Happening => ({
    text: `set ${index} apart ${isApart}`,
    run: world => world.setApart(index, isApart),
  })),
  fc
    .tuple(host, fc.integer({min: 1, max: 6}))
    .map(([index, count]): Happening => ({
      text: `lose ${count} to ${index}`,
      run: world => world.loseMessages(index, count),
    })),
  host.map((index): Happening => ({
    text: `restart ${index}`,
    run: world => world.restart(index),
  })),
  fc.constant<Happening>({
    text: 'forget history',
    run: world => world.forgetHistory(),
  }),
  fc.integer({min: 1, max: 4}).map((lost): Happening => ({
    text: `restore without ${lost}`,
    run: world => world.restore(lost),
  })),
];

/** Hosts of an older program, as during a release; none of those above. */
const older = fc.subarray([1, 2, 3, 4, 6, 7, 8, 9, 10, 11]);

const day = fc.array(
  fc.record({
    happening: fc.oneof({arbitrary: write, weight: others.length}, ...others),
    pause: fc.constantFrom(0, 50, 100, 250, 1_200, 3_000),
  }),
  {minLength: 1, maxLength: 30},
);

test('whatever a host sees, its belief equals the store once it is in touch and quiet', async t => {
  const property = fc.asyncProperty(day, older, async (steps, olderHosts) => {
    const world = new BeliefWorld(HOSTS, olderHosts);
    await world.pass(1_500);
    for (const {happening, pause} of steps) {
      happening.run(world);
      await world.pass(pause);
    }
    world.heal();
    await world.pass(QUIET_MILLISECONDS);
    world.stop();
    const wrong = world.wrongBeliefs();
    if (wrong.length === 0) return true;
    const texts = steps.map(
      ({happening: {text}, pause}) => `${text}, ${pause} ms`,
    );
    throw new Error(`${wrong.join('; ')} after ${texts.join('; ')}`);
  });
  const chosen = parameters(RUNS);
  t.log(`seed ${chosen.seed}, ${chosen.numRuns} runs`);
  const details = await fc.check(property, chosen);
  if (details.failed) t.log(fc.defaultReportMessage(details));
  t.false(details.failed);
});

test('a host that starts again without the store learns what was written before, not only what is new', async t => {
  const world = new BeliefWorld(HOSTS);
  await world.pass(2_000);
  world.write('evacuate/palermo', 'true');
  // The first record comes before a report that says how much more there is.
  await world.pass(2_050);
  world.cutFromStore(FED_HOST, true);
  world.restart(FED_HOST);
  for (let version = 0; version < 12; version++) {
    world.write('config', String(version));
    await world.pass(100);
  }
  world.heal();
  await world.pass(QUIET_MILLISECONDS);
  world.stop();
  t.deepEqual(world.wrongBeliefs(), []);
});

test('a host that knows only new records does not say that it has read the topic', async t => {
  const world = new BeliefWorld(HOSTS);
  await world.pass(2_000);
  world.setApart(FED_HOST, true);
  world.cutFromStore(FED_HOST, true);
  world.restart(FED_HOST);
  await world.pass(500);
  t.false(world.hasLoaded(FED_HOST));
  world.setApart(FED_HOST, false);
  await world.pass(1_000);
  t.true(world.hasLoaded(FED_HOST));
  world.stop();
  t.deepEqual(world.wrongBeliefs(), []);
});

test('a host that has lost a message learns what was in it', async t => {
  const world = new BeliefWorld(HOSTS);
  await world.pass(4_050);
  world.loseMessages(FED_HOST, 3);
  for (const key of ['evacuate/palermo', 'config', 'engine-1', 'engine-2']) {
    world.write(key, 'new');
    await world.pass(100);
  }
  await world.pass(QUIET_MILLISECONDS);
  world.stop();
  t.deepEqual(world.wrongBeliefs(), []);
});
