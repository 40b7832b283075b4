/**
 * Host processes before an endpoint that names a limit and others that do not:
 * the limit holds over all hosts, and what does not fit is served elsewhere.
 */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {EdgeFleet, sealed, type HostProcess} from './support/edgeprocess.js';
import {KeptCaller} from './support/keptcaller.js';

const HOSTS = 3;
const LIMIT = 2;
/** From the users' rules. */
const WINDOW_MILLISECONDS = 4_000;
const CONTACT_MILLISECONDS = 3_000;
const MOST = (LIMIT * WINDOW_MILLISECONDS * 1.5) / 1_000 + 5;
const LENGTH_MILLISECONDS = 10_000;
const INTERVAL_MILLISECONDS = 50;

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

test('an endpoint that names a limit does not get more from all hosts together', async t => {
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  await fleet.endpoint('free-1');
  await fleet.endpoint('free-2');
  const arrivals: number[] = [];
  const capped = createServer((message, response) => {
    message.resume();
    arrivals.push(performance.now());
    const limit = {'server-limit': String(LIMIT)};
    response.writeHead(200, {...sealed(message), ...limit});
    response.end('capped');
  });
  t.teardown(() => capped.close());
  await new Promise<void>(resolve => capped.listen(0, '127.0.0.1', resolve));
  const {port} = capped.address() as AddressInfo;
  fleet.enter('capped', `127.0.0.1:${port}`, 'ready');
  const hosts: HostProcess[] = [];
  for (let index = 0; index < HOSTS; index++)
    hosts.push(await fleet.host(`host-${index}`));
  await Promise.all(hosts.map(host => fleet.ready(host)));

  const until = performance.now() + LENGTH_MILLISECONDS;
  const statuses: number[] = [];
  const call = async (host: HostProcess) => {
    const caller = new KeptCaller(host.callers);
    while (performance.now() < until) {
      statuses.push((await caller.ask({path: '/read/1'})).status);
      await wait(INTERVAL_MILLISECONDS);
    }
    caller.stop();
  };
  await Promise.all([...hosts, ...hosts].map(call));
  capped.closeAllConnections();

  const [named = 0] = arrivals;
  const bound = arrivals.filter(at => at > named + CONTACT_MILLISECONDS);
  t.true(bound.length > 0, 'it is asked now and then');
  const inWindow = (from: number) =>
    bound.filter(at => at >= from && at < from + WINDOW_MILLISECONDS).length;
  const most = Math.max(...bound.map(inWindow));
  t.true(most <= MOST, `${most} in ${WINDOW_MILLISECONDS} ms`);
  t.true(statuses.every(status => status === 200));
});
