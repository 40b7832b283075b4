/**
 * Host processes on a stand-in of the users' platform: configurations and keys
 * in force, endpoints that leave and lapse, outages of the store, usage, and a
 * drain (invariants 5, 7, 13 to 15).
 */
import {writeFileSync} from 'node:fs';

import test, {type ExecutionContext} from 'ava';

import type {DutyCall} from '../standins/site.js';
import {EdgeFleet, until, type HostProcess} from './support/edgeprocess.js';

async function reads(
  fleet: EdgeFleet,
  host: HostProcess,
  key: string,
  status: number,
): Promise<void> {
  await until(async () => (await fleet.read(host, key))[0] === status);
}

function hasLine(host: HostProcess, event: string): boolean {
  return host.lines.some(line => line.event === event);
}

test('a host serves when it knows the configuration, and a withdrawn key stops', async t => {
  const fleet = await EdgeFleet.start(t);
  const host = await fleet.host('host-1');
  await reads(fleet, host, 'first', 503);
  await fleet.endpoint('register-1');
  fleet.configure(['first']);
  await fleet.ready(host);
  await reads(fleet, host, 'first', 200);
  t.is((await fleet.read(host, 'second'))[0], 401);
  fleet.configure(['second']);
  await reads(fleet, host, 'first', 401);
  await reads(fleet, host, 'second', 200);
});

test('an endpoint that leaves gets nothing more, by each host', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  await fleet.endpoint('register-2');
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  await until(async () => {
    await fleet.read(host, 'key');
    return fleet.seen.size === 2;
  });
  fleet.enter('register-1', '127.0.0.1:1', 'draining');
  const isLeaving = () =>
    host.lines.some(
      ({event, fields}) =>
        event === 'endpoint' && fields['state'] === 'leaving',
    );
  await until(isLeaving);
  const before = fleet.seen.get('register-1');
  for (let round = 0; round < 10; round++) {
    t.is((await fleet.read(host, 'key'))[1], 'register-2');
  }
  t.is(fleet.seen.get('register-1'), before);
});

test('no request leaves the regions of its team, and it waits rather than go elsewhere', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key'], ['malta']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  await reads(fleet, host, 'key', 503);
  fleet.configure(['key'], ['sicilia']);
  await reads(fleet, host, 'key', 200);
  const before = fleet.seen.get('register-1');
  fleet.configure(['key'], ['malta']);
  await reads(fleet, host, 'key', 503);
  t.is((await fleet.read(host, 'key'))[0], 503);
  t.true((fleet.seen.get('register-1') ?? 0) >= (before ?? 0));
});

test('entries that cannot be read name nothing, and the others hold', async t => {
  const fleet = await EdgeFleet.start(t);
  fleet.site.put('keyed.servers', 'broken', '{"service":');
  fleet.site.put('keyed.servers', 'odd', {service: 'register', address: 7});
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  await reads(fleet, host, 'key', 200);
  // Lines are written in batches, so they may come after the answer.
  const malformed = () =>
    host.lines.filter(({event}) => event === 'record-malformed').length;
  await until(() => malformed() >= 2);
  t.is(malformed(), 2);
});

test('a host that the store turns away gets the records from another', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const first = await fleet.host('host-1');
  await fleet.ready(first);
  await reads(fleet, first, 'key', 200);
  fleet.site.faults.busy = true;
  const second = await fleet.host('host-2');
  await reads(fleet, second, 'key', 200);
  await until(() => hasLine(second, 'records-asked'));
  await until(() => hasLine(second, 'store-lost'));
  t.pass();
});

test('while the store is away requests are served, and its return is noticed', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  await reads(fleet, host, 'key', 200);
  fleet.site.faults.away = true;
  await until(() => hasLine(host, 'store-lost'));
  t.is((await fleet.read(host, 'key'))[0], 200);
  fleet.configure(['other']);
  fleet.site.faults.away = false;
  await reads(fleet, host, 'other', 200);
  t.is((await fleet.read(host, 'key'))[0], 401);
});

test('a history that was dropped costs no change', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  fleet.site.faults.away = true;
  await until(() => hasLine(host, 'store-lost'));
  fleet.configure(['other']);
  fleet.site.forget('keyed.op');
  fleet.site.faults.away = false;
  await reads(fleet, host, 'other', 200);
  await until(() => hasLine(host, 'store-history-lost'));
  t.pass();
});

