/** What operators see of blocked parts of prompts, and how they lift a block. */
import {request, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {SystemClock} from '../source/clock/index.js';
import {createOperatorServer} from '../source/edge/servers.js';
import {Metrics} from '../source/metrics/index.js';
import {Quarantine} from '../source/quarantine/index.js';
import {seededRandom} from '../source/random/index.js';
import {SILENT} from './support/silent.js';

async function listen(t: ExecutionContext, server: Server): Promise<number> {
  t.teardown(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

function ask(
  port: number,
  method: string,
  path: string,
): Promise<[number, string]> {
  return new Promise((resolve, reject) => {
    const sent = request({port, host: '127.0.0.1', method, path}, message => {
      let text = '';
      message.on('data', (part: Buffer) => (text += part.toString()));
      message.on('end', () => resolve([message.statusCode ?? 0, text]));
    });
    sent.on('error', reject);
    sent.end();
  });
}

test('an operator lists the blocked parts and requests and lifts the block of one', async t => {
  const metrics = new Metrics();
  const quarantine = new Quarantine({
    host: 'host-1',
    hosts: () => ['host-1'],
    clock: new SystemClock(),
    logger: SILENT,
    metrics,
    random: seededRandom(1),
    sendCrash: () => {},
    sendBegun: () => {},
    onChange: () => {},
    onBlocked: () => {},
    onEndpointCrashed: () => {},
  });
  const blocked = {revision: 1, isBlocked: true, reviewIn: 60_000, team: ''};
  quarantine.handleEntries([
    {kind: 'part', part: 'bad', ...blocked},
    {kind: 'request', part: 'f1', ...blocked, team: 'guides'},
  ]);
  const server = createOperatorServer({metrics, quarantine, logger: SILENT});
  const port = await listen(t, server);

  const [status, text] = await ask(port, 'GET', '/blocked-parts');
  t.is(status, 200);
  const [listed] = JSON.parse(text) as Array<{part: string}>;
  t.is(listed?.part, 'bad');
  t.deepEqual(await ask(port, 'GET', '/blocked-parts/bad'), [405, '']);
  t.deepEqual(await ask(port, 'DELETE', '/blocked-parts/other'), [404, '']);
  t.deepEqual(await ask(port, 'DELETE', '/blocked-parts/bad'), [204, '']);
  t.deepEqual(await ask(port, 'GET', '/blocked-parts'), [200, '[]']);
  const [, all] = await ask(port, 'GET', '/blocked');
  const [request, ...others] = JSON.parse(all) as Array<{
    kind: string;
    id: string;
    team: string;
  }>;
  t.deepEqual(others, []);
  t.like(request, {kind: 'request', id: 'f1', team: 'guides'});
  t.deepEqual(await ask(port, 'DELETE', '/blocked/part/f1'), [404, '']);
  t.deepEqual(await ask(port, 'DELETE', '/blocked/request/f1'), [204, '']);
  const [, shown] = await ask(port, 'GET', '/metrics');
  t.true(shown.includes('arbutusslip_part_unblocked_total'));
});
