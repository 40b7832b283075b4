/**
 * The leader's autoscaler keeps the baseline that its host saw at its start,
 * even where the host becomes leader later. A leader that took what its
 * predecessor had left for the baseline would keep only a third of that.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import type {Directory} from '../source/directory/index.js';
import {
  FencedPlatformClient,
  Autoscaler,
  type CallOutcome,
  type ScaleRequest,
} from '../source/leader/index.js';
import type {Service} from '../source/routing/index.js';
import {readyEndpoint} from './support/directories.js';
import {SILENT} from './support/silent.js';

const ZONES = ['palermo', 'catania', 'siracusa'];
const SERVICE: Service = {
  name: 'drafting',
  healthPath: '/health',
  coldRate: 0,
  range: {
    least: 1,
    most: 6,
    start: 4,
    reclaimablePrice: 0.18,
    prices: {palermo: 0.85, catania: 1.2, siracusa: 1},
  },
};

class RecordingPlatformClient extends FencedPlatformClient {
  readonly requests: ScaleRequest[] = [];

  override async reportUsage(): Promise<CallOutcome> {
    return 'done';
  }

  override async scale(request: ScaleRequest): Promise<CallOutcome> {
    this.requests.push(request);
    return 'done';
  }
}

/** A directory with these numbers of endpoints in each zone. */
function directoryOf(onDemand: number, reclaimable: number): Directory {
  const endpoints = ZONES.flatMap(zone =>
    Array.from({length: onDemand + reclaimable}, (_, index) => {
      const id = `${zone}-${index}`;
      const known = readyEndpoint({id, service: SERVICE.name, zone, slots: 64});
      const entry = {...known.entry, reclaimable: index >= onDemand};
      return {...known, entry};
    }),
  );
  return new Map(endpoints.map(known => [known.entry.id, known]));
}

function setUp() {
  const clock = new ManualClock();
  const calls = new RecordingPlatformClient();
  const state = {directory: directoryOf(3, 0), busy: 0};
  const autoscaler = new Autoscaler({
    client: calls,
    clock,
    logger: SILENT,
    view: () => ({
      services: new Map([[SERVICE.name, SERVICE]]),
      directory: state.directory,
      zonesOut: new Set<string>(),
      busy: () => state.busy,
      hosts: 6,
    }),
  });
  return {clock, calls, state, autoscaler};
}

const LEADER = {name: 'host-1', fence: 7, mayAct: () => true};

/** The count of the last scale request for on-demand endpoints, by zone. */
function onDemandRequests(
  calls: RecordingPlatformClient,
): ReadonlyMap<string, number> {
  const requests = calls.requests.filter(({reclaimable}) => !reclaimable);
  return new Map(requests.map(({zone, count}) => [zone, count]));
}

test('a new leader keeps what its predecessor kept, not a third of it', async t => {
  const {clock, calls, state, autoscaler} = setUp();
  autoscaler.recordBaselines();
  clock.advance(20_000);
  state.directory = directoryOf(1, 3);
  state.busy = 1;
  autoscaler.recordBaselines();
  await autoscaler.reconcile(LEADER);
  clock.advance(11_000);
  await autoscaler.reconcile(LEADER);
  t.is(onDemandRequests(calls).size, 0);
});

test('on-demand substitutes that came later do not count towards the baseline', async t => {
  const {clock, calls, state, autoscaler} = setUp();
  autoscaler.recordBaselines();
  clock.advance(20_000);
  state.busy = 1;
  state.directory = directoryOf(6, 0);
  autoscaler.recordBaselines();
  await autoscaler.reconcile(LEADER);
  clock.advance(11_000);
  state.directory = directoryOf(6, 6);
  await autoscaler.reconcile(LEADER);
  t.deepEqual([...onDemandRequests(calls).values()], [1, 1, 1]);
});
