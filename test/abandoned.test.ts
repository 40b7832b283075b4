/**
 * Calls that a host gives up while they wait for a reply. A connection that is
 * only closed still delivers what is held up on the way, as in a cut between
 * zones, so the call would be carried out after it was given up.
 */
import {createServer, type AddressInfo} from 'node:net';

import {spawn} from 'node:child_process';

import test, {type ExecutionContext} from 'ava';

import {Cancellation} from '../source/cancellation/index.js';
import {endpointSchema} from '../source/configuration/index.js';
import {HttpEndpointAdapter} from '../source/engine/index.js';
import {WireError} from '../source/errors/index.js';
import {
  abandonOpenCalls,
  callGuarded,
  exchangeBytes,
} from '../source/wire/index.js';

interface SilentServer {
  readonly address: string;
  /** Resolves when bytes have arrived. */
  readonly received: Promise<void>;
  /** Resolves with how the first connection ends. */
  readonly ended: Promise<string>;
}

async function startSilentServer(t: ExecutionContext): Promise<SilentServer> {
  let receive = () => {};
  let end: (how: string) => void = () => {};
  const received = new Promise<void>(resolve => (receive = resolve));
  const ended = new Promise<string>(resolve => (end = resolve));
  const server = createServer(socket => {
    socket.on('data', () => receive());
    socket.on('end', () => end('end'));
    socket.on('error', ({message}) => end(message));
  });
  t.teardown(() => server.close());
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, received, ended};
}

test('a call that is given up at its time limit is reset', async t => {
  const {address, ended} = await startSilentServer(t);
  const call = {address, method: 'POST', path: '/', bound: 500, headers: {}};
  const error = await t.throwsAsync(exchangeBytes(call), {
    instanceOf: WireError,
  });
  t.is(error?.stage, 'cut');
  t.is(await ended, 'read ECONNRESET');
});

test('a call of the leader that is given up at its time limit is reset', async t => {
  const {address, ended} = await startSilentServer(t);
  const call = {address, method: 'POST', path: '/usage', bound: 500, body: {}};
  const error = await t.throwsAsync(
    callGuarded(call, () => true),
    {instanceOf: WireError},
  );
  t.is(error?.stage, 'cut');
  t.is(await ended, 'read ECONNRESET');
});

test('calls that are on their way when a host ends are reset', async t => {
  const {address, received, ended} = await startSilentServer(t);
  const call = {address, method: 'POST', path: '/usage', bound: 5_000};
  const sending = callGuarded({...call, body: {}}, () => true);
  const failed = t.throwsAsync(sending, {instanceOf: WireError});
  await received;
  abandonOpenCalls();
  await failed;
  t.is(await ended, 'read ECONNRESET');
});

test('a process that exits with calls on their way resets them', async t => {
  const {address, received, ended} = await startSilentServer(t);
  const flags = ['--import=tsx', 'test/support/exitduringcall.ts', address];
  const child = spawn(process.execPath, flags, {stdio: 'inherit'});
  t.teardown(() => child.kill('SIGKILL'));
  await received;
  t.is(await ended, 'read ECONNRESET');
});

for (const newConnection of [true, false]) {
  const kind = newConnection ? 'a new' : 'a kept';
  test(`a request of the own interface that is given up on ${kind} connection is reset`, async t => {
    const {address, received, ended} = await startSilentServer(t);
    const bounds = {connect: 1_000, firstByte: 5_000, silence: 5_000};
    const signal = new Cancellation();
    const endpoint = endpointSchema.parse({
      name: 'engine-1',
      zone: 'palermo',
      address,
      pool: 'drafting',
      kind: 'engine',
      slots: 1,
    });
    const order = {
      attempt: 'a',
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.from('order'),
      priority: 1,
      newConnection,
    };
    const adapter = new HttpEndpointAdapter(bounds);
    const sending = adapter.send(endpoint, order, signal);
    await received;
    signal.abort();
    await t.throwsAsync(sending, {instanceOf: WireError});
    t.is(await ended, 'read ECONNRESET');
  });
}
