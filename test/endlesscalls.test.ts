/** Calls to the store and the platform whose answers never end. */
import {createServer, type AddressInfo} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {PlatformStore} from '../platform/store.js';
import {WireError} from '../source/errors/index.js';
import {StoreError} from '../source/store/index.js';
import {callGuarded, exchangeBytes, PacedAgent} from '../source/wire/index.js';
import {sendEndlessly, type EndlessBytes} from './support/endless.js';

/** Milliseconds for a whole call. */
const BOUND = 400;
/** Milliseconds within which a call that is given up must have failed. */
const GIVEN_UP = 700;
const SOCKET_BUFFERS = 8_388_608;
const MAX_REPLY_BYTES = 8_388_608;
const FILLER = 'x'.repeat(65_536);
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

interface Peer {
  readonly address: string;
  readonly sent: {count: number};
  isClosed: boolean;
}

async function startPeer(
  t: ExecutionContext,
  bytes: EndlessBytes,
): Promise<Peer> {
  const sent = {count: 0};
  const server = createServer(socket => {
    socket.once('data', () => sendEndlessly(socket, bytes, sent));
    socket.resume();
    socket.on('close', () => (peer.isClosed = true));
    t.teardown(() => socket.destroy());
  });
  t.teardown(() => server.close());
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const peer: Peer = {address: `127.0.0.1:${port}`, sent, isClosed: false};
  return peer;
}

function get(address: string) {
  return {address, method: 'GET', path: '/', bound: BOUND, headers: {}};
}

async function untilClosed(peer: Peer): Promise<void> {
  while (!peer.isClosed) await new Promise(resolve => setTimeout(resolve, 5));
}

test('a reply that never ends fails the call before it fills the memory', async t => {
  const peer = await startPeer(t, {head: HEAD, part: FILLER, pause: 0});
  const call = {...get(peer.address), bound: 10_000};
  const startedAt = performance.now();
  const error = await t.throwsAsync(exchangeBytes(call), {
    instanceOf: WireError,
  });
  t.is(error?.stage, 'cut');
  t.true(performance.now() - startedAt < 5_000);
  await untilClosed(peer);
  t.true(peer.sent.count < MAX_REPLY_BYTES + SOCKET_BUFFERS);
});

const SLOW: ReadonlyArray<EndlessBytes & {readonly what: string}> = [
  {what: 'body', head: HEAD, part: 'x', pause: 10},
  {what: 'head', head: 'HTTP/1.1 200 OK\r\na: ', part: 'x', pause: 10},
  {
    what: 'series of informational responses',
    head: '',
    part: 'HTTP/1.1 103 Early Hints\r\n\r\n',
    pause: 10,
  },
  {
    what: 'switch of protocols',
    head: 'HTTP/1.1 101 Switching\r\nupgrade: any\r\nconnection: upgrade\r\n\r\n',
    part: 'x',
    pause: 10,
  },
];

for (const bytes of SLOW) {
  test(`a reply with a slow endless ${bytes.what} ends at the bound of the call`, async t => {
    const peer = await startPeer(t, bytes);
    const startedAt = performance.now();
    const error = await t.throwsAsync(exchangeBytes(get(peer.address)), {
      instanceOf: WireError,
    });
    t.is(error?.stage, 'cut');
    t.true(performance.now() - startedAt < GIVEN_UP);
    await untilClosed(peer);
  });

  test(`a guarded call whose reply has a slow endless ${bytes.what} ends at its bound`, async t => {
    const peer = await startPeer(t, bytes);
    const call = {...get(peer.address), method: 'POST', body: {}};
    const startedAt = performance.now();
    await t.throwsAsync(
      callGuarded(call, () => true),
      {instanceOf: WireError},
    );
    t.true(performance.now() - startedAt < GIVEN_UP);
    await untilClosed(peer);
  });
}

test('a store whose page never ends counts as one that gives no answer', async t => {
  const peer = await startPeer(t, {head: HEAD, part: FILLER, pause: 0});
  const store = new PlatformStore(peer.address);
  const reading = store.readNewest('keyed.op', 10_000);
  const error = await t.throwsAsync(reading, {instanceOf: StoreError});
  t.is(error?.failure, 'unanswered');
  await untilClosed(peer);
});

for (const [what, chunk] of Object.entries({
  'chunks of one byte': '1\r\nx\r\n',
  'chunks with long extensions': `1;${'e'.repeat(4_000)}\r\nx\r\n`,
}))
  test(`a reply in ${what} without end holds up no timer and ends at the bound of its call`, async t => {
    const peer = await startPeer(t, {
      head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
      part: chunk.repeat(Math.ceil(65_536 / chunk.length)),
      pause: 0,
    });
    let ticks = 0;
    const timer = setInterval(() => ticks++, 10);
    t.teardown(() => clearInterval(timer));
    const startedAt = performance.now();
    const agent = new PacedAgent();
    const error = await t.throwsAsync(
      exchangeBytes({...get(peer.address), agent}),
      {instanceOf: WireError},
    );
    t.is(error?.stage, 'cut');
    const duration = performance.now() - startedAt;
    t.true(duration < GIVEN_UP, `${duration} ms`);
    t.true(ticks > duration / 100, `${ticks} ticks in ${duration} ms`);
    await untilClosed(peer);
  });
