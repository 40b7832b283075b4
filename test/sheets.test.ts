/** Updates of usage sheets that arrive late, twice or after a gap. */
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

/** The requests that a host counts for another one after these updates. */
function requestsAfter(sheets: readonly Sheet[]): number | undefined {
  const target = new UsageSheets(REGION, 'host-1 1');
  for (const each of sheets) target.applyUpdate(each);
  const copy = target
    .sheetsFor(WINDOW)
    .find(({incarnation}) => incarnation === 'host-2 1');
  return copy?.figures.get('guides')?.requests;
}

test('an older update of a sheet never replaces a newer one', t => {
  t.is(requestsAfter([sheet(9, 40), sheet(4, 12)]), 40);
  t.is(requestsAfter([sheet(9, 40), sheet(9, 12)]), 40);
  t.is(requestsAfter([sheet(4, 12), sheet(9, 40)]), 40);
});

test('an update that builds on a sequence not received is ignored', t => {
  t.is(requestsAfter([sheet(4, 12), sheet(9, 40, 7)]), 12);
  t.is(requestsAfter([sheet(9, 40, 7)]), undefined);
});

test('a host ignores updates of its own sheet from other hosts', t => {
  const target = new UsageSheets(REGION, 'host-2 1');
  target.applyUpdate(sheet(9, 40));
  t.is(target.sheetsFor(WINDOW).length, 0);
});
