/**
 * Endpoints that say in a response that they leave, or for how long they want
 * nothing of this host. Guards against hosts that send on until the store tells
 * them, or that an older entry makes send again.
 */
import test, {type ExecutionContext} from 'ava';

import {PlatformProtocol} from '../platform/protocol.js';
import {
  EdgeFleet,
  sealed,
  until,
  type EndpointAnswer,
  type HostProcess,
} from './support/edgeprocess.js';

/** What the first endpoint answers; the second one always serves. */
interface Setup {
  readonly fleet: EdgeFleet;
  readonly host: HostProcess;
  /** Requests of this test at the first endpoint. */
  readonly seen: () => number;
  /** Counts a request and answers it. */
  readonly respond: EndpointAnswer;
  answer: EndpointAnswer;
}

/** The attempt id of the reads of a fleet. */
const READER = 'reader';

const serve: EndpointAnswer = (message, response) => {
  response.writeHead(200, sealed(message));
  response.end('register-1');
};

const leave =
  (status: number): EndpointAnswer =>
  (message, response) => {
    const notRun = status === 200 ? {} : {'x-not-executed': '1'};
    const headers = {...sealed(message), ...notRun, 'server-leaving': '1'};
    response.writeHead(status, headers);
    response.end();
  };

const turnAway =
  (retryAfter: string): EndpointAnswer =>
  (message, response) => {
    const headers = {...sealed(message), 'x-not-executed': '1'};
    response.writeHead(503, {...headers, 'retry-after': retryAfter});
    response.end();
  };

async function start(t: ExecutionContext): Promise<Setup> {
  const fleet = await EdgeFleet.start(t);
  let seen = 0;
  const respond: EndpointAnswer = (message, response) => {
    // A host of another test may still send to an endpoint that had the port.
    const id = message.headers['x-attempt-id'];
    if (id === READER) seen++;
    else t.log(`a request of another test: ${String(id)}`);
    setup.answer(message, response);
  };
  const setup = {fleet, answer: serve, respond, seen: () => seen};
  await fleet.endpoint('register-1', respond);
  await fleet.endpoint('register-2');
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  await until(async () => {
    await fleet.read(host, 'key');
    return setup.seen() > 0;
  });
  return Object.assign(setup, {host});
}

/** Reads until the first endpoint has had one more request. */
async function untilSeen({fleet, host, seen}: Setup): Promise<void> {
  const before = seen();
  await until(async () => {
    await fleet.read(host, 'key');
    return seen() > before;
  });
}

async function read({fleet, host}: Setup, times: number): Promise<void> {
  for (let round = 0; round < times; round++) await fleet.read(host, 'key');
}

for (const status of [200, 429, 503])
  test(`an endpoint that says with status ${status} that it leaves gets nothing more, though an older entry calls it ready`, async t => {
    const setup = await start(t);
    setup.answer = leave(status);
    await untilSeen(setup);
    const before = setup.seen();
    await read(setup, 30);
    setup.fleet.enter('register-1', '127.0.0.1:1', 'ready', 'v2', 2);
    await until(() =>
      setup.host.lines.some(({event}) => event === 'endpoint-leaving'),
    );
    await read(setup, 30);
    t.is(setup.seen(), before);
  });

test('another incarnation of an endpoint that said that it leaves is served', async t => {
  const setup = await start(t);
  setup.answer = leave(200);
  await untilSeen(setup);
  setup.answer = serve;
  setup.fleet.born++;
  await setup.fleet.endpoint('register-1', setup.respond);
  await untilSeen(setup);
  t.pass();
});

test('an endpoint that wants nothing for a while gets nothing until then, and again after it', async t => {
  const setup = await start(t);
  setup.answer = turnAway('1.5');
  await untilSeen(setup);
  const at = performance.now();
  const before = setup.seen();
  setup.answer = turnAway('0.1');
  while (performance.now() - at < 1_300) await read(setup, 1);
  t.is(setup.seen(), before);
  setup.answer = serve;
  await untilSeen(setup);
  t.true(performance.now() - at >= 1_400);
});

test('the time for which an endpoint wants nothing is read, or passed over', t => {
  const protocol = new PlatformProtocol();
  const backoffOf = (text: string | undefined, statusCode = 503) =>
    protocol.parseResponseHead({
      statusCode,
      rawHeaders: [],
      headers: text === undefined ? {} : {'retry-after': text},
    } as never).backoff;
  t.is(backoffOf('2')?.milliseconds, 2_000);
  t.is(backoffOf('0.25')?.milliseconds, 250);
  t.is(backoffOf('0')?.milliseconds, 0);
  t.is(backoffOf(undefined), undefined);
  t.is(backoffOf('2', 429), undefined);
  for (const text of [
    '',
    '-1',
    'soon',
    'NaN',
    'Infinity',
    '1e400',
    '2, 3',
    'Sat, 05 Dec 2026 03:00:00 GMT',
  ])
    t.deepEqual(backoffOf(text), {milliseconds: undefined, text});
});
