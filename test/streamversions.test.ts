/**
 * Hosts that remember at which software version streams began, on a manual
 * clock and a store in memory. Guards against streams that go on at another
 * version when callers take them up, after single hosts or all of them have been
 * killed during or just after a release.
 */
import test from 'ava';

import {UNSTATED_VERSION} from '../source/directory/index.js';
import {
  decideVersion,
  STREAM_LIFETIME_MILLISECONDS,
  type StreamVersions,
} from '../source/versions/index.js';
import {createEndpoint} from './support/forwarding.js';
import {
  begin,
  KNOWN_V1,
  LONG_RUNNING_MILLISECONDS,
  SERVICE,
  UNKNOWN,
  World,
} from './support/versionsworld.js';

/** A host that has known for long that all endpoints are of one version. */
async function longWithOneVersion(): Promise<{
  world: World;
  host: StreamVersions;
}> {
  const world = new World();
  world.serve({a: 'v1', b: 'v1'}, LONG_RUNNING_MILLISECONDS);
  const host = world.host();
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  return {world, host};
}

test('nothing is appended or read while one version serves', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v1'}, LONG_RUNNING_MILLISECONDS);
  const host = world.host();
  const other = world.host();
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  begin(host, 'one', 'v1');
  await world.pass(1_000);
  t.deepEqual(await other.versionOf(SERVICE, 'one'), KNOWN_V1);
  t.is(world.store.calls, 0);
});

test('a stream of a release that another host began goes on at its version', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const [first, second] = [world.host(), world.host()];
  begin(first, 'old', 'v1');
  begin(first, 'new', 'v2');
  t.deepEqual(await second.versionOf(SERVICE, 'old'), KNOWN_V1);
  t.deepEqual(await second.versionOf(SERVICE, 'new'), {
    kind: 'known',
    version: 'v2',
  });
  t.deepEqual(await second.versionOf(SERVICE, 'other'), UNKNOWN);
  t.deepEqual(await second.versionOf(SERVICE, undefined), UNKNOWN);
});

test('a stream that began before a release goes on at the old version', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v1'}, LONG_RUNNING_MILLISECONDS);
  const [first, second] = [world.host(), world.host()];
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  begin(first, 'before', 'v1');
  world.serve({a: 'v1', b: 'v2'});
  await world.pass(300);
  t.deepEqual(await second.versionOf(SERVICE, 'before'), KNOWN_V1);
});

test('after all hosts were killed, what a release began is known from the store', async t => {
  const {world, host} = await longWithOneVersion();
  world.serve({a: 'v1', b: 'v2'});
  begin(host, 'recorded', 'v1');
  await world.pass(300);
  begin(host, 'too late', 'v1');
  world.killAll();
  world.serve({a: 'v1', b: 'v2'});
  const returned = world.host();
  t.deepEqual(await returned.versionOf(SERVICE, 'recorded'), KNOWN_V1);
  t.deepEqual(await returned.versionOf(SERVICE, 'too late'), UNKNOWN);
});

test('after all hosts were killed and the old version has left, its streams go on nowhere', async t => {
  const {world, host} = await longWithOneVersion();
  begin(host, 'old', 'v1');
  world.killAll();
  world.serve({c: 'v2', d: 'v2'});
  await world.pass(2_000);
  t.deepEqual(await world.host().versionOf(SERVICE, 'old'), UNKNOWN);
});

test('after all hosts were killed with one version in service, streams go on', async t => {
  const {world, host} = await longWithOneVersion();
  begin(host, 'old', 'v1');
  world.killAll();
  await world.pass(2_000);
  t.deepEqual(await world.host().versionOf(SERVICE, 'old'), KNOWN_V1);
});

test('after all hosts were killed soon after the start of the platform, streams go on', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v1'});
  const host = world.host();
  await world.pass(5_000);
  begin(host, 'old', 'v1');
  await world.pass(300);
  world.killAll();
  await world.pass(2_000);
  t.deepEqual(await world.host().versionOf(SERVICE, 'old'), KNOWN_V1);
});

test('what a host gathers goes through the host that appends for it', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const recorder = world.host();
  const host = world.host(() => recorder);
  begin(host, 'one', 'v1');
  await world.pass(250);
  t.is(world.store.records.length, 0);
  await world.pass(250);
  t.is(world.store.records.length, 1);
  t.deepEqual(await world.host().versionOf(SERVICE, 'one'), KNOWN_V1);
});

test('what a recorder that is gone does not confirm is appended by its owner, and soon', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const host = world.host(() => undefined);
  begin(host, 'one', 'v1');
  for (let round = 0; round < 8; round++) await world.pass(100);
  t.is(world.store.records.length, 1);
  t.deepEqual(world.missed, ['host-0']);
  t.deepEqual(await world.host().versionOf(SERVICE, 'one'), KNOWN_V1);
});

test('what a recorder that cannot reach the store has taken stays with its owner', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const recorder = world.host();
  const host = world.host(() => recorder);
  world.cutFromStore(0);
  begin(host, 'one', 'v1');
  for (let round = 0; round < 8; round++) await world.pass(100);
  t.deepEqual(world.missed, ['host-1']);
  t.deepEqual(await world.host().versionOf(SERVICE, 'one'), KNOWN_V1);
});

