/**
 * Which endpoint is tried next when some cannot be reached: a zone that is cut
 * off answers at none of its addresses, and each vain try costs the caller time.
 */
import test from 'ava';

import {EndpointBook} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import type {KnownEndpoint} from '../source/directory/index.js';

const SERVICE = 'register';

function endpoint(id: string, zone: string): [string, KnownEndpoint] {
  const entry = {
    id,
    service: SERVICE,
    address: '127.0.0.1:1',
    zone,
    slots: 6,
    leaving: false,
    coldFor: 0,
    born: 1,
    reclaimable: false,
  };
  const known = {
    entry,
    knownAt: 0,
    coldUntil: -Infinity,
    lapsesAt: undefined,
  };
  return [id, known];
}

function bookOf(clock: ManualClock): EndpointBook {
  const book = new EndpointBook({
    host: 'host-1',
    zone: 'palermo',
    clock,
    regions: {},
  });
  book.setServices(
    new Map([[SERVICE, {name: SERVICE, healthPath: '/health', coldRate: 0}]]),
  );
  book.setDirectory(
    new Map([
      endpoint('near', 'palermo'),
      endpoint('far-1', 'catania'),
      endpoint('far-2', 'catania'),
      endpoint('far-3', 'catania'),
    ]),
  );
  return book;
}

const DEMAND = {
  service: SERVICE,
  prompt: undefined,
  failedAt: new Set<string>(),
};

test('after one vain try, the other endpoints of that zone come later', t => {
  const book = bookOf(new ManualClock());
  // The near endpoint is busier, so that the far ones would be chosen.
  const near = ['near'];
  const busy = book.take({...DEMAND, failedAt: new Set(farIds())});
  t.deepEqual([busy?.endpoint.entry.id], near);
  const first = book.take(DEMAND);
  t.is(first?.endpoint.entry.zone, 'catania');
  first?.unreachable();
  first?.release();
  t.is(book.take(DEMAND)?.endpoint.entry.id, 'near');
});

test('an endpoint whose entry has lapsed gets nothing while others are there', t => {
  const book = bookOf(new ManualClock());
  const lapsed = (id: string, zone: string): [string, KnownEndpoint] => {
    const [, known] = endpoint(id, zone);
    return [id, {...known, lapsesAt: 1_500}];
  };
  book.setDirectory(
    new Map([lapsed('near', 'palermo'), endpoint('far-1', 'catania')]),
  );
  for (let round = 0; round < 20; round++) {
    t.is(book.take(DEMAND)?.endpoint.entry.id, 'far-1');
  }
  book.setDirectory(new Map([lapsed('near', 'palermo')]));
  t.is(book.take(DEMAND)?.endpoint.entry.id, 'near');
});

test('an endpoint that other hosts cannot reach comes later', t => {
  const book = bookOf(new ManualClock());
  book.setDoubts(['near', 'near']);
  t.is(book.take(DEMAND)?.endpoint.entry.zone, 'catania');
});

test('an endpoint that answers when it is asked is used again', t => {
  const book = bookOf(new ManualClock());
  const place = book.take({...DEMAND, failedAt: new Set(farIds())});
  place?.unreachable();
  place?.release();
  t.is(book.unreachable().length, 1);
  book.reached('near');
  t.is(book.unreachable().length, 0);
  t.is(book.take(DEMAND)?.endpoint.entry.id, 'near');
});

function farIds(): string[] {
  return ['far-1', 'far-2', 'far-3'];
}

test('a place is not open any more once its endpoint leaves, lapses or starts anew', t => {
  const clock = new ManualClock();
  const book = bookOf(clock);
  const place = book.take(DEMAND);
  t.truthy(place);
  if (!place) return;
  t.true(place.isOpen());
  const {id} = place.endpoint.entry;
  const known = place.endpoint;
  const now = clock.monotonic();
  const changes: readonly KnownEndpoint[] = [
    {...known, entry: {...known.entry, leaving: true}},
    {...known, lapsesAt: now},
    {...known, knownAt: known.knownAt + 1},
  ];
  for (const change of changes) {
    book.setDirectory(new Map([[id, change]]));
    t.false(place.isOpen());
    book.setDirectory(new Map([[id, known]]));
  }
  t.true(place.isOpen());
  book.setZonesOut(new Set([known.entry.zone]));
  t.false(place.isOpen());
  book.setZonesOut(new Set());
  book.setDirectory(new Map());
  t.false(place.isOpen());
});
