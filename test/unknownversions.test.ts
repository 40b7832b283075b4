/**
 * Streams that callers take up while a host knows no endpoint of their service.
 * Guards against taking that for a service whose endpoints state no versions, so
 * that the streams go on at whichever version comes next.
 */
import test from 'ava';

import {STREAM_LIFETIME_MILLISECONDS} from '../source/versions/index.js';
import {EdgeFleet, type HostProcess} from './support/edgeprocess.js';
import {
  BROKEN_AFTER,
  EVENTS,
  readStream as read,
  streamOf,
} from './support/streams.js';
import {
  begin,
  KNOWN_V1,
  LONG_RUNNING_MILLISECONDS,
  SERVICE,
  UNKNOWN,
  World,
} from './support/versionsworld.js';

const NO_ENDPOINT = {kind: 'no-endpoint'} as const;
const UNVERSIONED = {kind: 'unversioned'} as const;
const STREAMS = 6;
/** Time in which hosts that were restarted get the streams of callers. */
const TAKEN_UP_MILLISECONDS = 500;
/** Time that callers of taken-up streams give the hosts. */
const DEADLINE = {'x-deadline-ms': '1900'};

/** All hosts are killed while the service has no endpoint. */
async function killedWithoutEndpoints(): Promise<World> {
  const world = new World();
  world.serve({a: 'v1', b: 'v1'}, LONG_RUNNING_MILLISECONDS);
  const host = world.host();
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  begin(host, 'old', 'v1');
  world.serve({});
  world.killAll();
  return world;
}

test('a host that knows no endpoint has no version for a stream, also once another version has come', async t => {
  const world = await killedWithoutEndpoints();
  const host = world.host();
  const cameAt = world.clock.monotonic();
  t.deepEqual(await host.versionOf(SERVICE, 'old'), NO_ENDPOINT);
  await world.pass(1_000);
  world.serve({c: 'v2', d: 'v2'});
  t.deepEqual(await host.versionOf(SERVICE, 'old', cameAt), UNKNOWN);
});

test('what a host has followed while a stream waited says nothing of the time before', async t => {
  const world = await killedWithoutEndpoints();
  const host = world.host();
  world.serve({c: 'v2', d: 'v2'});
  await world.pass(5_000);
  const cameAt = world.clock.monotonic();
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  t.deepEqual(await host.versionOf(SERVICE, 'old', cameAt), UNKNOWN);
});

test('a stream goes on at its version if endpoints come back that have run for long', async t => {
  const world = await killedWithoutEndpoints();
  const host = world.host();
  const cameAt = world.clock.monotonic();
  t.deepEqual(await host.versionOf(SERVICE, 'old'), NO_ENDPOINT);
  world.serve({a: 'v1'}, 2 * LONG_RUNNING_MILLISECONDS);
  t.deepEqual(await host.versionOf(SERVICE, 'old', cameAt), KNOWN_V1);
});

test('a service whose endpoints state no version goes on as soon as one is there', async t => {
  const world = new World();
  world.serve({});
  const host = world.host();
  const known = host.whenEndpointKnown(SERVICE, 1_000);
  await world.pass(300);
  world.serve({a: undefined});
  t.true(await known);
  t.deepEqual(await host.versionOf(SERVICE, 'old'), UNVERSIONED);
  world.store.isAway = true;
  t.deepEqual(await host.versionOf(SERVICE, 'old'), UNVERSIONED);
});

test('endpoints that state a version no more are another version', async t => {
  const world = new World();
  world.serve({a: 'v1'}, LONG_RUNNING_MILLISECONDS);
  const [host, other] = [world.host(), world.host()];
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  begin(other, 'old', 'v1');
  world.serve({b: undefined});
  await world.pass(300);
  t.deepEqual(await host.versionOf(SERVICE, 'old'), KNOWN_V1);
  t.deepEqual(await host.versionOf(SERVICE, 'unknown'), UNKNOWN);
});

test('the wait for an endpoint ends in time', async t => {
  const world = new World();
  const host = world.host();
  const known = host.whenEndpointKnown(SERVICE, 1_000);
  await world.pass(1_000);
  t.false(await known);
  world.serve({a: 'v1'});
  t.true(await host.whenEndpointKnown(SERVICE, 0));
});