test('a recorder that is stopped appends what it has gathered', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const recorder = world.host();
  const host = world.host(() => recorder);
  begin(host, 'one', 'v1');
  await world.pass(200);
  t.is(world.store.records.length, 0);
  await recorder.stop();
  t.is(world.store.records.length, 1);
  await world.pass(600);
  t.is(world.store.records.length, 1);
  t.deepEqual(world.missed, []);
});

test('while the store is away for all, no recorder is blamed, and nothing is lost', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const recorder = world.host();
  const host = world.host(() => recorder);
  world.store.isAway = true;
  begin(host, 'one', 'v1');
  for (let round = 0; round < 12; round++) await world.pass(100);
  t.deepEqual(world.missed, []);
  world.store.isAway = false;
  for (let round = 0; round < 12; round++) await world.pass(100);
  t.deepEqual(await world.host().versionOf(SERVICE, 'one'), KNOWN_V1);
});

test('a store that is away delays the records and loses none', async t => {
  const world = new World();
  world.serve({a: 'v1', b: 'v2'});
  const [host, other] = [world.host(), world.host()];
  world.store.isAway = true;
  begin(host, 'one', 'v1');
  await world.pass(300);
  t.deepEqual(await other.versionOf(SERVICE, 'one'), UNKNOWN);
  world.store.isAway = false;
  for (let round = 0; round < 4; round++) await world.pass(300);
  t.deepEqual(await other.versionOf(SERVICE, 'one'), KNOWN_V1);
});

test('a version is certain only where every version that can have served is the same', t => {
  const evidence = {
    seen: new Set(['v1']),
    hasFollowed: false,
    isUpToDate: true,
    isMixed: false,
    recorded: new Set<string>(),
    hasLongRunning: false,
  };
  t.deepEqual(decideVersion(evidence), UNKNOWN);
  t.deepEqual(decideVersion({...evidence, hasFollowed: true}), KNOWN_V1);
  t.deepEqual(decideVersion({...evidence, hasLongRunning: true}), KNOWN_V1);
  const recorded = new Set(['v1']);
  t.deepEqual(decideVersion({...evidence, recorded}), KNOWN_V1);
  const other = new Set(['v2']);
  t.deepEqual(decideVersion({...evidence, recorded: other}), UNKNOWN);
  const mixed = {...evidence, hasFollowed: true, isMixed: true};
  t.deepEqual(decideVersion(mixed), UNKNOWN);
  const late = {...evidence, hasFollowed: true, isUpToDate: false};
  t.deepEqual(decideVersion(late), UNKNOWN);
  const none = {...evidence, seen: new Set<string>()};
  t.deepEqual(decideVersion(none), {kind: 'no-endpoint'});
  t.deepEqual(decideVersion({...none, recorded}), KNOWN_V1);
  const unstated = {...evidence, seen: new Set([UNSTATED_VERSION])};
  t.deepEqual(decideVersion(unstated), {kind: 'unversioned'});
  t.deepEqual(decideVersion({...unstated, recorded}), UNKNOWN);
  const changed = new Set(['v1', UNSTATED_VERSION]);
  const known = {...evidence, seen: changed, hasFollowed: true};
  t.deepEqual(decideVersion(known), UNKNOWN);
});

test('streams that began before the store came back from a copy are appended again, once', async t => {
  const world = new World();
  world.serve({'engine-1': 'v1', 'engine-2': 'v2'});
  const [first, second] = [world.host(), world.host()];
  world.reportEra(1);
  begin(first, 'a-1', 'v1');
  await world.pass(1_000);
  t.deepEqual(await second.versionOf(SERVICE, 'a-1'), {
    kind: 'known',
    version: 'v1',
  });
  t.is(world.store.records.length, 1);
  world.store.records.splice(0);
  world.reportEra(2);
  await world.pass(1_000);
  t.is(world.store.records.length, 1);
});

test('a stream of a version that came and went unseen goes on at another one', async t => {
  const {host} = await longWithOneVersion();
  const {entry} = createEndpoint('c', '127.0.0.1:1', 'v2');
  host.recordEntries([
    {id: 'c', entry},
    {id: 'c', entry: undefined},
  ]);
  t.deepEqual(await host.versionOf(SERVICE, 'one'), UNKNOWN);
});

test('a host that has missed entries reads the records of all hosts', async t => {
  const {world, host} = await longWithOneVersion();
  await host.versionOf(SERVICE, 'one');
  t.is(world.store.calls, 0);
  host.recordEntries([{id: 'never seen', entry: undefined}]);
  await host.versionOf(SERVICE, 'one');
  t.true(world.store.calls > 0);
  const calls = world.store.calls;
  await world.pass(STREAM_LIFETIME_MILLISECONDS);
  host.recordMissedEntries();
  await host.versionOf(SERVICE, 'one');
  t.true(world.store.calls > calls);
});

test('a host whose directory is not up to date takes its only version for the only one', async t => {
  const {world, host} = await longWithOneVersion();
  begin(host, 'own', 'v1');
  world.store.isAway = true;
  t.deepEqual(await host.versionOf(SERVICE, 'one'), UNKNOWN);
  t.deepEqual(await host.versionOf(SERVICE, 'own'), KNOWN_V1);
});
