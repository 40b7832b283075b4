/** Requests stay in the regions that their route and their team name. */
import test from 'ava';
import fc from 'fast-check';

import {EndpointBook} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import type {Directory} from '../source/directory/index.js';
import {homesOf} from '../source/routing/index.js';
import {holds, isSeenToFail} from './support/fuzz.js';
import {ROUTE} from './support/forwarding.js';

const REGIONS = {palermo: 'sicilia', catania: 'sicilia', valletta: 'malta'};
const ZONES = ['palermo', 'catania', 'valletta', 'unheard-of'];
const TEAM = {name: 'editors', keys: ['key']};

function directory(): Directory {
  return new Map(
    ZONES.map(zone => [
      zone,
      {
        entry: {
          id: zone,
          service: 'register',
          address: '127.0.0.1:1',
          zone,
          slots: 6,
          leaving: false,
          coldFor: 0,
          born: 1,
          reclaimable: false,
        },
        knownAt: 0,
        coldUntil: -Infinity,
        lapsesAt: undefined,
      },
    ]),
  );
}

function book(): EndpointBook {
  const made = new EndpointBook({
    host: 'host-1',
    zone: 'palermo',
    clock: new ManualClock(),
    regions: REGIONS,
  });
  const service = {name: 'register', healthPath: '/health', coldRate: 0};
  made.setServices(new Map([['register', service]]));
  made.setDirectory(directory());
  return made;
}

/** The regions in which requests end up, and whether there was room for them. */
function visited(homes: readonly string[] | undefined): string[] {
  const made = book();
  const demand = {service: 'register', prompt: undefined, homes};
  return Array.from({length: 24}, () => {
    const place = made.take({...demand, failedAt: new Set(['palermo'])});
    return place?.endpoint.entry.zone ?? 'none';
  });
}

const regions = fc.subarray(['sicilia', 'malta', 'nowhere']);

/** The homes that bind, as sets; empty where none does. */
type Narrow = typeof homesOf;

function property(narrow: Narrow) {
  return fc.property(regions, regions, (route, team) => {
    const homes = narrow({...ROUTE, homes: route}, {...TEAM, homes: team});
    return visited(homes).every(zone => {
      if (zone === 'none') return true;
      const region = new Map(Object.entries(REGIONS)).get(zone) ?? '';
      const allows = (named: readonly string[]) =>
        named.length === 0 || named.includes(region);
      return allows(route) && allows(team);
    });
  });
}

test('no request gets to an endpoint outside its homes', t => {
  holds(t, property(homesOf), 200);
});

test('the check notices a team whose homes are passed over', t => {
  isSeenToFail(
    t,
    property(route => homesOf(route, undefined)),
    200,
  );
});

test('a request without homes may go anywhere', t => {
  t.is(homesOf(ROUTE, {...TEAM, homes: []}), undefined);
  const zones = new Set(visited(undefined));
  t.deepEqual([...zones].sort(), ['catania', 'unheard-of', 'valletta']);
});

test('a request waits for its homes while others find room', t => {
  const lane = {
    pool: 'register',
    className: 'read',
    tier: 1,
    floorShare: 0,
    cheapShare: 0,
    repeatable: false,
  };
  t.true(book().hasRoom(lane));
  t.true(book().hasRoom({...lane, homes: ['malta']}));
  t.false(book().hasRoom({...lane, homes: ['nowhere']}));
});
