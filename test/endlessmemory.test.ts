/**
 * The memory of a host process while endpoints send bodies and events without
 * end to many requests at once.
 */
import {readFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {ask} from './support/ask.js';
import {EdgeFleet, type HostProcess} from './support/edgeprocess.js';
import {sendEndlessly} from './support/endless.js';

const KEY = 'key-of-guides';
const REQUESTS = 30;
/** Memory of the smallest hosts. */
const MAX_MEMORY_KIBIBYTES = 178 * 1_024;
const FILLER = 'x'.repeat(65_536);

interface Sent {
  readonly path: string;
  readonly head: string;
  readonly part: string;
}

/** Starts a host and an endpoint that sends to each request without end. */
async function start(
  t: ExecutionContext,
  {head, part}: Sent,
): Promise<HostProcess> {
  const fleet = await EdgeFleet.start(t);
  const server = createServer(({headers}, {socket}) => {
    if (!socket) return;
    const id = String(headers['x-attempt-id']);
    const begin =
      'HTTP/1.1 200 OK\r\nx-response-seal: seal\r\n' +
      `x-attempt-id: ${id}\r\nconnection: close\r\n\r\n${head}`;
    sendEndlessly(socket, {head: begin, part, pause: 0});
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  fleet.enter('engine-0', `127.0.0.1:${port}`, 'ready');
  fleet.configure([KEY]);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  return host;
}

/** Returns the most memory that a process has had. */
function peakMemoryKibibytes({child}: HostProcess): number {
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? Infinity);
}

const CASES: ReadonlyArray<Sent & {readonly what: string}> = [
  {what: 'bodies', path: '/read/1', head: '', part: FILLER},
  {what: 'events', path: '/draft/1', head: 'id: 1\ndata: ', part: FILLER},
];

for (const sent of CASES) {
  test.serial(
    `a host's memory holds while ${REQUESTS} requests get ${sent.what} that never end`,
    async t => {
      const host = await start(t, sent);
      const startedAt = performance.now();
      const ids = Array.from({length: REQUESTS}, (_, id) => id);
      const responses = await Promise.all(
        ids.map(id =>
          ask(host, {
            path: sent.path,
            key: KEY,
            id: `request-${id}`,
            deadline: 2_000,
          }),
        ),
      );
      const statuses = responses.map(({status}) => status);
      t.true(performance.now() - startedAt < 3_000);
      t.false(statuses.includes(200));
      const peak = peakMemoryKibibytes(host);
      t.log(`peak ${Math.round(peak / 1_024)} MB, statuses ${statuses.join()}`);
      t.true(peak < MAX_MEMORY_KIBIBYTES);
      t.is(host.child.exitCode, null);
    },
  );
}
