/** What endpoints state of their load in the answers to health checks. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {PlatformProtocol} from '../platform/protocol.js';
import {EndpointSelector} from '../source/balance/index.js';
import {SystemClock} from '../source/clock/index.js';
import {Prober} from '../source/edge/prober.js';
import {StartReports} from '../source/edge/startreports.js';
import {ConnectionPool} from '../source/forward/index.js';
import type {RatesChange} from '../source/servicerates/index.js';
import {createEndpoint} from './support/forwarding.js';
import {SILENT} from './support/silent.js';

const SERVICE = 'drafting';
const LOADS = ['1,0,8,250', '1,0,8,0', '1,0,8,-1'];

test('a health check tells the work factor of its endpoint, and a malformed one once', async t => {
  let checks = 0;
  const server = createServer((_, response) => {
    const load = LOADS[checks++ % LOADS.length];
    response.writeHead(503, {'x-server-load': load});
    response.end();
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const clock = new SystemClock();
  const changes: RatesChange[] = [];
  const selector = new EndpointSelector({
    host: 'host-1',
    zone: 'palermo',
    clock,
    regions: {},
    onRatesChange: change => changes.push(change),
  });
  const service = {name: SERVICE, healthPath: '/health', coldRate: 0};
  selector.setServices(new Map([[SERVICE, service]]));
  const {port} = server.address() as AddressInfo;
  const endpoint = createEndpoint('engine-0', `127.0.0.1:${port}`);
  selector.setDirectory(new Map([['engine-0', endpoint]]));
  const unreachable = selector.reserve({
    service: SERVICE,
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
  while (checks < LOADS.length + 1)
    await new Promise(resolve => setTimeout(resolve, 20));
  t.true(selector.rates.isInUse(SERVICE));
  t.is(selector.rates.statingCount(SERVICE), 1);
  const firsts = changes.filter(
    change => change.kind === 'malformed' && change.isFirst,
  );
  t.is(firsts.length, 1);
  t.deepEqual(changes[0], {kind: 'use', service: SERVICE, isInUse: true});
});
