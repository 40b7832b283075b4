/**
 * What hosts know of each other: which hosts are reachable, which share the
 * limits, and which records a host that is behind receives. The last two tests
 * use real connections on the loopback interface.
 */
import test, {type ExecutionContext} from 'ava';

import {SystemClock} from '../source/clock/index.js';
import {
  applyHostList,
  applyPulse,
  isOutdated,
  removeSilent,
  GossipNode,
  reachableMembers,
  hostsSharingLimits,
  type HostAddress,
  type Members,
  type Pulse,
} from '../source/gossip/index.js';
import {Metrics} from '../source/metrics/index.js';
import type {PeerRecordPage} from '../source/store/index.js';
import {freeAddress} from '../tools/ports.js';
import {until} from './support/edgeprocess.js';
import {SILENT} from './support/silent.js';

function addressOf(name: string, started = 1): HostAddress {
  return {name, started, address: '127.0.0.1:1', zone: 'palermo'};
}

function pulseOf(from: HostAddress, leaving = false): Pulse {
  return {
    kind: 'pulse',
    from,
    sequence: 1,
    heard: 0,
    period: 200,
    leaving,
    positions: [],
    uses: [],
    work: [],
    unreachable: [],
    kept: [],
    blocked: [],
    limits: [],
    sheets: [],
    hosts: [],
  };
}

function membersOf(...names: string[]): Members {
  return names.reduce(
    (members: Members, name) =>
      applyPulse(members, pulseOf(addressOf(name)), 0),
    new Map(),
  );
}

test('a silent host becomes unreachable after three periods, and keeps its share of the limits for 20 seconds', t => {
  const members = membersOf('one', 'two');
  t.is(reachableMembers(members, 500).length, 2);
  t.is(reachableMembers(members, 700).length, 0);
  t.deepEqual(hostsSharingLimits(removeSilent(members, 19_000, 200), 'self'), [
    'one',
    'self',
    'two',
  ]);
  t.deepEqual(hostsSharingLimits(removeSilent(members, 21_000, 200), 'self'), [
    'self',
  ]);
});

test('a host that leaves, or that has sent no pulse itself, has no share of the limits', t => {
  const leaving = pulseOf(addressOf('one'), true);
  const members = applyHostList(
    applyPulse(new Map(), leaving, 0),
    [addressOf('two'), addressOf('self')],
    'self',
    0,
  );
  t.deepEqual(hostsSharingLimits(members, 'self'), ['self']);
  t.false(members.has('self'));
  t.false(removeSilent(members, 6_000, 200).has('two'));
});

test('a pulse or host list entry of an earlier incarnation changes nothing', t => {
  const current = pulseOf(addressOf('one', 5));
  const members = applyPulse(new Map(), current, 0);
  t.is(applyPulse(members, pulseOf(addressOf('one', 4)), 10), members);
  t.is(applyHostList(members, [addressOf('one', 4)], 'self', 10), members);
  const later = applyPulse(members, pulseOf(addressOf('one', 6)), 10);
  t.is(later.get('one')?.host.started, 6);
});

test('a pulse that arrives behind a later one of its incarnation is outdated', t => {
  const sent = (uptime?: number, started = 1) => ({
    ...pulseOf(addressOf('one', started)),
    uptime,
  });
  const known = (pulse: Pulse) => applyPulse(new Map(), pulse, 0).get('one');
  t.true(isOutdated(sent(4_000), known(sent(9_000))));
  t.false(isOutdated(sent(9_000), known(sent(9_000))));
  t.false(isOutdated(sent(100, 2), known(sent(9_000))));
  t.false(isOutdated(sent(4_000), undefined));
  // Older programs do not say when a pulse was sent.
  t.false(isOutdated(sent(), known(sent(9_000))));
  t.false(isOutdated(sent(4_000), known(sent())));
});

