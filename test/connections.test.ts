/**
 * Connections to endpoints whose responses are truncated, sent twice or never
 * started (invariants 10 to 12). A real server on the loopback interface
 * responds with the bytes that a test gives.
 */
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {Cancellation} from '../source/cancellation/index.js';
import {SystemClock} from '../source/clock/index.js';
import {Refusal, WireError} from '../source/errors/index.js';
import {ConnectionPool, type EndpointRequest} from '../source/forward/index.js';
import {Holding} from '../source/memory/index.js';
import {readWhole} from '../source/relay/index.js';

const HEAD = 'HTTP/1.1 200 OK\r\nx-served-by: test\r\n';
/** Longer than an endpoint may take to accept a connection. */
const STANDSTILL_MILLISECONDS = 400;

type Behaviour = (socket: Socket) => void;

async function startServer(
  t: ExecutionContext,
  behaviour: Behaviour,
): Promise<string> {
  const server: Server = createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', () => behaviour(socket));
  });
  t.teardown(() => server.close());
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function requestTo(address: string, fresh = true): EndpointRequest {
  return {
    address,
    method: 'GET',
    url: '/',
    headers: ['Host', 'test'],
    body: Buffer.alloc(0),
    fresh,
    isOpen: () => true,
  };
}

function createPool(): ConnectionPool {
  return new ConnectionPool(new SystemClock());
}

async function readBodyAndCompleteness(
  address: string,
): Promise<[string, boolean]> {
  const signal = new Cancellation();
  const pool = createPool();
  const response = await pool.send(requestTo(address), signal);
  const body = await readWhole(response.message, {
    limit: 1_000,
    silence: 5_000,
    signal,
    isWhole: response.isComplete,
  });
  return [body.toString(), await response.isComplete()];
}

test('a response without a length whose connection ends normally is complete', async t => {
  const address = await startServer(t, socket =>
    socket.end(`${HEAD}\r\nwhole`),
  );
  t.deepEqual(await readBodyAndCompleteness(address), ['whole', true]);
});

test('a response without a length whose connection is reset with the last bytes is not complete', async t => {
  const address = await startServer(t, socket => {
    socket.write(`${HEAD}\r\npart`, () => socket.resetAndDestroy());
  });
  const outcome = await readBodyAndCompleteness(address).catch(
    (error: unknown) => {
      t.true(error instanceof WireError);
      return ['part', false];
    },
  );
  t.deepEqual(outcome, ['part', false]);
});

test('nothing is sent to an endpoint that leaves while the connection is established', async t => {
  let received = 0;
  const address = await startServer(t, () => received++);
  let asked = 0;
  const isOpen = () => {
    asked++;
    return false;
  };
  const sending = createPool().send(
    {...requestTo(address), isOpen},
    new Cancellation(),
  );
  const error = await t.throwsAsync(sending, {instanceOf: WireError});
  t.is(error?.stage, 'connect');
  t.is(asked, 1);
  t.is(received, 0);
});

