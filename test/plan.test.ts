/** The capacity plan: how many endpoints of each kind each zone gets. */
import test from 'ava';
import fc from 'fast-check';

import {
  planZones,
  type PlanInput,
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
  return {
    zone,
    onDemand: 2,
    reclaimable: 0,
    reclaimableUnavailable: false,
    out: false,
    ...change,
  };
}

function planInput(change: Partial<PlanInput> = {}): PlanInput {
  const zones = ['palermo', 'catania', 'siracusa'];
  const supplies = zones.map(zone => supply(zone));
  const callers = {busy: 0, baseline: 6, isDemandKnown: true, hosts: 6};
  return {range: RANGE, supplies, ...callers, ...change};
}

test('while a service is idle, reclaimable endpoints replace most on-demand ones', t => {
  const plans = planZones(planInput());
  t.deepEqual(
    plans.map(({zone, onDemand, reclaimable}) => [zone, onDemand, reclaimable]),
    [
      ['palermo', 1, 3],
      ['catania', 0, 3],
      ['siracusa', 1, 3],
    ],
  );
});

test('until the demand is known, the total does not drop below the baseline', t => {
  const range = {...RANGE, most: 94};
  for (const busy of [0, 0.3, 4]) {
    const plans = planZones(
      planInput({range, baseline: 140, isDemandKnown: false, busy}),
    );
    const total = plans.reduce(
      (sum, {onDemand, reclaimable}) => sum + onDemand + reclaimable,
      0,
    );
    t.true(total >= 140);
  }
});

test('until the demand is known, the baseline is left when one zone loses its reclaimable endpoints', t => {
  const range = {...RANGE, most: 94};
  const plans = planZones(
    planInput({range, baseline: 140, isDemandKnown: false}),
  );
  const total = plans.reduce(
    (sum, {onDemand, reclaimable}) => sum + onDemand + reclaimable,
    0,
  );
  for (const {reclaimable} of plans) t.true(total - reclaimable >= 140);
});

test('until the demand is known, all on-demand endpoints stay while there are no reclaimable ones', t => {
  const plans = planZones(planInput({isDemandKnown: false}));
  t.true(plans.every(({onDemand}) => onDemand === 2));
});

test('under load, on-demand endpoints stay until reclaimable ones are there', t => {
  const before = planZones(planInput({busy: 1.5}));
  t.true(before.every(({onDemand}) => onDemand === 2));
  const supplies = planInput().supplies.map(each => ({
    ...each,
    reclaimable: 3,
  }));
  const after = planZones(planInput({busy: 1.5, supplies}));
  t.deepEqual(
    after.map(({onDemand}) => onDemand),
    [1, 0, 1],
  );
});

test('in a full zone, on-demand endpoints give way to the planned reclaimable ones', t => {
  const supplies = planInput().supplies.map(each => ({
    ...each,
    reclaimable: 2,
  }));
  const plans = planZones(
    planInput({busy: 1.5, supplies, isDemandKnown: false}),
  );
  t.true(
    plans.every(
      ({onDemand, reclaimable}) => onDemand + reclaimable <= RANGE.most,
    ),
  );
});

test('where reclaimable endpoints are unavailable and too few are left, on-demand ones are planned', t => {
  const supplies = [
    supply('palermo', {
      onDemand: 1,
      reclaimable: 0,
      reclaimableUnavailable: true,
    }),
    supply('catania', {onDemand: 0, reclaimable: 2}),
    supply('siracusa', {onDemand: 1, reclaimable: 2}),
  ];
  const plans = planZones(planInput({busy: 4, supplies}));
  t.true((plans[0]?.onDemand ?? 0) > 1);
});

test('a service without reclaimable endpoints is planned by demand alone', t => {
  const range = {...RANGE, reclaimablePrice: undefined};
  const plans = planZones(planInput({range, busy: 3, baseline: 3}));
  const total = plans.reduce((sum, {onDemand}) => sum + onDemand, 0);
  t.is(total, 8);
  t.true(plans.every(({reclaimable}) => reclaimable === 0));
});

test('a large fleet, whose hosts know little of each other, gets more reclaimable endpoints', t => {
  const range = {...RANGE, most: 94};
  const reclaimableFor = (hosts: number) =>
    planZones(planInput({range, busy: 37, hosts})).reduce(
      (sum, {reclaimable}) => sum + reclaimable,
      0,
    );
  t.is(reclaimableFor(12), 3 * Math.ceil((37 * 2.5) / 2));
  t.is(reclaimableFor(61), 3 * Math.ceil((37 * 3.5) / 2));
});

test('a plan gives each zone the minimum of the range, and no more than its maximum on demand', t => {
  const supplies = fc.array(
    fc.record({
      onDemand: fc.integer({min: 0, max: 6}),
      reclaimable: fc.integer({min: 0, max: 6}),
      reclaimableUnavailable: fc.boolean(),
      out: fc.boolean(),
    }),
    {minLength: 1, maxLength: 5},
  );
  const busy = fc.double({min: 0, max: 12, noNaN: true});
  const property = fc.property(supplies, busy, (list, work) => {
    const named = list.map((each, index) => ({zone: `zone-${index}`, ...each}));
    const plans = planZones(planInput({supplies: named, busy: work}));
    return plans.every(({onDemand, reclaimable}) => {
      const total = onDemand + reclaimable;
      return total >= RANGE.least && onDemand <= RANGE.most;
    });
  });
  holds(t, property, 2_000);
});

test('a demand without bound is planned at once, up to the maximum of each zone', t => {
  for (const busy of [1e12, Number.MAX_VALUE, Infinity]) {
    const plans = planZones(planInput({busy}));
    const totals = plans.map(
      ({onDemand, reclaimable}) => onDemand + reclaimable,
    );
    t.deepEqual(totals, [4, 4, 4]);
  }
});
