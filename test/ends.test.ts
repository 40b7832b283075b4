/** What a host process says when it ends: its log tells the causes apart. */
import {spawnSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';

import test, {type ExecutionContext} from 'ava';

import {
  EdgeFleet,
  until,
  type HostProcess,
  type HostSettings,
  type Line,
  type LaunchFlags,
} from './support/edgeprocess.js';

/** Least a Node process takes, so that its limit is near from its start. */
const SMALL_LIMIT_MEGABYTES = 40;
const WAIT_MILLISECONDS = 15_000;

async function startFleet(t: ExecutionContext): Promise<EdgeFleet> {
  t.timeout(2 * WAIT_MILLISECONDS);
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  return fleet;
}

async function startHost(
  t: ExecutionContext,
  flags: LaunchFlags = {},
): Promise<HostProcess> {
  const fleet = await startFleet(t);
  const host = await fleet.host('host-1', undefined, undefined, flags);
  await fleet.ready(host);
  return host;
}

/** The exit code of a host, or `runs on` if it does not end in time. */
function endOf({ended}: HostProcess): Promise<number | null | string> {
  const late = new Promise<string>(resolve => {
    setTimeout(() => resolve('runs on'), WAIT_MILLISECONDS).unref();
  });
  return Promise.race([ended, late]);
}

/** The lines `end` of a host; there is to be one. */
function endLines({lines}: HostProcess): Line[] {
  return lines.filter(({event}) => event === 'end');
}

test('the last line of a host that is told to stop names the signal', async t => {
  const host = await startHost(t);
  host.child.kill('SIGTERM');
  t.is(await endOf(host), 0);
  t.is(endLines(host).length, 1);
  t.is(host.lines.at(-1)?.event, 'end');
  const fields = host.lines.at(-1)?.fields ?? {};
  t.like(fields, {
    cause: 'signal',
    signal: 'SIGTERM',
    exitCode: 0,
    memoryLimitMegabytes: 200,
  });
  t.true(Number(fields['memoryMegabytes']) > 0);
  t.true(Number(fields['uptimeSeconds']) > 0);
});

test('wrong settings are named in a structured line on standard output', async t => {
  const fleet = await startFleet(t);
  const host = await fleet.host('host-1', '{');
  t.is(await endOf(host), 2);
  t.regex(host.errors.join(''), /^arbutusslip-edge: .*settings\.json: .*\n$/);
  t.is(endLines(host).length, 1);
  t.like(endLines(host)[0]?.fields, {
    cause: 'settings',
    exitCode: 2,
    setting: host.settings,
  });
});

test('a flag that is wrong is named in a structured line on standard output', t => {
  const {status, stdout, stderr} = spawnSync(
    process.execPath,
    ['dist/arbutusslip-edge.js', '--log-level=loud'],
    {timeout: WAIT_MILLISECONDS},
  );
  t.is(status, 2);
  t.regex(stderr.toString(), /log-level/);
  t.regex(stdout.toString(), /^\{"time":.*"event":"end".*\}\n$/);
  t.regex(stdout.toString(), /"cause":"settings","exitCode":2/);
});

test('an uncaught error is the cause in the last line of its host', async t => {
  const node = ['--import=./test/support/throwonsignal.mjs'];
  const host = await startHost(t, {node});
  host.child.kill('SIGUSR2');
  t.is(await endOf(host), 1);
  t.true(host.lines.some(({event}) => event === 'uncaught-error'));
  t.like(endLines(host)[0]?.fields, {
    cause: 'uncaught-error',
    exitCode: 1,
    detail: 'thrown by a test',
  });
});

test('an uncaught error before the host has a log is told in a structured line', async t => {
  const fleet = await startFleet(t);
  const flags = {
    node: ['--import=./test/support/throwatstart.mjs'],
    program: [`--statsd=${fleet.site.address}`],
  };
  const host = await fleet.host('host-1', undefined, undefined, flags);
  t.is(await endOf(host), 1);
  t.like(endLines(host)[0]?.fields, {
    cause: 'uncaught-error',
    exitCode: 1,
    detail: 'thrown by a test',
  });
  t.regex(host.errors.join(''), /thrown by a test/);
});

test('a host says that its memory is near the limit of its settings', async t => {
  const fleet = await startFleet(t);
  fleet.changeSettings = (settings: HostSettings) => ({
    ...settings,
    limits: {memoryMb: SMALL_LIMIT_MEGABYTES},
  });
  const host = await fleet.host('host-1');
  const near = () =>
    host.lines.find(({event}) => event === 'memory-near-limit');
  await Promise.race([until(() => near() !== undefined), endOf(host)]);
  t.like(near()?.fields, {memoryLimitMegabytes: SMALL_LIMIT_MEGABYTES});
  t.is(host.lines.filter(({event}) => event === 'memory-near-limit').length, 1);
});

test('a log whose reader has gone does not keep a host from its end', async t => {
  const host = await startHost(t);
  host.child.stdout?.destroy();
  host.child.stderr?.destroy();
  host.child.kill('SIGTERM');
  t.is(await endOf(host), 0);
});

test('a settings file that comes late is read when the host is started anew', async t => {
  const fleet = await startFleet(t);
  const host = await fleet.host('host-1');
  host.child.kill('SIGKILL');
  await host.ended;
  const folder = `${host.settings}.gone`;
  const lost = fleet.restart({...host, settings: folder});
  t.is(await endOf(lost), 2);
  t.like(endLines(lost)[0]?.fields, {cause: 'settings', setting: folder});
  writeFileSync(folder, JSON.stringify({}));
  const empty = fleet.restart({...host, settings: folder});
  t.is(await endOf(empty), 2);
  t.regex(
    String(endLines(empty)[0]?.fields['detail']),
    /nodeId.*listen\.front/,
  );
});