test('a host that was started anew while its time of day was set back is known by its pulses', t => {
  const before = applyPulse(new Map(), pulseOf(addressOf('one', 5_000)), 0);
  const restarted = pulseOf(addressOf('one', 4_000));
  t.is(applyPulse(before, restarted, 300), before);
  const after = applyPulse(before, restarted, 700);
  t.is(after.get('one')?.host.started, 4_000);
  t.is(reachableMembers(after, 800).length, 1);
  const listed = applyHostList(after, [addressOf('one', 5_000)], 'self', 900);
  t.is(listed, after);
});

test('in a fleet of 195 hosts a listed host is kept until its first pulse can come', t => {
  const period = 195 * 40;
  const listed = applyHostList(new Map(), [addressOf('two')], 'self', 0);
  t.true(removeSilent(listed, period + 200, period).has('two'));
  t.false(removeSilent(listed, 2 * period + 200, period).has('two'));
});

interface TestNode {
  readonly node: GossipNode;
  readonly receivedPages: PeerRecordPage[];
  readonly lostHosts: string[];
  readonly sheetWindows: number[];
}

async function startNode(
  t: ExecutionContext,
  name: string,
  address: string,
  seeds: readonly string[],
  position: number,
): Promise<TestNode> {
  const receivedPages: PeerRecordPage[] = [];
  const lostHosts: string[] = [];
  const sheetWindows: number[] = [];
  const known = {key: 'config', value: Buffer.from('{}'), offset: 0};
  const sheet = {
    region: 'all',
    window: 7,
    incarnation: name,
    sequence: 1,
    since: 0,
    sealed: false,
    figures: [],
  };
  const node = new GossipNode({
    self: {name, started: 1, address, zone: 'palermo'},
    seeds,
    clock: new SystemClock(),
    logger: SILENT,
    metrics: new Metrics(),
    state: () => ({
      leaving: false,
      positions: [{topic: 'keyed.op', position}],
      uses: [],
      work: [],
      unreachable: [],
      kept: [],
      blocked: [],
      limits: [],
      certainUsage: undefined,
    }),
    sheets: () => [sheet],
    records: () => ({records: [known], end: position, whole: true}),
    onRecords: (_, page) => receivedPages.push(page),
    onFeedReport: () => {},
    onPulse: pulse =>
      sheetWindows.push(...pulse.sheets.map(each => each.window)),
    onCrashReport: () => {},
    onBegunSuspects: () => {},
    onHostFound: () => {},
    onLimits: () => {},
    onBegunStreams: () => {},
    onBegunStreamsStored: () => {},
    onSheets: () => {},
    onSheetsStored: () => {},
    onRolloutShare: () => {},
    onRolloutReport: () => {},
    onHostLost: host => lostHosts.push(host.name),
    onSharingChanged: () => {},
    storeAnsweredAt: () => Infinity,
  });
  await node.start();
  t.teardown(() => node.stop());
  return {node, receivedPages, lostHosts, sheetWindows};
}

test('hosts find each other through a seed, and one that is behind receives the records', async t => {
  const addresses = [await freeAddress(), await freeAddress()];
  const [seed = '', other = ''] = addresses;
  const ahead = await startNode(t, 'one', seed, [seed], 1);
  const behind = await startNode(t, 'two', other, [seed], 0);
  await until(() => behind.receivedPages.length > 0);
  const [page] = behind.receivedPages;
  t.deepEqual(
    page?.records.map(({key, value}) => [key, value?.toString()]),
    [['config', '{}']],
  );
  t.true(page?.whole);
  t.is(ahead.receivedPages.length, 0);
});

test('usage sheets are sent to the replica host, and a host that becomes silent is reported as lost', async t => {
  const addresses = [await freeAddress(), await freeAddress()];
  const [seed = '', other = ''] = addresses;
  const one = await startNode(t, 'one', seed, [seed], 0);
  const two = await startNode(t, 'two', other, [seed], 0);
  await until(() => one.sheetWindows.length > 0 && two.sheetWindows.length > 0);
  two.node.stop();
  await until(() => one.lostHosts.length > 0);
  t.deepEqual(one.lostHosts, ['two']);
});
