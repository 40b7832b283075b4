/** Requests stay in the regions that their route and their team allow. */
import test from 'ava';
import fc from 'fast-check';

import {EndpointSelector} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import type {Directory} from '../source/directory/index.js';
import {allowedRegionsFor} from '../source/routing/index.js';
import {readyEndpoint} from './support/directories.js';
import {holds, isSeenToFail} from './support/fuzz.js';
import {ROUTE} from './support/forwarding.js';

const REGIONS = {palermo: 'sicilia', catania: 'sicilia', valletta: 'malta'};
const ZONES = ['palermo', 'catania', 'valletta', 'unheard-of'];
const TEAM = {name: 'editors', keys: ['key']};

function directory(): Directory {
  return new Map(
    ZONES.map(zone => [
      zone,
      readyEndpoint({id: zone, service: 'register', zone, slots: 6}),
    ]),
  );
}

function createBook(): EndpointSelector {
  const book = new EndpointSelector({
    host: 'host-1',
    zone: 'palermo',
    clock: new ManualClock(),
    regions: REGIONS,
  });
  const service = {name: 'register', healthPath: '/health', coldRate: 0};
  book.setServices(new Map([['register', service]]));
  book.setDirectory(directory());
  return book;
}

/**
 * The zones in which a number of requests end up; `none` for one that found no
 * endpoint.
 */
function servingZones(allowed: readonly string[] | undefined): string[] {
  const book = createBook();
  const demand = {service: 'register', prompt: undefined, homes: allowed};
  return Array.from({length: 24}, () => {
    const place = book.reserve({
      ...demand,
      tier: 0,
      failedEndpoints: new Set(['palermo']),
    });
    return place?.endpoint.entry.zone ?? 'none';
  });
}

const regions = fc.subarray(['sicilia', 'malta', 'nowhere']);

/** Combines the allowed regions of a route and a team. */
type Combine = typeof allowedRegionsFor;

function property(combine: Combine) {
  return fc.property(regions, regions, (route, team) => {
    const allowed = combine({...ROUTE, homes: route}, {...TEAM, homes: team});
    return servingZones(allowed).every(zone => {
      if (zone === 'none') return true;
      const region = new Map(Object.entries(REGIONS)).get(zone) ?? '';
      const allows = (list: readonly string[]) =>
        list.length === 0 || list.includes(region);
      return allows(route) && allows(team);
    });
  });
}

test('no request reaches an endpoint outside its allowed regions', t => {
  holds(t, property(allowedRegionsFor), 200);
});

test('the check detects that the allowed regions of a team are ignored', t => {
  isSeenToFail(
    t,
    property(route => allowedRegionsFor(route, undefined)),
    200,
  );
});

test('a request without allowed regions may go anywhere', t => {
  t.is(allowedRegionsFor(ROUTE, {...TEAM, homes: []}), undefined);
  const zones = new Set(servingZones(undefined));
  t.deepEqual([...zones].sort(), ['catania', 'unheard-of', 'valletta']);
});

test('a request waits for its allowed regions while others find capacity', t => {
  const lane = {
    pool: 'register',
    className: 'read',
    tier: 1,
    floorShare: 0,
    cheapShare: 0,
    repeatable: false,
  };
  t.true(createBook().hasCapacity(lane));
  t.true(createBook().hasCapacity({...lane, homes: ['malta']}));
  t.false(createBook().hasCapacity({...lane, homes: ['nowhere']}));
});
