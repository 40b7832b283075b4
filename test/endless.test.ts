/**
 * Endpoints whose heads and bodies never end: what a request, its caller and the
 * host's memory get to feel of it (invariants 10 to 12).
 */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {PlatformProtocol} from '../platform/protocol.js';
import {EndpointSelector} from '../source/balance/index.js';
import {SystemClock} from '../source/clock/index.js';
import {Prober} from '../source/edge/prober.js';
import {ConnectionPool, ResponseBuffers} from '../source/forward/index.js';
import {
  endless,
  sendEndlessly,
  sealedHead,
  type EndlessBytes,
  type SentBytes,
} from './support/endless.js';
import {
  createEndpoint,
  ForwarderFixture,
  respondWith,
  sealHeaders,
  type Behaviour,
  type ReceivedRequest,
} from './support/forwarding.js';

/** The route's timeout, in milliseconds. */
const TIMEOUT = 1_000;
/** Milliseconds by which a final response must be there. */
const RESPONSE_DUE = 1_300;
/** What the sockets of both ends may buffer. */
const SOCKET_BUFFERS = 8_388_608;
const FILLER = 'x'.repeat(65_536);

interface EndlessHead extends EndlessBytes {
  readonly what: string;
}

const HEADS: readonly EndlessHead[] = [
  {what: 'status line', head: 'HTTP/1.1 200 ', part: FILLER, pause: 0},
  {what: 'header line', head: 'HTTP/1.1 200 OK\r\na: ', part: FILLER, pause: 0},
  {
    what: 'header lines',
    head: 'HTTP/1.1 200 OK\r\n',
    part: 'name: value\r\n'.repeat(5_000),
    pause: 0,
  },
  {
    what: 'informational responses',
    head: '',
    part: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(2_000),
    pause: 0,
  },
  {what: 'empty lines', head: '', part: '\r\n'.repeat(32_768), pause: 0},
  {what: 'bytes that are no HTTP', head: '', part: FILLER, pause: 0},
];

for (const head of HEADS) {
  test(`endless ${head.what}, fast, in place of a head fail the attempt at once`, async t => {
    const sent: SentBytes = {count: 0};
    const fixture = await ForwarderFixture.start(t, {timeout: TIMEOUT}, [
      endless(() => head, sent),
    ]);
    const startedAt = performance.now();
    const reply = await fixture.send();
    t.is(reply.status, 502);
    t.true(performance.now() - startedAt < TIMEOUT);
    await fixture.until(() => fixture.received[0]?.closed === true);
    t.true(sent.count < SOCKET_BUFFERS);
    t.true(fixture.logLines.some(({event}) => event === 'attempt-failed'));
  });
}

