/**
 * Endpoints whose answers to health checks never end: the host closes their
 * connections, and lets no such answer pass.
 */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {PlatformProtocol} from '../platform/protocol.js';
import {EndpointSelector} from '../source/balance/index.js';
import {SystemClock} from '../source/clock/index.js';
import {Prober} from '../source/edge/prober.js';
import {StartReports} from '../source/edge/startreports.js';
import {ConnectionPool} from '../source/forward/index.js';
import {
  CHUNK,
  CHUNKED,
  sendEndlessly,
  SOCKET_BUFFERS,
  type SentBytes,
} from './support/endless.js';
import {createEndpoint} from './support/forwarding.js';
import {SILENT} from './support/silent.js';

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
    reports: new StartReports({
      protocol: new PlatformProtocol(),
      logger: SILENT,
      clock,
      directory: () => new Map(),
    }),
    connections: new ConnectionPool(clock),
    protocol: new PlatformProtocol(),
    clock,
    logger: SILENT,
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
