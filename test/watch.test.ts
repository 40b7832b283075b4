/**
 * The state that a host assumes for an endpoint when reports arrive out of
 * order: an older report, its own or from another host, must never turn a
 * leaving or cold endpoint back to warm (invariant 13).
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import type {Endpoint} from '../source/configuration/index.js';
import {
  EndpointAdapter,
  type Answer,
  type LoadReport,
} from '../source/engine/index.js';
import {EndpointMonitor, Membership} from '../source/fleet/index.js';
import {Metrics} from '../source/metrics/index.js';
import {
  EndpointTable,
  EqualSplitQuotas,
  initialEndpointState,
} from '../source/placement/index.js';

const ENDPOINT: Endpoint = {
  name: 'drafting-1',
  pool: 'drafting',
  address: '127.0.0.1:1',
  zone: 'palermo',
  kind: 'engine',
  slots: 4,
  coldSlots: 1,
  cheap: false,
  checksFencing: false,
};

/** An adapter whose load reports arrive when the test resolves them. */
class DelayedReports extends EndpointAdapter {
  readonly pending: Array<(report: LoadReport) => void> = [];

  override send(): Promise<Answer> {
    throw new Error('not used');
  }

  override resume(): Promise<Answer> {
    throw new Error('not used');
  }

  override async cancel(): Promise<void> {}

  override load(): Promise<LoadReport> {
    return new Promise(resolve => this.pending.push(resolve));
  }

  override renewConnections(): void {}
}

class SingleEndpointTable extends EndpointTable {
  private state = initialEndpointState(ENDPOINT, true);

  override list() {
    return [this.state];
  }
}

function createMonitor() {
  const clock = new ManualClock();
  const adapter = new DelayedReports();
  const self = {
    name: 'host-1',
    incarnation: 'one',
    zone: 'palermo',
    leaving: false,
  };
  const watch = new EndpointMonitor({
    clock,
    adapter,
    endpoints: new SingleEndpointTable(
      'palermo',
      clock,
      new EqualSplitQuotas('host-1'),
    ),
    membership: new Membership(self),
    metrics: new Metrics(),
    broadcast: () => {},
    holdsZoneLease: () => false,
    changed: () => {},
  });
  return {clock, adapter, watch};
}

const WARM: LoadReport = {state: 'warm', running: 0, queued: 0, slots: 4};

async function flushMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await Promise.resolve();
}

test('a load report requested before the endpoint was leaving does not revert that', async t => {
  const {clock, adapter, watch} = createMonitor();
  watch.poll();
  clock.advance(20);
  watch.recordReport({
    kind: 'endpoint-state',
    endpoint: 'drafting-1',
    state: 'leaving',
  });
  adapter.pending[0]?.(WARM);
  await flushMicrotasks();
  t.is(watch.observation('drafting-1')?.state, 'leaving');
});

test("another host's report from before the endpoint was leaving does not revert that", t => {
  const {clock, watch} = createMonitor();
  const report = {kind: 'endpoint-state', endpoint: 'drafting-1'} as const;
  watch.recordReport({...report, state: 'leaving'});
  clock.advance(2_900);
  watch.recordReport({...report, state: 'warm'});
  t.is(watch.observation('drafting-1')?.state, 'leaving');
});

test('a load report requested before the endpoint turned cold does not make it warm', async t => {
  const {clock, adapter, watch} = createMonitor();
  watch.poll();
  clock.advance(20);
  watch.recordResponseState('drafting-1', 'cold');
  clock.advance(20);
  adapter.pending[0]?.(WARM);
  await flushMicrotasks();
  t.is(watch.observation('drafting-1')?.state, 'cold');
});

test("another host's report from before the endpoint turned cold does not make it warm", t => {
  const {clock, watch} = createMonitor();
  const report = {kind: 'endpoint-state', endpoint: 'drafting-1'} as const;
  watch.recordReport({...report, state: 'cold'});
  clock.advance(2_900);
  watch.recordReport({...report, state: 'warm'});
  t.is(watch.observation('drafting-1')?.state, 'cold');
});

test('a load report requested after a cold endpoint has warmed up makes it warm', async t => {
  const {clock, adapter, watch} = createMonitor();
  watch.recordResponseState('drafting-1', 'cold');
  clock.advance(20);
  watch.poll();
  adapter.pending[0]?.(WARM);
  await flushMicrotasks();
  t.is(watch.observation('drafting-1')?.state, 'warm');
});

test("a leaving endpoint that has come back turns warm by a load report or by another host's report", async t => {
  const {clock, adapter, watch} = createMonitor();
  const report = {kind: 'endpoint-state', endpoint: 'drafting-1'} as const;
  watch.recordReport({...report, state: 'leaving'});
  clock.advance(20);
  watch.poll();
  adapter.pending[0]?.(WARM);
  await flushMicrotasks();
  t.is(watch.observation('drafting-1')?.state, 'warm');
  watch.recordReport({...report, state: 'leaving'});
  clock.advance(10_000);
  watch.recordReport({...report, state: 'warm'});
  t.is(watch.observation('drafting-1')?.state, 'warm');
});