test('a pooled connection that receives unsolicited data is not reused', async t => {
  let connections = 0;
  const address = await startServer(t, socket => {
    const isNew = !seen.has(socket);
    seen.add(socket);
    if (isNew) connections++;
    socket.write(`${HEAD}content-length: 2\r\n\r\nok`);
    setImmediate(() => socket.write(`${HEAD}content-length: 2\r\n\r\nno`));
  });
  const seen = new Set<Socket>();
  const pool = createPool();
  const signal = new Cancellation();
  for (let round = 0; round < 3; round++) {
    const response = await pool.send(requestTo(address, false), signal);
    const body = await readWhole(response.message, {
      limit: 1_000,
      silence: 5_000,
      signal,
      isWhole: response.isComplete,
    });
    t.is(body.toString(), 'ok');
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  t.is(connections, 3);
});

// Serial, since the standstill is one of all tests of the process.
test.serial(
  'a connection that was made while this process stood still is not given up',
  async t => {
    const address = await startServer(t, socket =>
      socket.write(`${HEAD}content-length: 2\r\n\r\nok`),
    );
    const sending = createPool().send(requestTo(address), new Cancellation());
    // The connection is begun by now, and its events are read after the timers.
    await new Promise<void>(resolve => process.nextTick(resolve));
    const until = performance.now() + STANDSTILL_MILLISECONDS;
    while (performance.now() < until);
    const {message} = await sending;
    t.is(message.statusCode, 200);
    message.resume();
  },
);

test('a pooled connection is reused', async t => {
  const seen = new Set<Socket>();
  const address = await startServer(t, socket => {
    seen.add(socket);
    socket.write(`${HEAD}content-length: 2\r\n\r\nok`);
  });
  const pool = createPool();
  const signal = new Cancellation();
  for (let round = 0; round < 3; round++) {
    const {message, isComplete: isWhole} = await pool.send(
      requestTo(address, false),
      signal,
    );
    await readWhole(message, {limit: 1_000, silence: 5_000, signal, isWhole});
    await new Promise(resolve => setImmediate(resolve));
  }
  t.is(seen.size, 1);
});

test('a refused connection is a failure at stage connect, with nothing sent', async t => {
  const server = createServer();
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  const sending = createPool().send(
    requestTo(`127.0.0.1:${port}`),
    new Cancellation(),
  );
  const error = await t.throwsAsync(sending, {instanceOf: WireError});
  t.is(error.stage, 'connect');
});

test('a connection closed without a response is a failure at stage write, so the request may have run', async t => {
  const address = await startServer(t, socket => socket.destroy());
  const sending = createPool().send(requestTo(address), new Cancellation());
  const error = await t.throwsAsync(sending, {instanceOf: WireError});
  t.is(error.stage, 'write');
});

test('a request that Node refuses to send is refused as not run and no failure of the endpoint', async t => {
  const unsendable = [
    {...requestTo('127.0.0.1:80'), url: '/a b'},
    {...requestTo('127.0.0.1:80'), headers: ['name', 'a\nb']},
    requestTo('127.0.0.1:99999'),
  ];
  for (const endpointRequest of unsendable) {
    const sending = createPool().send(endpointRequest, new Cancellation());
    const error = await t.throwsAsync(sending, {instanceOf: Refusal});
    t.is(error.outcome, 'not-run');
  }
});

test('an abandoned request is reset, so that bytes held up on the way do not arrive later', async t => {
  const ends: string[] = [];
  const signal = new Cancellation();
  const address = await startServer(t, socket => {
    socket.on('end', () => ends.push('end'));
    socket.on('error', ({message}) => ends.push(message));
    signal.abort();
  });
  const sent = createPool().send(requestTo(address, false), signal);
  const error = await t.throwsAsync(sent, {instanceOf: WireError});
  t.is(error?.stage, 'write');
  while (ends.length === 0) await new Promise(done => setTimeout(done, 5));
  t.deepEqual(ends, ['read ECONNRESET']);
});

for (const fresh of [true, false]) {
  const kind = fresh ? 'a single-use' : 'a pooled';
  test(`an endpoint that answers and never reads the body does not keep its memory, on ${kind} connection`, async t => {
    const address = await startServer(t, socket => {
      socket.pause();
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
    });
    const bytes = 8_000_000;
    let freed = 0;
    const holding = new Holding(bytes, count => (freed += count));
    const signal = new Cancellation();
    const headers = ['Host', address, 'Content-Length', String(bytes)];
    const body = Buffer.alloc(bytes);
    const request = {...requestTo(address, fresh), headers, body, holding};
    const response = await createPool().send(request, signal);
    const answer = await readWhole(response.message, {
      limit: 1_000,
      silence: 5_000,
      signal,
      isWhole: response.isComplete,
    });
    t.is(answer.toString(), 'ok');
    t.true(await response.isComplete());
    holding.release();
    const end = performance.now() + 2_000;
    while (freed === 0 && performance.now() < end)
      await new Promise(resolve => setTimeout(resolve, 10));
    t.is(freed, bytes);
  });
}
