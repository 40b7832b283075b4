/**
 * Findings of the third review that are no case: guards against a host that is
 * never ready where no endpoint is entered, health checks of an endpoint that has
 * said it wants nothing, and an endpoint taken for another one since it has other
 * weights than its caller asks for.
 */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {PlatformProtocol} from '../platform/protocol.js';
import {EndpointSelector} from '../source/balance/index.js';
import {SystemClock} from '../source/clock/index.js';
import {Prober} from '../source/edge/prober.js';
import {StartReports} from '../source/edge/startreports.js';
import {ConnectionPool} from '../source/forward/index.js';
import {EdgeFleet} from './support/edgeprocess.js';
import {
  createEndpoint,
  ForwarderFixture,
  respondWith,
  sealHeaders,
  type Behaviour,
} from './support/forwarding.js';
import {SILENT} from './support/silent.js';

const BACKOFF_SECONDS = 30;
/** Time for several health checks. */
const CHECKS_MILLISECONDS = 1_700;
const REQUESTS = 12;

test('a host is ready though its store lists no endpoint', async t => {
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  const host = await fleet.host('host-0');
  await fleet.ready(host);
  t.is((await fleet.read(host, 'key'))[0], 503);
});

test('an endpoint that answers a health check with 503 and Retry-After is left alone for that time', async t => {
  let checks = 0;
  const server = createServer((_, response) => {
    checks++;
    response.writeHead(503, {'retry-after': String(BACKOFF_SECONDS)});
    response.end();
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const clock = new SystemClock();
  const selector = new EndpointSelector({
    host: 'host-1',
    zone: 'palermo',
    clock,
    regions: {},
  });
  const endpoint = createEndpoint('engine-0', `127.0.0.1:${port}`);
  const {service} = endpoint.entry;
  const health = {name: service, healthPath: '/health', coldRate: 0};
  selector.setServices(new Map([[service, health]]));
  selector.setDirectory(new Map([['engine-0', endpoint]]));
  const reservation = selector.reserve({
    service,
    prompt: undefined,
    tier: 0,
    failedEndpoints: new Set(),
  });
  reservation?.unreachable();
  reservation?.release();
  const protocol = new PlatformProtocol();
  const directory = () => new Map();
  const prober = new Prober({
    selector,
    reports: new StartReports({protocol, clock, logger: SILENT, directory}),
    connections: new ConnectionPool(clock),
    protocol,
    clock,
    logger: SILENT,
  });
  prober.start();
  t.teardown(() => prober.stop());
  await new Promise(resolve => setTimeout(resolve, CHECKS_MILLISECONDS));
  t.is(checks, 1);
});

test('an endpoint that has other weights than a caller asks for is not taken for another one', async t => {
  const hasOtherWeights: Behaviour = (received, response, count) => {
    const expects = received.message.headers['x-expect-version'];
    if (expects === undefined)
      return respondWith(200, 'other weights')(received, response, count);
    const headers = {...sealHeaders(received), 'x-not-executed': '1'};
    response.writeHead(421, headers);
    response.end();
  };
  const route = {repeatable: true, attempts: 2};
  const fixture = await ForwarderFixture.start(t, route, [
    hasOtherWeights,
    respondWith(200, 'weights 7'),
  ]);
  const ask = async (headers = {}) => (await fixture.send(headers)).body;
  for (let request = 0; request < REQUESTS; request++)
    t.is(await ask({'x-expect-version': '7'}), 'weights 7');
  const bodies: string[] = [];
  for (let request = 0; request < REQUESTS; request++) bodies.push(await ask());
  t.deepEqual([...new Set(bodies)].sort(), ['other weights', 'weights 7']);
});
