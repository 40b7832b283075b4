/**
 * Host processes go on after malformed input: of a caller, the store, an
 * endpoint, an operator or another host.
 */
import {Agent, createServer, request, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {setTimeout} from 'node:timers/promises';

import test, {type ExecutionContext} from 'ava';

import {encodeFrame} from '../source/peers/index.js';
import {partsOf} from '../source/wire/index.js';
import {EdgeFleet, until, type HostProcess} from './support/edgeprocess.js';

const ANSWER_TIMEOUT_MILLISECONDS = 5_000;
/** Time in which a host makes each kind of call to the store. */
const STORE_CALLS_MILLISECONDS = 4_000;
/** Time in which a host sends several pulses. */
const GOSSIP_PERIODS_MILLISECONDS = 1_000;
/** Time in which a host probes an endpoint more than once. */
const PROBE_PERIODS_MILLISECONDS = 1_500;
/** Time in which a configuration comes into force. */
const CONFIGURATION_MILLISECONDS = 3_000;

interface ServingHost {
  readonly fleet: EdgeFleet;
  readonly host: HostProcess;
}

async function startServing(t: ExecutionContext): Promise<ServingHost> {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  return {fleet, host};
}

/** The status of a read; 0 if there is no answer in time. */
function statusOf(
  {callers}: HostProcess,
  headers: Readonly<Record<string, string>> = {},
  agent: Agent | false = false,
): Promise<number> {
  return new Promise(resolve => {
    const sent = request(
      `http://${callers}/read/1`,
      {
        agent,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS),
        headers: {
          host: 'register.example',
          authorization: 'Bearer key',
          'x-attempt-id': 'reader',
          'x-deadline-ms': '2000',
          ...headers,
        },
      },
      message => {
        message.resume();
        resolve(message.statusCode ?? 0);
      },
    );
    sent.on('error', () => resolve(0));
    sent.end();
  });
}

test('a host serves on after a prompt of infinitely many tokens', async t => {
  const {host} = await startServing(t);
  const prompt = {'x-model': 'm', 'x-token-counts': 'Infinity,1'};
  t.is(await statusOf(host, prompt), 200);
  t.is(await statusOf(host, prompt), 200);
  t.is(await statusOf(host), 200);
});