test('of two hosts one is killed while the service has no endpoint: the other one’s records tell', async t => {
  const world = new World();
  world.serve({a: 'v1'}, LONG_RUNNING_MILLISECONDS);
  const running = world.host();
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  begin(running, 'old', 'v1');
  world.serve({});
  const restarted = world.host();
  const cameAt = world.clock.monotonic();
  t.deepEqual(await restarted.versionOf(SERVICE, 'old'), NO_ENDPOINT);
  t.deepEqual(await running.versionOf(SERVICE, 'other'), KNOWN_V1);
  world.serve({c: 'v2'});
  await world.pass(300);
  t.deepEqual(await restarted.versionOf(SERVICE, 'old', cameAt), KNOWN_V1);
});

/** Two hosts are killed and started again, with no endpoint of the service. */
async function restartAll(
  fleet: EdgeFleet,
  hosts: readonly HostProcess[],
): Promise<HostProcess[]> {
  for (const {child} of hosts) child.kill('SIGKILL');
  await Promise.all(hosts.map(({ended}) => ended));
  return hosts.map(host => fleet.restart(host));
}

/** Begins streams at two hosts, which are then killed and started again. */
async function beginThenRestart(
  fleet: EdgeFleet,
  leave: () => void,
): Promise<HostProcess[]> {
  const hosts = [await fleet.host('host-0'), await fleet.host('host-1')];
  await Promise.all(hosts.map(host => fleet.ready(host)));
  for (let stream = 0; stream < STREAMS; stream++) {
    const host = hosts[stream % hosts.length];
    const headers = {'x-attempt-id': `begun-${stream}`};
    if (host) await read(host, headers, BROKEN_AFTER);
  }
  leave();
  const returned = await restartAll(fleet, hosts);
  await Promise.all(returned.map(host => fleet.ready(host)));
  return returned;
}

/** Takes all streams up; returns the endpoints that wrote the rest of each. */
function takeUp(hosts: readonly HostProcess[]): Promise<string[][]> {
  const headers = (stream: number) => ({
    'x-attempt-id': `again-${stream}`,
    'last-event-id': String(BROKEN_AFTER),
    resumes: `begun-${stream}`,
    ...DEADLINE,
  });
  const streams = Array.from({length: STREAMS}, (_, stream) => {
    const host = hosts[stream % hosts.length];
    return host ? read(host, headers(stream), EVENTS) : [];
  });
  return Promise.all(streams);
}

test('after all hosts were killed while a service had no endpoint, its streams go on at no other version', async t => {
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  // A host is ready only when there is an endpoint of some service.
  fleet.site.put('keyed.servers', 'other', {
    service: 'archive',
    address: '127.0.0.1:9',
    zone: 'palermo',
    version: 'v1',
    slots: 6,
    state: 'ready',
  });
  await fleet.endpoint('a-1', streamOf('a-1'), 'v1');
  const hosts = await beginThenRestart(fleet, () => fleet.remove('a-1'));
  const taken = takeUp(hosts);
  await new Promise(resolve => setTimeout(resolve, TAKEN_UP_MILLISECONDS));
  fleet.born = Date.now();
  await fleet.endpoint('b-1', streamOf('b-1'), 'v2');
  t.deepEqual((await taken).flat(), []);
  t.is(fleet.seen.get('b-1') ?? 0, 0);
});

test('after all hosts were killed, the streams of a service without versions go on when an endpoint is there', async t => {
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  fleet.statesVersions = false;
  await fleet.endpoint('a-1', streamOf('a-1'));
  const address = fleet.addresses.get('a-1') ?? '';
  const hosts = await beginThenRestart(fleet, () => {});
  const rest = await takeUp(hosts);
  t.true(rest.every(names => names.length === EVENTS - BROKEN_AFTER));
  fleet.remove('a-1');
  const taken = takeUp(hosts);
  await new Promise(resolve => setTimeout(resolve, TAKEN_UP_MILLISECONDS));
  fleet.enter('a-1', address, 'ready');
  t.true((await taken).every(names => names.length > 0));
});