test('an answer that switches protocols and never ends fails the attempt at once', async t => {
  const fixture = await ForwarderFixture.start(t, {timeout: TIMEOUT}, [
    endless(() => ({
      head: 'HTTP/1.1 101 Switching\r\nupgrade: any\r\nconnection: upgrade\r\n\r\n',
      part: FILLER,
      pause: 0,
    })),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 502);
  await fixture.until(() => fixture.received[0]?.closed === true);
});

const CHUNKED = 'transfer-encoding: chunked';
const CHUNK = `10000\r\n${FILLER}\r\n`;

interface EndlessBody extends Omit<EndlessBytes, 'head'> {
  readonly what: string;
  readonly lines: readonly string[];
  /** First bytes of the body. */
  readonly begin: string;
}

function bytesOf(
  {lines, begin, part, pause}: EndlessBody,
  received: ReceivedRequest,
): EndlessBytes {
  return {head: sealedHead(received, lines) + begin, part, pause};
}

const BODIES: readonly EndlessBody[] = [
  {what: 'chunks', lines: [CHUNKED], begin: '', part: CHUNK, pause: 0},
  {
    what: 'bytes without a length',
    lines: ['connection: close'],
    begin: '',
    part: FILLER,
    pause: 0,
  },
  {
    what: 'chunk extensions',
    lines: [CHUNKED],
    begin: '1;',
    part: FILLER,
    pause: 0,
  },
  {
    what: 'trailers',
    lines: [CHUNKED],
    begin: '1\r\nx\r\n0\r\n',
    part: 'name: value\r\n'.repeat(5_000),
    pause: 0,
  },
];

for (const body of BODIES) {
  test(`a body of endless ${body.what} fails the attempt and closes the connection`, async t => {
    const sent: SentBytes = {count: 0};
    const fixture = await ForwarderFixture.start(t, {timeout: TIMEOUT * 4}, [
      endless(received => bytesOf(body, received), sent),
    ]);
    const reply = await fixture.send();
    t.is(reply.status, 502);
    await fixture.until(() => fixture.received[0]?.closed === true);
    t.true(sent.count < 16_777_216 + SOCKET_BUFFERS);
    t.true(fixture.logLines.some(({event}) => event === 'attempt-failed'));
  });
}

test('endless bytes after a complete answer close the connection, and the answer stands', async t => {
  const sent: SentBytes = {count: 0};
  const fixture = await ForwarderFixture.start(t, {repeatable: true}, [
    endless(
      received => ({
        head: `${sealedHead(received, ['content-length: 2'])}ok`,
        part: FILLER,
        pause: 0,
      }),
      sent,
    ),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 200);
  t.is(reply.body, 'ok');
  t.true(reply.whole);
  await fixture.until(() => fixture.received[0]?.closed === true);
  t.true(sent.count < SOCKET_BUFFERS);
});

test('a stream that becomes no HTTP right after its head fails at once', async t => {
  const route = {streaming: true, timeout: TIMEOUT * 4};
  const fixture = await ForwarderFixture.start(t, route, [
    endless(received => ({
      head: sealedHead(received, [CHUNKED]),
      part: 'no chunk\r\n',
      pause: 0,
    })),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 502);
  await fixture.until(() => fixture.received[0]?.closed === true);
});

test('a refusal by the endpoint with an endless body is not read on', async t => {
  const sent: SentBytes = {count: 0};
  const fixture = await ForwarderFixture.start(t, {}, [
    endless(
      received => ({
        head: sealedHead(received, [CHUNKED, 'x-not-executed: 1'], '503 Full'),
        part: CHUNK,
        pause: 0,
      }),
      sent,
    ),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 503);
  const startedAt = performance.now();
  await fixture.until(
    () =>
      fixture.received.every(({closed}) => closed) ||
      performance.now() - startedAt > TIMEOUT,
  );
  t.true(fixture.received.every(({closed}) => closed));
  t.true(sent.count < SOCKET_BUFFERS);
});

/** Probes one endpoint that its host could not reach. */
async function startProber(
  t: ExecutionContext,
  port: number,
): Promise<{prober: Prober; selector: EndpointSelector}> {
  const clock = new SystemClock();
  const selector = new EndpointSelector({
    host: 'host-1',
    zone: 'palermo',
    clock,
    regions: {},
  });
  const service = {name: 'drafting', healthPath: '/health', coldRate: 0};
  selector.setServices(new Map([['drafting', service]]));
  const endpoint = createEndpoint('engine-0', `127.0.0.1:${port}`);
  selector.setDirectory(new Map([['engine-0', endpoint]]));
  const unreachable = selector.reserve({
    service: 'drafting',
    prompt: undefined,
    tier: 0,
    failedEndpoints: new Set(),
  });
  unreachable?.unreachable();
  unreachable?.release();
  const prober = new Prober({
    selector,
    connections: new ConnectionPool(clock),
    protocol: new PlatformProtocol(),
    clock,
    logger: {debug() {}, info() {}, warn() {}, error() {}},
  });
  prober.start();
  t.teardown(() => prober.stop());
  return {prober, selector};
}

/** Listens on a free port until the test is over. */
async function listenUntilEnd(
  t: ExecutionContext,
  server: Server,
): Promise<number> {
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

for (const pause of [0, 20]) {
  const pace = pause === 0 ? 'fast' : 'slow';
  test(`a health check whose answer never ends, ${pace}, is closed and does not pass`, async t => {
    const sent: SentBytes = {count: 0};
    let opened = 0;
    let closed = 0;
    const server = createServer((_, {socket}) => {
      if (!socket) return;
      opened++;
      socket.on('close', () => closed++);
      const head = `HTTP/1.1 200 OK\r\n${CHUNKED}\r\n\r\n`;
      sendEndlessly(socket, {head, part: CHUNK, pause}, sent);
    });
    const port = await listenUntilEnd(t, server);
    const {prober, selector} = await startProber(t, port);
    await new Promise(resolve => setTimeout(resolve, 1_600));
    prober.stop();
    t.is(selector.unreachableEndpoints().length, 1);
    t.true(opened >= 2);
    await new Promise(resolve => setTimeout(resolve, 500));
    t.is(closed, opened);
    t.true(sent.count < opened * SOCKET_BUFFERS);
  });
}

test('a report of a start that never ends is closed, and the health check decides', async t => {
  let opened = 0;
  let closed = 0;
  const server = createServer(({url}, response) => {
    if (url === '/health') return void response.end();
    const {socket} = response;
    if (!socket) return;
    opened++;
    socket.on('close', () => closed++);
    const head = `HTTP/1.1 200 OK\r\n${CHUNKED}\r\n\r\n`;
    sendEndlessly(socket, {head, part: '1\r\nx\r\n'.repeat(10_000), pause: 0});
  });
  const port = await listenUntilEnd(t, server);
  const {selector} = await startProber(t, port);
  await new Promise(resolve => setTimeout(resolve, 1_600));
  t.is(selector.unreachableEndpoints().length, 0);
  t.is(opened, 1);
  t.is(closed, 1);
});

const STREAM = {streaming: true, timeout: TIMEOUT};

function streamOf(
  begin: string,
  part: string,
  pause: number,
): (received: ReceivedRequest) => EndlessBytes {
  return received => ({
    head: sealedHead(received, ['connection: close']) + begin,
    part,
    pause,
  });
}

test('an event that never ends fails the attempt before it fills the memory', async t => {
  const sent: SentBytes = {count: 0};
  const route = {...STREAM, timeout: TIMEOUT * 4};
  const fixture = await ForwarderFixture.start(t, route, [
    endless(streamOf('id: 1\ndata: ', FILLER, 0), sent),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 502);
  await fixture.until(() => fixture.received[0]?.closed === true);
  t.true(sent.count < SOCKET_BUFFERS);
  const line = fixture.logLines.find(({event}) => event === 'attempt-failed');
  t.is(line?.fields['stage'], 'malformed');
});

test('an event that never ends and comes slowly ends at the route’s timeout', async t => {
  const fixture = await ForwarderFixture.start(t, STREAM, [
    endless(streamOf('id: 1\ndata: ', 'x', 10)),
  ]);
  const startedAt = performance.now();
  const reply = await fixture.send();
  t.is(reply.status, 504);
  t.true(performance.now() - startedAt < RESPONSE_DUE);
  await fixture.until(() => fixture.received[0]?.closed === true);
});

test('endless comments before the first event do not keep a stream from another endpoint', async t => {
  const route = {...STREAM, timeout: 4_000, resumable: true, attempts: 2};
  const comments = endless(streamOf('', ': wait\n\n', 10));
  const events: Behaviour = (received, response) => {
    response.writeHead(200, sealHeaders(received));
    response.end('id: 1\ndata: piece\n\n');
  };
  const once: Behaviour = (received, response, count) =>
    (fixture.received.length === 1 ? comments : events)(
      received,
      response,
      count,
    );
  const fixture = await ForwarderFixture.start(t, route, [once, once]);
  const reply = await fixture.send();
  t.is(reply.status, 200);
  t.true(reply.whole);
  t.is(reply.body, 'id: 1\ndata: piece\n\n');
});

test('endless comments after an event do not keep a stream from another endpoint', async t => {
  const route = {...STREAM, timeout: 4_000, resumable: true, attempts: 2};
  const comments = endless(streamOf('id: 1\ndata: a\n\n', ': wait\n\n', 50));
  const events: Behaviour = (received, response) => {
    response.writeHead(200, sealHeaders(received));
    response.end('id: 2\ndata: b\n\n');
  };
  const once: Behaviour = (received, response, count) =>
    (fixture.received.length === 1 ? comments : events)(
      received,
      response,
      count,
    );
  const fixture = await ForwarderFixture.start(t, route, [once, once]);
  const reply = await fixture.send();
  t.true(reply.whole);
  t.is(
    reply.body.replaceAll(': wait\n\n', ''),
    'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
  );
});

test('endless events end at the route’s timeout, and the response does not look complete', async t => {
  const sent: SentBytes = {count: 0};
  const fixture = await ForwarderFixture.start(t, STREAM, [
    endless(streamOf('id: 1\ndata: a\n\n', 'data: b\n\n', 5), sent),
  ]);
  const startedAt = performance.now();
  const reply = await fixture.send();
  t.is(reply.status, 200);
  t.false(reply.whole);
  t.true(performance.now() - startedAt < RESPONSE_DUE);
  await fixture.until(() => fixture.received[0]?.closed === true);
});

test('a stream whose lines end with a carriage return and a line feed is relayed event by event', async t => {
  const fixture = await ForwarderFixture.start(t, STREAM, [
    (received, response) => {
      response.writeHead(200, sealHeaders(received));
      response.write('id: 1\r\ndata: a\r\n\r');
      setTimeout(() => response.write('\nid: 2\r\ndata: b\r\n\r\n'), 20);
    },
  ]);
  const reply = await fixture.send();
  t.is(reply.body, 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n');
  t.false(reply.whole);
});

test('a caller that does not read holds the endpoint back, is not taken for its silence, and ends at the route’s timeout', async t => {
  const sent: SentBytes = {count: 0};
  const route = {...STREAM, timeout: 2_500, resumable: true, attempts: 2};
  const event = `data: ${FILLER}\n\n`;
  const fixture = await ForwarderFixture.start(t, route, [
    endless(streamOf('id: 1\ndata: a\n\n', event, 0), sent),
    endless(streamOf('id: 1\ndata: a\n\n', event, 0), sent),
  ]);
  const startedAt = performance.now();
  await fixture.sendWithoutReading();
  const duration = performance.now() - startedAt;
  t.true(duration > 2_000 && duration < 2_900);
  t.is(fixture.received.length, 1);
  t.true(sent.count < 4 * SOCKET_BUFFERS);
  await fixture.until(() => fixture.received[0]?.closed === true);
});

const SLOW_HEADS: readonly EndlessHead[] = [
  {what: 'status line', head: 'HTTP/1.1 200 ', part: 'x', pause: 5},
  {what: 'header line', head: 'HTTP/1.1 200 OK\r\na: ', part: 'x', pause: 5},
  {
    what: 'informational responses',
    head: '',
    part: 'HTTP/1.1 103 Early Hints\r\n\r\n',
    pause: 20,
  },
  {what: 'empty lines', head: '', part: '\r\n', pause: 5},
];

for (const head of SLOW_HEADS) {
  test(`endless ${head.what}, slow, in place of a head end at the route’s timeout and count as a failure`, async t => {
    const fixture = await ForwarderFixture.start(t, {timeout: TIMEOUT}, [
      endless(() => head),
    ]);
    const startedAt = performance.now();
    const reply = await fixture.send({'x-attempt-id': 'slow-head'});
    t.is(reply.status, 504);
    t.true(performance.now() - startedAt < RESPONSE_DUE);
    await fixture.until(() => fixture.received[0]?.closed === true);
    const line = fixture.logLines.find(({event}) => event === 'attempt-failed');
    t.is(line?.fields['request'], 'slow-head');
  });
}

const SLOW_BODY: EndlessBody = {
  what: 'chunks',
  lines: [CHUNKED],
  begin: '',
  part: '1\r\nx\r\n',
  pause: 10,
};

test('a slow endless body ends at the route’s timeout and counts as a failure', async t => {
  const fixture = await ForwarderFixture.start(t, {timeout: TIMEOUT}, [
    endless(received => bytesOf(SLOW_BODY, received)),
  ]);
  const startedAt = performance.now();
  const reply = await fixture.send({'x-attempt-id': 'slow-body'});
  t.is(reply.status, 504);
  t.true(performance.now() - startedAt < RESPONSE_DUE);
  await fixture.until(() => fixture.received[0]?.closed === true);
  const line = fixture.logLines.find(({event}) => event === 'attempt-failed');
  t.is(line?.fields['request'], 'slow-body');
});

test('a slow event that never ends counts as a failure', async t => {
  const fixture = await ForwarderFixture.start(t, STREAM, [
    endless(streamOf('', 'x', 10)),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 504);
  t.true(fixture.logLines.some(({event}) => event === 'attempt-failed'));
});

test('an endpoint that is only late with its response is not counted as failed at the deadline', async t => {
  const fixture = await ForwarderFixture.start(t, {timeout: 200}, [() => {}]);
  const reply = await fixture.send();
  t.is(reply.status, 504);
  t.false(fixture.logLines.some(({event}) => event === 'attempt-failed'));
});

test('an endpoint whose bodies never end gets two of thirty requests at most', async t => {
  let endlessBodies = 0;
  const [extensions] = BODIES.filter(({what}) => what === 'chunk extensions');
  const never = endless(received => {
    endlessBodies++;
    return bytesOf(extensions ?? SLOW_BODY, received);
  });
  const fixture = await ForwarderFixture.start(t, {}, [
    never,
    respondWith(200, 'done'),
  ]);
  for (let round = 0; round < 30; round++) await fixture.send();
  t.true(endlessBodies <= 2);
});

test('where the buffered responses exceed their limit, the largest is given up', t => {
  const evicted: string[] = [];
  const buffers = new ResponseBuffers(100);
  const small = buffers.open(() => evicted.push('small'));
  const large = buffers.open(() => evicted.push('large'));
  small.add(30);
  large.add(60);
  small.add(11);
  t.deepEqual(evicted, ['large']);
  large.add(90);
  large.close();
  small.add(59);
  t.deepEqual(evicted, ['large']);
  small.add(1);
  t.deepEqual(evicted, ['large', 'small']);
});

test('a small answer is served while endless bodies fill the buffers', async t => {
  const [chunks] = BODIES;
  const fixture = await ForwarderFixture.start(t, {timeout: 3_000}, [
    (received, response, count) => {
      const isSmall = received.message.url === '/drafts/small';
      const behave = isSmall
        ? respondWith(200, 'small')
        : endless(() => bytesOf(chunks ?? SLOW_BODY, received));
      behave(received, response, count);
    },
  ]);
  const large = Array.from({length: 6}, () => fixture.send());
  await fixture.until(() => fixture.received.length === 6);
  const small = await fixture.send({}, '', '/drafts/small');
  t.is(small.body, 'small');
  for (const {status} of await Promise.all(large)) t.is(status, 502);
});

test('an endless answer without a seal closes the connection', async t => {
  const sent: SentBytes = {count: 0};
  const head = `HTTP/1.1 200 OK\r\n${CHUNKED}\r\n\r\n`;
  const fixture = await ForwarderFixture.start(t, {}, [
    endless(() => ({head, part: CHUNK, pause: 0}), sent),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 502);
  await fixture.until(() => fixture.received[0]?.closed === true);
  t.true(sent.count < SOCKET_BUFFERS);
});