/** Answers calls to some path of the store, and hands on all others. */
async function startOddStore(
  t: ExecutionContext,
  store: string,
  path: string,
  answer: Buffer,
  status: number,
): Promise<string> {
  const server: Server = createServer((message, response) => {
    if (message.url?.startsWith(path)) {
      message.resume();
      response.writeHead(status);
      response.end(answer);
      return;
    }
    const {method = 'GET', url = '/', headers} = message;
    const handedOn = request(`http://${store}${url}`, {method, headers});
    handedOn.on('error', () => response.destroy());
    handedOn.on('response', reply => {
      response.writeHead(reply.statusCode ?? 0, reply.headers);
      reply.pipe(response);
    });
    message.pipe(handedOn);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const PAGE_HEADER = Buffer.alloc(16);
const EMPTY_RECORD = Buffer.alloc(4);

const ODD_ANSWERS: ReadonlyArray<{
  readonly title: string;
  readonly path: string;
  readonly answer: string | Buffer;
  readonly status?: number;
}> = [
  {
    title: 'a list of newest records without its items',
    path: '/-/log-newest',
    answer: '{}',
  },
  {
    title: 'newest records that are null',
    path: '/-/log-newest',
    answer: '{"items":[null],"truncated":false,"end":1}',
  },
  {
    title: 'a page with an empty record',
    path: '/-/log-read?topic=keyed.op',
    answer: Buffer.concat([PAGE_HEADER, EMPTY_RECORD]),
  },
  {
    title: 'a page that is shorter than its header',
    path: '/-/log-read?topic=usage',
    answer: 'x',
  },
  {
    title: 'an expiry that is not JSON',
    path: '/-/log-read?topic=usage',
    answer: '<html>',
    status: 410,
  },
  {
    title: 'a place in a group that is null',
    path: '/-/log-join',
    answer: 'null',
  },
  {
    title: 'a place in a group without partitions',
    path: '/-/log-join',
    answer: '{"generation":1}',
  },
  {
    title: 'a confirmation of an append that is null',
    path: '/-/log-append',
    answer: 'null',
  },
];

for (const {title, path, answer, status = 200} of ODD_ANSWERS) {
  test(`a host goes on when the store answers with ${title}`, async t => {
    const fleet = await EdgeFleet.start(t);
    await fleet.endpoint('register-1');
    fleet.configure(['key']);
    const {address} = fleet.site;
    const bytes = Buffer.from(answer);
    const store = await startOddStore(t, address, path, bytes, status);
    const host = await fleet.host('host-1', undefined, store);
    await setTimeout(STORE_CALLS_MILLISECONDS);
    t.is(host.child.exitCode, null);
    t.not(await statusOf(host), 0);
  });
}

/** Sends a frame to a host as another host would. */
function sendFrame(
  t: ExecutionContext,
  {control}: HostProcess,
  frame: Buffer,
): void {
  const socket = connect(partsOf(control));
  socket.on('error', () => {});
  t.teardown(() => socket.destroy());
  socket.write(frame);
}

test('a host goes on after a pulse from an address to which Node connects no socket', async t => {
  const {host} = await startServing(t);
  const address = '127.0.0.1:99999';
  sendFrame(
    t,
    host,
    encodeFrame({
      kind: 'pulse',
      from: {name: 'host-2', started: 1, address, zone: 'palermo'},
      sequence: 1,
      heard: 0,
      period: 200,
      leaving: false,
      positions: [],
      uses: [],
      work: [],
      unreachable: [],
      kept: [],
      blocked: [],
      limits: [],
      sheets: [],
      hosts: [],
    }),
  );
  await setTimeout(GOSSIP_PERIODS_MILLISECONDS);
  t.is(host.child.exitCode, null);
  t.is(await statusOf(host), 200);
});

test('a host goes on when a health path has characters that no request may have', async t => {
  const {fleet, host} = await startServing(t);
  const service = {name: 'register', healthPath: '/health of engines'};
  fleet.configure(['other'], [], {services: [service]});
  await until(async () => (await statusOf(host)) === 401);
  fleet.enter('register-1', '127.0.0.1:1', 'ready');
  const isTried = () =>
    host.lines.some(({event}) => event === 'attempt-failed');
  await until(async () => {
    await fleet.read(host, 'other');
    return isTried();
  });
  await setTimeout(PROBE_PERIODS_MILLISECONDS);
  t.is(host.child.exitCode, null);
});

test('a host goes on when a configuration has an idle timeout below 0', async t => {
  const {fleet, host} = await startServing(t);
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: -5_000,
  };
  fleet.configure(['key'], [], {limits});
  await setTimeout(CONFIGURATION_MILLISECONDS);
  const agent = new Agent({keepAlive: true});
  t.teardown(() => agent.destroy());
  t.is(await statusOf(host, {}, agent), 200);
  t.is(await statusOf(host), 200);
});

test('a host whose name Latin-1 lacks goes on when it leads', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const host = await fleet.host('host–1');
  await fleet.ready(host);
  t.is(await statusOf(host), 200);
  await until(
    () => fleet.site.duties.length > 0 || host.child.exitCode !== null,
  );
  t.is(host.child.exitCode, null);
});

test('a host follows the store on after records whose end is no offset', async t => {
  const {fleet, host} = await startServing(t);
  const from = {
    name: 'host-2',
    started: 1,
    address: '127.0.0.1:1',
    zone: 'palermo',
  };
  const topic = 'keyed.op';
  const odd = {kind: 'records', from, topic, records: [], end: 1e308};
  sendFrame(t, host, encodeFrame({...odd, whole: false}));
  await setTimeout(GOSSIP_PERIODS_MILLISECONDS);
  fleet.configure(['other']);
  await setTimeout(CONFIGURATION_MILLISECONDS);
  t.is(await statusOf(host), 401);
});
