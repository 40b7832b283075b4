/** How many endpoints of each kind the zones are to have. */
import test from 'ava';
import fc from 'fast-check';

import {
  planZones,
  type Situation,
  type ZoneSupply,
} from '../source/capacity/index.js';
import {holds} from './support/fuzz.js';

const RANGE = {
  least: 1,
  most: 4,
  start: 4,
  reclaimablePrice: 0.18,
  prices: {palermo: 0.85, catania: 1.2, siracusa: 1},
};

function supply(zone: string, change: Partial<ZoneSupply> = {}): ZoneSupply {
  return {zone, lasting: 2, reclaimable: 0, dry: false, out: false, ...change};
}

function situation(change: Partial<Situation> = {}): Situation {
  const zones = ['palermo', 'catania', 'siracusa'];
  const supplies = zones.map(zone => supply(zone));
  const callers = {busy: 0, found: 6, known: true, hosts: 6};
  return {range: RANGE, supplies, ...callers, ...change};
}

test('while no caller is there, cheap endpoints take the place of most lasting ones', t => {
  const plans = planZones(situation());
  t.deepEqual(
    plans.map(({zone, lasting, reclaimable}) => [zone, lasting, reclaimable]),
    [
      ['palermo', 1, 3],
      ['catania', 0, 3],
      ['siracusa', 1, 3],
    ],
  );
});

test('until callers are known, as many endpoints stay as were found', t => {
  const range = {...RANGE, most: 94};
  for (const busy of [0, 0.3, 4]) {
    const plans = planZones(situation({range, found: 140, known: false, busy}));
    const total = plans.reduce(
      (sum, {lasting, reclaimable}) => sum + lasting + reclaimable,
      0,
    );
    t.true(total >= 140);
  }
});

test('until callers are known, one zone may lose its cheap ones and as many as were found are left', t => {
  const range = {...RANGE, most: 94};
  const plans = planZones(situation({range, found: 140, known: false}));
  const total = plans.reduce(
    (sum, {lasting, reclaimable}) => sum + lasting + reclaimable,
    0,
  );
  for (const {reclaimable} of plans) t.true(total - reclaimable >= 140);
});

test('the first callers find the lasting ones until cheap ones are there', t => {
  const plans = planZones(situation({known: false}));
  t.true(plans.every(({lasting}) => lasting === 2));
});

test('under load, lasting endpoints stay until the cheap ones are there', t => {
  const before = planZones(situation({busy: 1.5}));
  t.true(before.every(({lasting}) => lasting === 2));
  const supplies = situation().supplies.map(each => ({
    ...each,
    reclaimable: 3,
  }));
  const after = planZones(situation({busy: 1.5, supplies}));
  t.deepEqual(
    after.map(({lasting}) => lasting),
    [1, 0, 1],
  );
});

test('in a zone that is full, lasting ones make room for the cheap ones to come', t => {
  const supplies = situation().supplies.map(each => ({
    ...each,
    reclaimable: 2,
  }));
  const plans = planZones(situation({busy: 1.5, supplies, known: false}));
  t.true(
    plans.every(
      ({lasting, reclaimable}) => lasting + reclaimable <= RANGE.most,
    ),
  );
});

test('where no cheap ones can be had and too few are left, lasting ones are ordered', t => {
  const supplies = [
    supply('palermo', {lasting: 1, reclaimable: 0, dry: true}),
    supply('catania', {lasting: 0, reclaimable: 2}),
    supply('siracusa', {lasting: 1, reclaimable: 2}),
  ];
  const plans = planZones(situation({busy: 4, supplies}));
  t.true((plans[0]?.lasting ?? 0) > 1);
});

test('a service without cheap endpoints is ordered by need alone', t => {
  const range = {...RANGE, reclaimablePrice: undefined};
  const plans = planZones(situation({range, busy: 3, found: 3}));
  const total = plans.reduce((sum, {lasting}) => sum + lasting, 0);
  t.is(total, 8);
  t.true(plans.every(({reclaimable}) => reclaimable === 0));
});

test('where many hosts know little of each other, more cheap endpoints stand by', t => {
  const range = {...RANGE, most: 94};
  const cheapOf = (hosts: number) =>
    planZones(situation({range, busy: 37, hosts})).reduce(
      (sum, {reclaimable}) => sum + reclaimable,
      0,
    );
  t.is(cheapOf(12), 3 * Math.ceil((37 * 2.5) / 2));
  t.is(cheapOf(61), 3 * Math.ceil((37 * 3.5) / 2));
});

test('a plan keeps to the range, and one zone can lose its cheap endpoints', t => {
  const supplies = fc.array(
    fc.record({
      lasting: fc.integer({min: 0, max: 6}),
      reclaimable: fc.integer({min: 0, max: 6}),
      dry: fc.boolean(),
      out: fc.boolean(),
    }),
    {minLength: 1, maxLength: 5},
  );
  const busy = fc.double({min: 0, max: 12, noNaN: true});
  const property = fc.property(supplies, busy, (list, work) => {
    const named = list.map((each, index) => ({zone: `zone-${index}`, ...each}));
    const plans = planZones(situation({supplies: named, busy: work}));
    return plans.every(({lasting, reclaimable}) => {
      const total = lasting + reclaimable;
      return total >= RANGE.least && lasting <= RANGE.most;
    });
  });
  holds(t, property, 2_000);
});
