/** Daemons of the own interface that start on ports and signals as they come. */
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';

import test, {type ExecutionContext} from 'ava';

import {ask, startProgram, type Program} from '../tools/fleet.js';
import {freeAddress} from '../tools/ports.js';
import {HeldPort} from './support/heldport.js';

const SIGHUP_BIT = 1n;
const POLL_MILLISECONDS = 20;
/** Time within which a daemon is to get where it is expected. */
const MAX_WAIT_MILLISECONDS = 10_000;
/** Time for which a port is taken at the start of a daemon. */
const TAKEN_MILLISECONDS = 1_000;
/** An address that is reserved for documentation, so of no machine. */
const FOREIGN_ADDRESS = '192.0.2.1:8080';

type Role = 'callers' | 'operators' | 'peers';
type Addresses = Record<Role | 'platform', string>;

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

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

/** The exit code of a daemon, or that it still runs after the longest wait. */
function endOf(daemon: Program): Promise<number | null | 'runs'> {
  const runs = wait(MAX_WAIT_MILLISECONDS).then(() => 'runs' as const);
  return Promise.race([daemon.exited, runs]);
}

async function startPlatform(t: ExecutionContext): Promise<Addresses> {
  t.timeout(4 * MAX_WAIT_MILLISECONDS);
  const [platform, callers, operators, peers] = await Promise.all([
    freeAddress(),
    freeAddress(),
    freeAddress(),
    freeAddress(),
  ]);
  const flags = [`--listen=${platform}`];
  const program = startProgram('standin-platform', 'platform', platform, flags);
  t.teardown(() => program.process.kill('SIGKILL'));
  t.true(await comesToHold(() => answers(platform, '/ready')));
  return {platform, callers, operators, peers};
}

function flagsOf({callers, operators, peers, platform}: Addresses): string[] {
  return [
    '--name=host-1',
    '--zone=palermo',
    '--region=sicilia',
    `--callers=${callers}`,
    `--operators=${operators}`,
    `--peers=${peers}`,
    `--platform=${platform}`,
    '--peer-secret=the-secret-of-a-test-fleet',
    '--drain-milliseconds=100',
  ];
}

function startDaemon(
  t: ExecutionContext,
  addresses: Addresses,
  flags: readonly string[] = flagsOf(addresses),
): Program {
  const daemon = startProgram('arbutusslipd', 'host-1', '', flags);
  t.teardown(() => daemon.process.kill('SIGKILL'));
  return daemon;
}

/** Whether an address answers a GET with 200. */
async function answers(address: string, path: string): Promise<boolean> {
  try {
    await ask(address, 'GET', path);
    return true;
  } catch {
    return false;
  }
}

const isReady = ({operators}: Addresses) =>
  comesToHold(() => answers(operators, '/ready'));

/** Whether a daemon serves its callers' port: this one has no route to serve. */
const servesCallers = ({callers}: Addresses) =>
  comesToHold(async () => {
    try {
      const {status} = await fetch(`http://${callers}/v1/models`);
      return status === 401;
    } catch {
      return false;
    }
  });

for (const role of ['callers', 'operators', 'peers'] as const) {
  test.serial(
    `a daemon whose ${role} port is taken for a second does not end and is ready once it is free`,
    async t => {
      const addresses = await startPlatform(t);
      const held = await HeldPort.take(addresses[role]);
      const daemon = startDaemon(t, addresses);
      await wait(TAKEN_MILLISECONDS);
      held.release();
      t.true(await isReady(addresses), daemon.errors());
      t.true(await servesCallers(addresses));
      daemon.process.kill('SIGTERM');
      t.is(await endOf(daemon), 0);
    },
  );
}

for (const role of ['operators', 'peers'] as const) {
  test.serial(
    `a daemon whose ${role} port stays taken serves its callers`,
    async t => {
      const addresses = await startPlatform(t);
      const held = await HeldPort.take(addresses[role]);
      t.teardown(() => held.release());
      const daemon = startDaemon(t, addresses);
      t.true(await servesCallers(addresses), daemon.errors());
      daemon.process.kill('SIGTERM');
      t.is(await endOf(daemon), 0);
    },
  );
}

test.serial(
  'a daemon whose callers address is not of this machine ends at once with code 3 and one line',
  async t => {
    const addresses = await startPlatform(t);
    const daemon = startDaemon(t, {...addresses, callers: FOREIGN_ADDRESS});
    t.is(await endOf(daemon), 3);
    t.regex(daemon.errors(), /"event":"end".*"cause":"port","exitCode":3/);
  },
);

/**
 * Whether the process catches SIGHUP, so runs its first line. Node catches
 * SIGTERM and SIGINT before that, to end on them.
 */
function hasBegun({process: {pid}}: Program): boolean {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
    return (BigInt(`0x${caught}`) & SIGHUP_BIT) !== 0n;
  } catch {
    return false;
  }
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  test.serial(
    `${signal} ends a daemon that waits for its port with code 0`,
    async t => {
      const addresses = await startPlatform(t);
      const held = await HeldPort.take(addresses.callers);
      t.teardown(() => held.release());
      const daemon = startDaemon(t, addresses);
      t.true(await comesToHold(() => daemon.errors().includes('port-taken')));
      daemon.process.kill(signal);
      t.is(await endOf(daemon), 0);
    },
  );
}

test.serial(
  'SIGTERM at any moment of a start ends a daemon with code 0',
  async t => {
    const addresses = await startPlatform(t);
    let begun = 0;
    for (let delay = 50; delay <= 800; delay += 75) {
      const daemon = startDaemon(t, addresses);
      await wait(delay);
      const couldListen = hasBegun(daemon);
      daemon.process.kill('SIGTERM');
      const code = await endOf(daemon);
      if (couldListen || code !== null) t.is(code, 0, `after ${delay} ms`);
      if (couldListen) begun++;
    }
    t.true(begun > 0);
  },
);

test.serial('SIGHUP does not end a daemon', async t => {
  const addresses = await startPlatform(t);
  const daemon = startDaemon(t, addresses);
  t.true(await isReady(addresses));
  daemon.process.kill('SIGHUP');
  await wait(TAKEN_MILLISECONDS);
  t.true(await servesCallers(addresses));
  daemon.process.kill('SIGTERM');
  t.is(await endOf(daemon), 0);
});

test.serial(
  'all flags of a daemon that are wrong are named at once, and in a structured line',
  async t => {
    const addresses = await startPlatform(t);
    const flags = flagsOf({...addresses, peers: 'nowhere'}).filter(
      flag => !flag.startsWith('--zone'),
    );
    const daemon = startDaemon(t, addresses, flags);
    t.is(await endOf(daemon), 2);
    t.regex(daemon.errors(), /^arbutusslipd: --zone: .*; --peers: /m);
    t.regex(daemon.errors(), /"event":"end".*"cause":"settings","exitCode":2/);
  },
);

test.serial('a daemon whose log has no reader does not end', async t => {
  const addresses = await startPlatform(t);
  const program = ['dist/arbutusslipd.js', ...flagsOf(addresses)];
  const child = spawn(process.execPath, program, {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  child.stderr.destroy();
  t.true(await isReady(addresses));
  await wait(TAKEN_MILLISECONDS);
  t.is(child.exitCode, null);
});
