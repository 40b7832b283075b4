/**
 * What the holder of the duties orders: as much as was found when the host
 * started, also where it takes over from one that has ordered already.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import type {Directory} from '../source/directory/index.js';
import {
  DutyCalls,
  Orders,
  type CallOutcome,
  type EndpointOrder,
} from '../source/duty/index.js';
import type {Service} from '../source/routing/index.js';
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

class NotedCalls extends DutyCalls {
  readonly orders: EndpointOrder[] = [];

  override async report(): Promise<CallOutcome> {
    return 'done';
  }

  override async order(order: EndpointOrder): Promise<CallOutcome> {
    this.orders.push(order);
    return 'done';
  }
}

/** So many lasting and cheap endpoints in each zone. */
function directoryOf(lasting: number, cheap: number): Directory {
  const entries = ZONES.flatMap(zone =>
    Array.from({length: lasting + cheap}, (_, index) => ({
      id: `${zone}-${index}`,
      service: SERVICE.name,
      address: '127.0.0.1:1',
      zone,
      slots: 64,
      leaving: false,
      coldFor: 0,
      born: 1,
      reclaimable: index >= lasting,
    })),
  );
  return new Map(
    entries.map(entry => [
      entry.id,
      {entry, knownAt: 0, coldUntil: -Infinity, lapsesAt: undefined},
    ]),
  );
}

function world() {
  const clock = new ManualClock();
  const calls = new NotedCalls();
  const seen = {directory: directoryOf(3, 0), busy: 0};
  const orders = new Orders({
    calls,
    clock,
    logger: SILENT,
    view: () => ({
      services: new Map([[SERVICE.name, SERVICE]]),
      directory: seen.directory,
      zonesOut: new Set<string>(),
      busy: () => seen.busy,
      hosts: 6,
    }),
  });
  return {clock, calls, seen, orders};
}

const HOLDER = {name: 'host-1', fence: 7, mayAct: () => true};

/** The last order of lasting endpoints in each zone. */
function lastingOrders(calls: NotedCalls): ReadonlyMap<string, number> {
  const kinds = calls.orders.filter(({reclaimable}) => !reclaimable);
  return new Map(kinds.map(({zone, count}) => [zone, count]));
}

test('a new holder keeps what its predecessor kept, not a third of it', async t => {
  const {clock, calls, seen, orders} = world();
  orders.note();
  clock.advance(20_000);
  seen.directory = directoryOf(1, 3);
  seen.busy = 1;
  orders.note();
  await orders.carryOut(HOLDER);
  clock.advance(11_000);
  await orders.carryOut(HOLDER);
  t.is(lastingOrders(calls).size, 0);
});

test('stand-ins that came later are not taken for what was found', async t => {
  const {clock, calls, seen, orders} = world();
  orders.note();
  clock.advance(20_000);
  seen.busy = 1;
  seen.directory = directoryOf(6, 0);
  orders.note();
  await orders.carryOut(HOLDER);
  clock.advance(11_000);
  seen.directory = directoryOf(6, 6);
  await orders.carryOut(HOLDER);
  t.deepEqual([...lastingOrders(calls).values()], [1, 1, 1]);
});
