/** Signals to a host process from the first millisecond of its start on. */
import {readFileSync} from 'node:fs';

import test, {type ExecutionContext} from 'ava';

import {EdgeFleet, statusOf, type HostProcess} from './support/edgeprocess.js';

const SIGHUP_BIT = 1n;
const STEP_MILLISECONDS = 12;
const STEPS = 30;
const MAX_WAIT_MILLISECONDS = 10_000;

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

/**
 * Whether the process catches SIGHUP, so runs its first line. Node catches
 * SIGTERM and SIGINT before that, to end on them.
 */
function hasBegun({child}: HostProcess): boolean {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
    const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
    return (BigInt(`0x${caught}`) & SIGHUP_BIT) !== 0n;
  } catch {
    return false;
  }
}

async function startFleet(t: ExecutionContext): Promise<EdgeFleet> {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  return fleet;
}

function endOf(host: HostProcess): Promise<number | null | 'runs'> {
  const runs = wait(MAX_WAIT_MILLISECONDS).then(() => 'runs' as const);
  return Promise.race([host.ended, runs]);
}

async function becomesReady(host: HostProcess): Promise<boolean> {
  const end = performance.now() + MAX_WAIT_MILLISECONDS;
  while (performance.now() < end) {
    if ((await statusOf(host.readiness, '/')) === 200) return true;
    if (host.child.exitCode !== null || host.child.signalCode) return false;
    await wait(STEP_MILLISECONDS);
  }
  return false;
}

/** How a process ended, if it did, and the last line of its log. */
function stateOf({child, lines}: HostProcess): string {
  const {exitCode, signalCode} = child;
  return JSON.stringify({exitCode, signalCode, last: lines.at(-1)});
}

async function hasReloaded({lines}: HostProcess): Promise<boolean> {
  const end = performance.now() + MAX_WAIT_MILLISECONDS;
  const isThere = () => lines.some(({event}) => event === 'reload');
  while (!isThere() && performance.now() < end) await wait(STEP_MILLISECONDS);
  return isThere();
}

/** Waits with as little delay as possible until the process runs its first line. */
async function firstLine(host: HostProcess): Promise<void> {
  const end = performance.now() + MAX_WAIT_MILLISECONDS;
  while (!hasBegun(host) && performance.now() < end)
    await new Promise(resolve => setImmediate(resolve));
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  test(`${signal} at the first line of a host ends it with code 0`, async t => {
    const fleet = await startFleet(t);
    const host = await fleet.host('host-1');
    await firstLine(host);
    host.child.kill(signal);
    t.is(await endOf(host), 0, `${host.child.signalCode}`);
  });

  test(`${signal} at any moment of a start ends a host with code 0`, async t => {
    const fleet = await startFleet(t);
    const place = await fleet.place('host-1');
    for (let step = 0; step < STEPS; step++) {
      const host = fleet.launch(place);
      await wait(step * STEP_MILLISECONDS);
      const couldListen = hasBegun(host);
      host.child.kill(signal);
      const code = await endOf(host);
      if (couldListen || code !== null)
        t.is(code, 0, `after ${step * STEP_MILLISECONDS} ms`);
    }
  });
}

test('SIGHUP at the first line of a host does not end it', async t => {
  const fleet = await startFleet(t);
  const host = await fleet.host('host-1');
  await firstLine(host);
  host.child.kill('SIGHUP');
  t.true(await becomesReady(host), `${host.child.signalCode}`);
  t.true(await hasReloaded(host));
});

test('SIGHUP at any moment of a start does not end a host', async t => {
  const fleet = await startFleet(t);
  const place = await fleet.place('host-1');
  for (let step = 0; step < STEPS; step += 3) {
    const host = fleet.launch(place);
    await wait(step * STEP_MILLISECONDS);
    const couldListen = hasBegun(host);
    host.child.kill('SIGHUP');
    if (couldListen)
      t.true(await becomesReady(host), `${stateOf(host)} at step ${step}`);
    host.child.kill('SIGKILL');
    await host.ended;
  }
});
