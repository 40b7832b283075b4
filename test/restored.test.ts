/**
 * The store comes back from a copy that is some seconds old: what was written
 * since is gone, and offsets are given out again. Guards against hosts that take
 * an offset for a name that stays true: they would pass over what is written
 * anew, go back behind what was in force, or send to endpoints that have left.
 */
import test, {type ExecutionContext} from 'ava';

import type {Site, SiteCopy} from '../standins/site.js';
import {EdgeFleet, until, type HostProcess} from './support/edgeprocess.js';

/** Time for which the store is away. */
const AWAY_MILLISECONDS = 600;
/** Time within which a confirmed change is in force. */
const IN_FORCE_MILLISECONDS = 2_000;
/** Time within which a zone that is taken out gets nothing. */
const ZONE_OUT_MILLISECONDS = 5_000;

function pause(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}

/** The store is away and comes back from a copy. */
async function restore(fleet: EdgeFleet, copy: SiteCopy): Promise<void> {
  fleet.site.faults.away = true;
  await pause(AWAY_MILLISECONDS);
  fleet.site.restore(copy);
  fleet.site.faults.away = false;
}

async function servesWithin(
  t: ExecutionContext,
  [fleet, host]: readonly [EdgeFleet, HostProcess],
  key: string,
  duration: number,
): Promise<void> {
  const startedAt = performance.now();
  await until(
    async () =>
      (await fleet.read(host, key))[0] === 200 ||
      performance.now() - startedAt > duration,
  );
  t.is((await fleet.read(host, key))[0], 200, `${host.name}, key ${key}`);
}

/** Two hosts that have begun with the configuration whose key is `first`. */
async function start(
  t: ExecutionContext,
): Promise<{fleet: EdgeFleet; hosts: HostProcess[]}> {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['first']);
  const hosts = [await fleet.host('host-1'), await fleet.host('host-2')];
  for (const host of hosts) {
    await fleet.ready(host);
    await until(async () => (await fleet.read(host, 'first'))[0] === 200);
  }
  return {fleet, hosts};
}

/** Resolves when each host serves requests with a key. */
async function allServe(
  fleet: EdgeFleet,
  hosts: readonly HostProcess[],
  key: string,
): Promise<void> {
  for (const host of hosts)
    await until(async () => (await fleet.read(host, key))[0] === 200);
}

/** Starts an endpoint, and resolves when each host has sent to it. */
async function startSecondEndpoint(
  fleet: EdgeFleet,
  hosts: readonly HostProcess[],
): Promise<void> {
  await fleet.endpoint('register-2');
  for (const host of hosts)
    await until(
      async () => (await fleet.read(host, 'first'))[1] === 'register-2',
    );
}

/** Sends requests to all hosts until a condition holds. */
async function readUntil(
  fleet: EdgeFleet,
  hosts: readonly HostProcess[],
  isMet: () => boolean,
): Promise<void> {
  await until(async () => {
    for (const host of hosts) await fleet.read(host, 'first');
    return isMet();
  });
}

/** The usage reports of all hosts so far. */
function usageReports({site}: EdgeFleet): Site['duties'] {
  return site.duties.filter(({path}) => path === '/usage');
}

/** No window has two sets of figures, and no fencing token is followed by a lower one. */
function checkReports(t: ExecutionContext, fleet: EdgeFleet): void {
  const figures = new Map<unknown, string>();
  let fence = 0;
  for (const report of usageReports(fleet)) {
    const {windowId, counts} = report.body;
    const text = JSON.stringify(counts);
    t.is(figures.get(windowId) ?? text, text, `window ${String(windowId)}`);
    figures.set(windowId, text);
    t.true(report.fence >= fence, `fence ${report.fence} after ${fence}`);
    fence = report.fence;
  }
}

test('a change that is confirmed after the store was restored is in force in time', async t => {
  const {fleet, hosts} = await start(t);
  const copy = fleet.site.copy();
  for (const key of ['second', 'third']) {
    fleet.configure([key]);
    await allServe(fleet, hosts, key);
  }
  await restore(fleet, copy);
  await pause(500);
  fleet.configure(['fourth']);
  for (const host of hosts)
    await servesWithin(t, [fleet, host], 'fourth', IN_FORCE_MILLISECONDS);
});

test('a change that is written anew over the offset of a lost one is in force in time', async t => {
  const {fleet, hosts} = await start(t);
  const copy = fleet.site.copy();
  fleet.configure(['second']);
  await allServe(fleet, hosts, 'second');
  fleet.site.faults.away = true;
  await pause(AWAY_MILLISECONDS);
  fleet.site.restore(copy);
  fleet.configure(['third']);
  fleet.site.faults.away = false;
  for (const host of hosts)
    await servesWithin(t, [fleet, host], 'third', IN_FORCE_MILLISECONDS);
});

