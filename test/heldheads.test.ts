/**
 * Heads of requests that come behind others on a connection. Guards against a host
 * that counts the time for which it does not read a connection as the caller’s, and
 * against an error of a later request that is written as the answer to one in
 * progress.
 */
import {connect, type Socket} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {partsOf} from '../source/wire/index.js';
import {
  EdgeFleet,
  holdsWithin,
  type HostProcess,
} from './support/edgeprocess.js';

const HEAD_MILLISECONDS = 700;
/** Longer than a head may take, with the interval of Node's checks. */
const WORK_MILLISECONDS = 1_800;
const ANSWERED_MILLISECONDS = 18_000;
/** A little under a fourth of what is handed to the parser at once. */
const PADDED_BYTES = 1_000;

async function startHost(t: ExecutionContext): Promise<HostProcess> {
  const fleet = await EdgeFleet.start(t);
  fleet.routeTimeoutMilliseconds = 20_000;
  fleet.configure(['key'], [], {
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: HEAD_MILLISECONDS,
      idleTimeoutMs: 15_000,
    },
  });
  await fleet.endpoint('register-1', WORK_MILLISECONDS);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  return host;
}

/** A request of a caller that knows its deadline, padded to a length. */
function requestText(path: string, bytes = 0): string {
  const head =
    `GET ${path} HTTP/1.1\r\nHost: register.example\r\n` +
    'Authorization: Bearer key\r\nX-Attempt-Id: reader\r\n' +
    'X-Deadline-Ms: 20000\r\n';
  const rest = Math.max(bytes - head.length - 'X-Pad: \r\n\r\n'.length, 0);
  return `${head}X-Pad: ${'x'.repeat(rest)}\r\n\r\n`;
}

/** A connection of a caller, and all that has come on it. */
function callerOf(host: HostProcess) {
  const socket: Socket = connect(partsOf(host.callers));
  const caller = {socket, text: '', isClosed: false};
  socket.on('data', part => (caller.text += part.toString()));
  socket.on('error', () => {});
  socket.on('close', () => (caller.isClosed = true));
  return caller;
}

/** The statuses that have come, in order. */
function statusesOf({text}: {text: string}): string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(
    ([, status = '']) => status,
  );
}

test('requests behind others that take long are answered, though their heads wait for longer than a head may take', async t => {
  const caller = callerOf(await startHost(t));
  const requests = Array.from({length: 7}, () =>
    requestText('/read/1', PADDED_BYTES),
  );
  caller.socket.write(requests.join(''));
  const hasAll = () => statusesOf(caller).length === requests.length;
  t.true(await holdsWithin(ANSWERED_MILLISECONDS, hasAll));
  t.deepEqual(
    statusesOf(caller),
    requests.map(() => '200'),
  );
  t.false(caller.isClosed);
  caller.socket.destroy();
});

for (const [name, text, status] of [
  ['a head that never ends', requestText('/record/1').slice(0, 40), '408'],
  ['bytes that are no request', 'what is this?\r\n\r\n', '400'],
  ['a head that is too large', requestText('/record/1', 70_000), '431'],
] as const) {
  test(`a request in progress gets its own answer, and ${name} behind it gets ${status}`, async t => {
    const caller = callerOf(await startHost(t));
    caller.socket.write(requestText('/record/1') + text);
    t.true(await holdsWithin(ANSWERED_MILLISECONDS, () => caller.isClosed));
    t.deepEqual(statusesOf(caller), ['200', status]);
  });
}

test('a head that never ends gets 408 where nothing else is in progress', async t => {
  const caller = callerOf(await startHost(t));
  caller.socket.write(requestText('/record/1').slice(0, 40));
  t.true(await holdsWithin(ANSWERED_MILLISECONDS, () => caller.isClosed));
  t.deepEqual(statusesOf(caller), ['408']);
});