test('usage of a window is reported once, though appends lose their answers', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const hosts = [await fleet.host('host-1'), await fleet.host('host-2')];
  for (const host of hosts) await fleet.ready(host);
  // Both have entered themselves, so that the appends which are lost are of usage.
  await until(() => hosts.every(isConfirmed));
  fleet.site.faults.loseAppends = 2;
  let served = 0;
  const reports = () => fleet.site.duties.filter(({path}) => path === '/usage');
  const hasCounts = ({body}: DutyCall) =>
    Object.keys(body['counts'] as object).length > 0;
  // Windows from before the first request may be reported too, without counts.
  await until(async () => {
    for (const host of hosts) {
      const [status] = await fleet.read(host, 'key');
      if (status === 200) served++;
    }
    return reports().filter(hasCounts).length >= 3;
  });
  const figures = new Map<unknown, string>();
  let reported = 0;
  for (const {body} of reports()) {
    const text = JSON.stringify(body['counts']);
    t.is(figures.get(body['windowId']) ?? text, text);
    if (!figures.has(body['windowId'])) {
      const counts = body['counts'] as Record<string, number>;
      reported += counts['guides'] ?? 0;
    }
    figures.set(body['windowId'], text);
  }
  t.true(reported > 0 && reported <= served);
  t.is(new Set(reports().map(({holder}) => holder)).size, 1);
});

/** Whether a host has read in the store who the others are. */
function isConfirmed({lines}: HostProcess): boolean {
  return lines.some(({fields}) => fields['confidence'] === 'confirmed');
}

/** Lets one of two hosts serve, kills it, and waits for its usage. */
async function killAfterServing(
  t: ExecutionContext,
  choose: (first: HostProcess, second: HostProcess) => HostProcess,
): Promise<void> {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const first = await fleet.host('host-1');
  await fleet.ready(first);
  await until(() => holds(first));
  const second = await fleet.host('host-2');
  await fleet.ready(second);
  await until(() => hasLine(first, 'host-found'));
  await until(() => hasLine(second, 'host-found'));
  const chosen = choose(first, second);
  let served = 0;
  for (let round = 0; round < 30; round++) {
    if ((await fleet.read(chosen, 'key'))[0] === 200) served++;
  }
  // Some pulses pass, in which the counts reach the other host.
  await new Promise(resolve => setTimeout(resolve, 1_500));
  chosen.child.kill('SIGKILL');
  const reported = () => {
    const counts = new Map<unknown, number>();
    for (const {path, body} of fleet.site.duties) {
      if (path !== '/usage') continue;
      const teams = body['counts'] as Record<string, number>;
      counts.set(body['windowId'], teams['guides'] ?? 0);
    }
    return [...counts.values()].reduce((sum, count) => sum + count, 0);
  };
  await until(() => reported() >= served);
  t.is(reported(), served);
}

function holds({lines}: HostProcess): boolean {
  const terms = lines.filter(({event}) => event === 'duties');
  return terms.at(-1)?.fields['held'] === true;
}

test('what a host had counted is reported though it was killed', async t => {
  await killAfterServing(t, (_, second) => second);
});

test('what the holder of the duties had counted is reported though it was killed', async t => {
  await killAfterServing(t, first => first);
});

test('a host that is told to stop says so, ends its work and exits with 0', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  host.child.kill('SIGTERM');
  await until(() =>
    host.lines.some(({fields}) => fields['state'] === 'draining'),
  );
  t.is((await fleet.read(host, 'key'))[0], 200);
  t.is(await host.ended, 0);
});

test('a signal to reload is obeyed, and a wrong file changes nothing', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  host.child.kill('SIGHUP');
  const reloads = () => host.lines.filter(({event}) => event === 'reload');
  await until(() => reloads().length === 1);
  t.is(reloads()[0]?.fields['outcome'], 'taken');
  writeFileSync(host.settings, '{');
  host.child.kill('SIGHUP');
  await until(() => reloads().length === 2);
  t.is(reloads()[1]?.fields['outcome'], 'refused');
  t.is((await fleet.read(host, 'key'))[0], 200);
});

test('a wrong settings file is named in one line, and the process exits with 2', async t => {
  const fleet = await EdgeFleet.start(t);
  const host = await fleet.host('host-1', '{"nodeId": "host-1"}');
  let text = '';
  host.child.stderr?.on('data', (part: Buffer) => (text += part.toString()));
  t.is(await host.ended, 2);
  t.regex(text, /^arbutusslip-edge: .*settings\.json: zone: .*\n$/);
});
