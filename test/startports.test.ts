/** Host processes that start while a port of theirs is taken or is not theirs. */
import {readFileSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';

import test, {type ExecutionContext} from 'ava';

import {
  EdgeFleet,
  statusOf,
  type HostPlace,
  type HostProcess,
} from './support/edgeprocess.js';
import {HeldPort} from './support/heldport.js';
import {KeptCaller} from './support/keptcaller.js';

const POLL_MILLISECONDS = 20;
/** Time for which a port is taken at the start of a host. */
const TAKEN_MILLISECONDS = 1_000;
/** Time within which a host is to get where it is expected. */
const MAX_WAIT_MILLISECONDS = 10_000;
/** Exit code of a host that cannot have a port at all. */
const PORT_EXIT_CODE = 3;
/** An address that is reserved for documentation, so of no machine. */
const FOREIGN_ADDRESS = '192.0.2.1';

type Role = 'callers' | 'readiness' | 'control' | 'metrics';

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

/** Whether something comes to hold within the longest wait. */
async function comesToHold(
  holds: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const end = performance.now() + MAX_WAIT_MILLISECONDS;
  while (performance.now() < end) {
    if (await holds()) return true;
    await wait(POLL_MILLISECONDS);
  }
  return false;
}

/** The exit code of a host, or that it still runs after the longest wait. */
function endOf(host: HostProcess): Promise<number | null | 'runs'> {
  const runs = wait(MAX_WAIT_MILLISECONDS).then(() => 'runs' as const);
  return Promise.race([host.ended, runs]);
}

const isReady = (host: HostProcess) =>
  comesToHold(async () => (await statusOf(host.readiness, '/')) === 200);

/** Whether a host logs an event of a port; lines are written in batches. */
const logs = (host: HostProcess, event: string, role: Role) =>
  comesToHold(() =>
    host.lines.some(
      line => line.event === event && line.fields['role'] === ROLE_NAMES[role],
    ),
  );

const hasStarted = ({lines}: HostProcess) =>
  lines.some(({event}) => event === 'start');

/** The names of the ports in logs. */
const ROLE_NAMES = {
  callers: 'front',
  readiness: 'readiness',
  control: 'control',
  metrics: 'metrics',
} as const;

interface Scene {
  readonly fleet: EdgeFleet;
  readonly host: HostProcess;
  /** Frees the port that is taken. */
  readonly release: () => void;
}

/** Starts a host while one of its ports is taken. */
async function startWithTaken(
  t: ExecutionContext,
  role: Role,
  delay = 0,
): Promise<Scene> {
  const fleet = await EdgeFleet.start(t);
  fleet.routeTimeoutMilliseconds = 6_000;
  await fleet.endpoint('register-1', delay);
  fleet.configure(['key']);
  const place = await fleet.place('host-1');
  const held = await HeldPort.take(place[role]);
  t.teardown(() => held.release());
  const host = fleet.launch(place);
  t.true(await comesToHold(() => hasStarted(host)), host.errors.join(''));
  return {fleet, host, release: () => held.release()};
}

function isAlive(t: ExecutionContext, {child, errors}: HostProcess): void {
  t.is(child.exitCode, null, errors.join(''));
  t.is(child.signalCode, null);
}

/** The metrics of a host; empty where it shows none. */
async function metricsOf(place: HostPlace): Promise<string> {
  try {
    const response = await fetch(`http://${place.metrics}/metrics`, {
      signal: AbortSignal.timeout(TAKEN_MILLISECONDS),
    });
    return await response.text();
  } catch {
    return '';
  }
}

test('a host becomes ready and serves though its metrics port is taken, and shows its metrics once that is free', async t => {
  const {fleet, host, release} = await startWithTaken(t, 'metrics');
  t.true(await isReady(host));
  t.is((await fleet.read(host, 'key'))[0], 200);
  t.true(await logs(host, 'port-taken', 'metrics'));
  release();
  t.true(
    await comesToHold(async () =>
      (await metricsOf(host)).includes('arbutusslip_request_total'),
    ),
  );
  t.regex(await metricsOf(host), /arbutusslip_port_taken_total\{.*metrics/);
  t.true(await logs(host, 'port-opened', 'metrics'));
  isAlive(t, host);
});

test('a host whose front port is taken for a second becomes ready and serves once it is free', async t => {
  const {fleet, host, release} = await startWithTaken(t, 'callers');
  await wait(TAKEN_MILLISECONDS);
  t.not(await statusOf(host.readiness, '/'), 200);
  release();
  t.true(await isReady(host));
  t.is((await fleet.read(host, 'key'))[0], 200);
  t.true(await logs(host, 'port-taken', 'callers'));
  t.true(await logs(host, 'port-opened', 'callers'));
  isAlive(t, host);
});

test('a host whose readiness port is taken for a second does not end and is ready once it is free', async t => {
  const {fleet, host, release} = await startWithTaken(t, 'readiness');
  await wait(TAKEN_MILLISECONDS);
  isAlive(t, host);
  release();
  t.true(await isReady(host));
  t.is((await fleet.read(host, 'key'))[0], 200);
});

test('requests in progress at SIGTERM are answered though the control port was taken at the start', async t => {
  const {fleet, host} = await startWithTaken(t, 'control', 700);
  t.true(await isReady(host));
  const callers = Array.from({length: 6}, () => new KeptCaller(host.callers));
  t.teardown(() => callers.forEach(caller => caller.stop()));
  const answers = callers.map(caller => caller.ask({path: '/read/1'}));
  t.true(await comesToHold(() => fleet.seen.get('register-1') === 6));
  host.child.kill('SIGTERM');
  const statuses = (await Promise.all(answers)).map(({status}) => status);
  t.deepEqual(statuses, [200, 200, 200, 200, 200, 200]);
  t.is(await endOf(host), 0);
});

test('a host whose control port is taken for a second takes a reload and finds the others once it is free', async t => {
  const {fleet, host, release} = await startWithTaken(t, 'control');
  t.true(await isReady(host));
  host.child.kill('SIGHUP');
  const hasReloaded = () => host.lines.some(({event}) => event === 'reload');
  t.true(await comesToHold(hasReloaded));
  const other = await fleet.host('host-2');
  await wait(TAKEN_MILLISECONDS);
  release();
  const knowsOther = ({lines}: HostProcess) =>
    lines.some(({event}) => event === 'host-found');
  t.true(await comesToHold(() => knowsOther(host) && knowsOther(other)));
  isAlive(t, host);
});

for (const role of ['callers', 'readiness'] as const) {
  test(`SIGTERM while a host waits for its ${role} port ends it with code 0`, async t => {
    const {host} = await startWithTaken(t, role);
    t.true(await logs(host, 'port-taken', role));
    host.child.kill('SIGTERM');
    t.is(await endOf(host), 0);
  });
}

for (const role of ['callers', 'readiness', 'control'] as const) {
  test(`a host whose ${role} address is not of this machine ends at once with one line and a code of its own`, async t => {
    const fleet = await EdgeFleet.start(t);
    fleet.configure(['key']);
    const place = await fleet.place('host-1');
    const port = place[role].slice(place[role].lastIndexOf(':'));
    const text = readFileSync(place.settings, 'utf8');
    const foreign = text.replace(place[role], `${FOREIGN_ADDRESS}${port}`);
    writeFileSync(place.settings, foreign);
    const host = fleet.launch(place);
    t.is(await endOf(host), PORT_EXIT_CODE, host.errors.join(''));
    t.true(await logs(host, 'port-unusable', role));
  });
}

/** Sends one read on a connection of its own as often as until it is stopped. */
async function readUntil(
  place: HostPlace,
  isOver: () => boolean,
): Promise<number[]> {
  const statuses: number[] = [];
  while (!isOver()) {
    statuses.push(await readOnce(place));
    await wait(POLL_MILLISECONDS);
  }
  return statuses;
}

/** The status of a read; 0 for none, -1 where the host accepted it in vain. */
function readOnce(place: HostPlace): Promise<number> {
  return new Promise(resolve => {
    let isConnected = false;
    const sent = request(
      `http://${place.callers}/read/1`,
      {
        agent: false,
        timeout: MAX_WAIT_MILLISECONDS,
        headers: {
          host: 'register.example',
          authorization: 'Bearer key',
          'x-attempt-id': `early-${Math.random()}`,
          'x-deadline-ms': '2000',
        },
      },
      message => {
        message.resume();
        resolve(message.statusCode ?? 0);
      },
    );
    sent.on('socket', socket =>
      socket.once('connect', () => (isConnected = true)),
    );
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(isConnected ? -1 : 0));
    sent.end();
  });
}

for (const role of ['metrics', 'control', 'readiness'] as const) {
  test(`every request that a host accepts is answered while its ${role} port is taken`, async t => {
    const {host, release} = await startWithTaken(t, role);
    let isOver = false;
    const reading = readUntil(host, () => isOver);
    await wait(TAKEN_MILLISECONDS);
    release();
    await isReady(host);
    await wait(TAKEN_MILLISECONDS);
    isOver = true;
    const statuses = await reading;
    t.false(statuses.includes(-1), statuses.join(' '));
    t.is(statuses.at(-1), 200);
  });
}
