/** Copies of usage sheets that arrive late, twice or with a gap before them. */
import test from 'ava';

import type {Sheet} from '../source/platform/index.js';
import {UsageSheets} from '../source/usage/index.js';

const REGION = 'all';
const WINDOW = 3;

function sheet(sequence: number, requests: number, since = 0): Sheet {
  return {
    region: REGION,
    window: WINDOW,
    incarnation: 'host-2 1',
    sequence,
    since,
    sealed: false,
    figures: [{team: 'guides', requests, tokens: 0}],
  };
}

function counted(sheets: readonly Sheet[]): number | undefined {
  const kept = new UsageSheets(REGION, 'host-1 1');
  for (const each of sheets) kept.receive(each);
  const copy = kept
    .of(WINDOW)
    .find(({incarnation}) => incarnation === 'host-2 1');
  return copy?.figures.get('guides')?.requests;
}

test('an older copy of a sheet never takes the place of a newer one', t => {
  t.is(counted([sheet(9, 40), sheet(4, 12)]), 40);
  t.is(counted([sheet(9, 40), sheet(9, 12)]), 40);
  t.is(counted([sheet(4, 12), sheet(9, 40)]), 40);
});

test('a copy that builds on one that has not come is left out', t => {
  t.is(counted([sheet(4, 12), sheet(9, 40, 7)]), 12);
  t.is(counted([sheet(9, 40, 7)]), undefined);
});

test('a host takes nobody’s word for its own sheet', t => {
  const kept = new UsageSheets(REGION, 'host-2 1');
  kept.receive(sheet(9, 40));
  t.is(kept.of(WINDOW).length, 0);
});
