/**
 * Which endpoint is selected when some are unreachable. When a zone is cut off,
 * none of its endpoints accepts connections, and each failed attempt costs the
 * caller time, so the endpoints of other zones must be tried first.
 */
import test from 'ava';

import {EndpointSelector} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import type {KnownEndpoint} from '../source/directory/index.js';
import {readyEndpoint} from './support/directories.js';

const SERVICE = 'register';

function endpoint(id: string, zone: string): [string, KnownEndpoint] {
  const known = readyEndpoint({id, service: SERVICE, zone, slots: 6});
  return [id, known];
}

function selectorOf(clock: ManualClock): EndpointSelector {
  const selector = new EndpointSelector({
    host: 'host-1',
    zone: 'palermo',
    clock,
    regions: {},
  });
  selector.setServices(
    new Map([[SERVICE, {name: SERVICE, healthPath: '/health', coldRate: 0}]]),
  );
  selector.setDirectory(
    new Map([
      endpoint('near', 'palermo'),
      endpoint('far-1', 'catania'),
      endpoint('far-2', 'catania'),
      endpoint('far-3', 'catania'),
    ]),
  );
  return selector;
}

const REQUIREMENTS = {
  service: SERVICE,
  prompt: undefined,
  tier: 0,
  failedEndpoints: new Set<string>(),
};

test('after one endpoint was unreachable, other zones are preferred to its zone', t => {
  const selector = selectorOf(new ManualClock());
  // Makes the near endpoint busier, so that a far one is selected next.
  const near = ['near'];
  const busy = selector.reserve({
    ...REQUIREMENTS,
    failedEndpoints: new Set(farIds()),
  });
  t.deepEqual([busy?.endpoint.entry.id], near);
  const first = selector.reserve(REQUIREMENTS);
  t.is(first?.endpoint.entry.zone, 'catania');
  first?.unreachable();
  first?.release();
  t.is(selector.reserve(REQUIREMENTS)?.endpoint.entry.id, 'near');
});

test('an endpoint whose entry has lapsed gets no request while there are others', t => {
  const selector = selectorOf(new ManualClock());
  const lapsed = (id: string, zone: string): [string, KnownEndpoint] => {
    const [, known] = endpoint(id, zone);
    return [id, {...known, removeAt: 1_500}];
  };
  selector.setDirectory(
    new Map([lapsed('near', 'palermo'), endpoint('far-1', 'catania')]),
  );
  for (let round = 0; round < 20; round++) {
    t.is(selector.reserve(REQUIREMENTS)?.endpoint.entry.id, 'far-1');
  }
  selector.setDirectory(new Map([lapsed('near', 'palermo')]));
  t.is(selector.reserve(REQUIREMENTS)?.endpoint.entry.id, 'near');
});

test('an endpoint that other hosts report as unreachable is less preferred', t => {
  const selector = selectorOf(new ManualClock());
  selector.setUnreachableReports(['near', 'near']);
  t.is(selector.reserve(REQUIREMENTS)?.endpoint.entry.zone, 'catania');
});

test('an unreachable endpoint that answers a health check is used again', t => {
  const selector = selectorOf(new ManualClock());
  const reservation = selector.reserve({
    ...REQUIREMENTS,
    failedEndpoints: new Set(farIds()),
  });
  reservation?.unreachable();
  reservation?.release();
  t.is(selector.unreachableEndpoints().length, 1);
  selector.markReachable('near');
  t.is(selector.unreachableEndpoints().length, 0);
  t.is(selector.reserve(REQUIREMENTS)?.endpoint.entry.id, 'near');
});

function farIds(): string[] {
  return ['far-1', 'far-2', 'far-3'];
}

test('a reservation is no longer usable once its endpoint leaves, lapses or restarts or its zone is out of service', t => {
  const clock = new ManualClock();
  const selector = selectorOf(clock);
  const reservation = selector.reserve(REQUIREMENTS);
  t.truthy(reservation);
  if (!reservation) return;
  t.true(reservation.isEndpointUsable());
  const {id} = reservation.endpoint.entry;
  const known = reservation.endpoint;
  const now = clock.monotonic();
  const changes: readonly KnownEndpoint[] = [
    {...known, entry: {...known.entry, leaving: true}},
    {...known, removeAt: now},
    {...known, knownAt: known.knownAt + 1},
  ];
  for (const change of changes) {
    selector.setDirectory(new Map([[id, change]]));
    t.false(reservation.isEndpointUsable());
    selector.setDirectory(new Map([[id, known]]));
  }
  t.true(reservation.isEndpointUsable());
  selector.setZonesOut(new Set([known.entry.zone]));
  t.false(reservation.isEndpointUsable());
  selector.setZonesOut(new Set());
  selector.setDirectory(new Map());
  t.false(reservation.isEndpointUsable());
});
