/**
 * Host processes none of whose seeds is alive any more: they find each other
 * through the store, or through the seeds of settings that were read again, each
 * without the other. Guards against hosts that each take a whole limit.
 */
import {readFileSync, writeFileSync} from 'node:fs';

import test, {type ExecutionContext} from 'ava';

import {HOSTS_TOPIC} from '../source/hostregistry/index.js';
import {
  EdgeFleet,
  holdsWithin,
  type HostProcess,
} from './support/edgeprocess.js';

const KEY = 'key';
/** Time after which hosts that cannot find each other have tried to. */
const TRIED_MILLISECONDS = 3_000;

/** Time in which hosts that can find each other have done so. */
const FOUND_MILLISECONDS = 20_000;

const comesTo = (holds: () => boolean) =>
  holdsWithin(FOUND_MILLISECONDS, holds);

/** The names of the hosts that a host has had pulses of since its start. */
function foundBy(host: HostProcess): unknown[] {
  return host.lines
    .filter(({event}) => event === 'host-found')
    .map(({fields}) => fields['name']);
}

/** What a host has last logged of the hosts that share the limits. */
function membershipOf(host: HostProcess): Readonly<Record<string, unknown>> {
  const lines = host.lines.filter(({event}) => event === 'membership');
  return lines[lines.length - 1]?.fields ?? {};
}

async function startFleet(t: ExecutionContext): Promise<EdgeFleet> {
  const fleet = await EdgeFleet.start(t);
  fleet.configure([KEY]);
  await fleet.endpoint('register-1');
  return fleet;
}

/** Two hosts that were started again after all, also their three seeds, were killed. */
async function restartWithoutSeeds(
  fleet: EdgeFleet,
): Promise<[HostProcess, HostProcess]> {
  const before: HostProcess[] = [];
  for (let number = 0; number < 5; number++)
    before.push(await fleet.host(`host-${number}`));
  await Promise.all(before.map(host => fleet.ready(host)));
  for (const {child} of before) child.kill('SIGKILL');
  await Promise.all(before.map(({ended}) => ended));
  const [, , , one, other] = before;
  if (!one || !other) throw new Error('too few hosts');
  const restarted = [fleet.restart(one), fleet.restart(other)] as const;
  await Promise.all(restarted.map(host => fleet.ready(host)));
  return [...restarted];
}

/** Lets the settings of a host name a seed, and tells the host so. */
function changeSeed(host: HostProcess, seed: string): void {
  const settings = JSON.parse(readFileSync(host.settings, 'utf8')) as object;
  const changed = {...settings, seedNodes: [seed]};
  writeFileSync(host.settings, JSON.stringify(changed));
  host.child.kill('SIGHUP');
}

test('hosts that start again without a live seed find each other through the store', async t => {
  const fleet = await startFleet(t);
  const [one, other] = await restartWithoutSeeds(fleet);
  t.true(await comesTo(() => foundBy(one).includes(other.name)));
  t.true(await comesTo(() => foundBy(other).includes(one.name)));
  t.true(await comesTo(() => membershipOf(one)['hosts'] === 2));
  t.true(await comesTo(() => membershipOf(other)['hosts'] === 2));
  t.is(membershipOf(one)['confidence'], 'confirmed');
  t.is(membershipOf(one)['digest'], membershipOf(other)['digest']);
});

test('hosts without a live seed find each other once their settings name one, without the store', async t => {
  const fleet = await startFleet(t);
  fleet.site.faults.busyTopics = new Set([HOSTS_TOPIC]);
  const [one, other] = await restartWithoutSeeds(fleet);
  await new Promise(resolve => setTimeout(resolve, TRIED_MILLISECONDS));
  t.deepEqual([...foundBy(one), ...foundBy(other)], []);
  t.is(membershipOf(one)['confidence'], 'unconfirmed');
  changeSeed(one, other.control);
  t.true(await comesTo(() => foundBy(one).includes(other.name)));
  t.true(await comesTo(() => foundBy(other).includes(one.name)));
});

test('two groups of hosts that were started apart find each other once the store lets them', async t => {
  const fleet = await startFleet(t);
  fleet.site.faults.busyTopics = new Set([HOSTS_TOPIC]);
  const [first, second] = [await fleet.host('a-0'), await fleet.host('a-1')];
  fleet.knowsOthers = false;
  const alone = await fleet.host('b-0');
  await Promise.all([first, second, alone].map(host => fleet.ready(host)));
  t.true(await comesTo(() => foundBy(first).includes('a-1')));
  t.deepEqual(foundBy(alone), []);
  fleet.site.faults.busyTopics = new Set();
  t.true(await comesTo(() => foundBy(alone).length === 2));
  t.true(await comesTo(() => membershipOf(second)['hosts'] === 3));
  t.is(membershipOf(alone)['hosts'], 3);
});

test('hosts that were all replaced at new addresses in turn know each other, though no first seed lives', async t => {
  const fleet = await startFleet(t);
  let hosts = [await fleet.host('host-0'), await fleet.host('host-1')];
  await Promise.all(hosts.map(host => fleet.ready(host)));
  fleet.knowsOthers = false;
  for (let round = 2; round < 5; round++) {
    const added = await fleet.host(`host-${round}`);
    await fleet.ready(added);
    t.true(
      await comesTo(() => membershipOf(added)['hosts'] === hosts.length + 1),
    );
    const [removed, ...kept] = hosts;
    removed?.child.kill('SIGTERM');
    await removed?.ended;
    hosts = [...kept, added];
  }
  const [one, other] = hosts;
  if (!one || !other) throw new Error('too few hosts');
  t.true(await comesTo(() => membershipOf(one)['hosts'] === 2));
  t.true(await comesTo(() => membershipOf(other)['hosts'] === 2));
  t.is(membershipOf(one)['digest'], membershipOf(other)['digest']);
});