test('no host goes back behind the configuration that it had in force', async t => {
  const {fleet, hosts} = await start(t);
  const copy = fleet.site.copy();
  fleet.configure(['second']);
  await allServe(fleet, hosts, 'second');
  await restore(fleet, copy);
  const endAt = performance.now() + IN_FORCE_MILLISECONDS;
  while (performance.now() < endAt) {
    for (const host of hosts) {
      t.is((await fleet.read(host, 'second'))[0], 200, host.name);
      t.is((await fleet.read(host, 'first'))[0], 401, host.name);
    }
  }
});

test('an endpoint that has left gets nothing though the restored copy calls it ready', async t => {
  const {fleet, hosts} = await start(t);
  await startSecondEndpoint(fleet, hosts);
  const copy = fleet.site.copy();
  fleet.enter('register-2', '127.0.0.1:1', 'draining', 'v1', 2);
  const isLeaving = ({lines}: HostProcess) =>
    lines.some(({fields}) => fields['state'] === 'leaving');
  await until(() => hosts.every(isLeaving));
  await restore(fleet, copy);
  const before = fleet.seen.get('register-2');
  const endAt = performance.now() + 2 * IN_FORCE_MILLISECONDS;
  while (performance.now() < endAt) {
    for (const host of hosts) await fleet.read(host, 'first');
  }
  t.is(fleet.seen.get('register-2'), before);
});

test('an endpoint that is gone gets nothing though the restored copy calls it ready', async t => {
  const {fleet, hosts} = await start(t);
  await startSecondEndpoint(fleet, hosts);
  const copy = fleet.site.copy();
  fleet.remove('register-2');
  const isGone = ({lines}: HostProcess) =>
    lines.some(({fields}) => fields['state'] === 'gone');
  await until(() => hosts.every(isGone));
  await restore(fleet, copy);
  const before = fleet.seen.get('register-2');
  const endAt = performance.now() + IN_FORCE_MILLISECONDS;
  while (performance.now() < endAt) {
    for (const host of hosts) await fleet.read(host, 'first');
  }
  t.is(fleet.seen.get('register-2'), before);
});

test('a zone that was taken out stays out until the operator has written it again', async t => {
  const {fleet, hosts} = await start(t);
  const copy = fleet.site.copy();
  fleet.site.put('keyed.op', 'evacuate/palermo', {});
  for (const host of hosts)
    await until(async () => (await fleet.read(host, 'first'))[0] !== 200);
  await restore(fleet, copy);
  const before = fleet.seen.get('register-1');
  await pause(IN_FORCE_MILLISECONDS);
  fleet.site.put('keyed.op', 'evacuate/palermo', {});
  const endAt = performance.now() + ZONE_OUT_MILLISECONDS;
  while (performance.now() < endAt)
    await Promise.all(hosts.map(host => fleet.read(host, 'first')));
  t.is(fleet.seen.get('register-1'), before);
});

test('a leader of a restored store reports no window with other figures than the one before it', async t => {
  const {fleet, hosts} = await start(t);
  const reports = () => usageReports(fleet);
  await until(() => reports().length >= 2);
  const copy = fleet.site.copy();
  const before = reports().length;
  await readUntil(fleet, hosts, () => reports().length >= before + 3);
  const [first] = reports();
  const members = new Map([...copy.members].reverse());
  await restore(fleet, {...copy, members});
  const byOther = () =>
    reports().filter(({holder}) => holder !== first?.holder).length;
  await until(() => byOther() >= 3);
  checkReports(t, fleet);
});

test('a leader that started after a restore reports no window with other figures than the leader that was lost', async t => {
  const {fleet, hosts} = await start(t);
  const reports = () => usageReports(fleet);
  await until(() => reports().length >= 2);
  const copy = fleet.site.copy();
  const before = reports().length;
  await readUntil(fleet, hosts, () => reports().length >= before + 3);
  const holder = reports()[0]?.holder;
  const leader = hosts.find(({name}) => name === holder);
  const other = hosts.find(({name}) => name !== holder);
  fleet.site.faults.away = true;
  leader?.child.kill('SIGKILL');
  other?.child.kill('SIGSTOP');
  await pause(AWAY_MILLISECONDS);
  fleet.site.restore({...copy, members: new Map()});
  fleet.site.faults.away = false;
  await fleet.ready(await fleet.host('host-3'));
  await pause(500);
  other?.child.kill('SIGCONT');
  const after = reports().length;
  await until(() => reports().length >= after + 3);
  checkReports(t, fleet);
});

test('usage of a window is reported with the same figures, and the leader reports on', async t => {
  const {fleet, hosts} = await start(t);
  const reports = () => usageReports(fleet);
  await until(() => reports().length >= 2);
  for (let round = 0; round < 3; round++) {
    const copy = fleet.site.copy();
    const before = reports().length;
    await readUntil(fleet, hosts, () => reports().length >= before + 2);
    await restore(fleet, copy);
  }
  const after = reports().length;
  await until(() => reports().length >= after + 3);
  checkReports(t, fleet);
});
