/**
 * What a host believes of an endpoint when reports arrive out of order: an
 * older report, its own or another host's, never makes a leaving or a cold
 * endpoint warm again (invariant 13).
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import type {Endpoint} from '../source/configuration/index.js';
import {
  EndpointAdapter,
  type Answer,
  type LoadReport,
} from '../source/engine/index.js';
import {EndpointWatch, Membership} from '../source/fleet/index.js';
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

/** An adapter whose reports arrive when the test says so. */
class SlowReports extends EndpointAdapter {
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

class OneEndpoint extends EndpointTable {
  private state = initialEndpointState(ENDPOINT, true);

  override list() {
    return [this.state];
  }
}

function world() {
  const clock = new ManualClock();
  const adapter = new SlowReports();
  const self = {
    name: 'host-1',
    incarnation: 'one',
    zone: 'palermo',
    leaving: false,
  };
  const watch = new EndpointWatch({
    clock,
    adapter,
    endpoints: new OneEndpoint(
      'palermo',
      clock,
      new EqualSplitQuotas('host-1'),
    ),
    membership: new Membership(self),
    metrics: new Metrics(),
    broadcast: () => {},
    guards: () => false,
    changed: () => {},
  });
  return {clock, adapter, watch};
}

const WARM: LoadReport = {state: 'warm', running: 0, queued: 0, slots: 4};

async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await Promise.resolve();
}

test('a report that was asked for before the leave does not undo it', async t => {
  const {clock, adapter, watch} = world();
  watch.poll();
  clock.advance(20);
  watch.noteMessage({
    kind: 'endpoint-state',
    endpoint: 'drafting-1',
    state: 'leaving',
  });
  adapter.pending[0]?.(WARM);
  await settle();
  t.is(watch.sighting('drafting-1')?.state, 'leaving');
});

test('what another host saw before the leave does not undo it', t => {
  const {clock, watch} = world();
  const told = {kind: 'endpoint-state', endpoint: 'drafting-1'} as const;
  watch.noteMessage({...told, state: 'leaving'});
  clock.advance(2_900);
  watch.noteMessage({...told, state: 'warm'});
  t.is(watch.sighting('drafting-1')?.state, 'leaving');
});

test('a report that was asked for before it turned cold does not make it warm', async t => {
  const {clock, adapter, watch} = world();
  watch.poll();
  clock.advance(20);
  watch.noteAnswer('drafting-1', 'cold');
  clock.advance(20);
  adapter.pending[0]?.(WARM);
  await settle();
  t.is(watch.sighting('drafting-1')?.state, 'cold');
});

test('what another host saw before it turned cold does not make it warm', t => {
  const {clock, watch} = world();
  const told = {kind: 'endpoint-state', endpoint: 'drafting-1'} as const;
  watch.noteMessage({...told, state: 'cold'});
  clock.advance(2_900);
  watch.noteMessage({...told, state: 'warm'});
  t.is(watch.sighting('drafting-1')?.state, 'cold');
});

test('a cold endpoint is warm for those that ask after it has warmed up', async t => {
  const {clock, adapter, watch} = world();
  watch.noteAnswer('drafting-1', 'cold');
  clock.advance(20);
  watch.poll();
  adapter.pending[0]?.(WARM);
  await settle();
  t.is(watch.sighting('drafting-1')?.state, 'warm');
});

test('an endpoint that has come back is warm for those that ask and those that are told', async t => {
  const {clock, adapter, watch} = world();
  const told = {kind: 'endpoint-state', endpoint: 'drafting-1'} as const;
  watch.noteMessage({...told, state: 'leaving'});
  clock.advance(20);
  watch.poll();
  adapter.pending[0]?.(WARM);
  await settle();
  t.is(watch.sighting('drafting-1')?.state, 'warm');
  watch.noteMessage({...told, state: 'leaving'});
  clock.advance(10_000);
  watch.noteMessage({...told, state: 'warm'});
  t.is(watch.sighting('drafting-1')?.state, 'warm');
});
