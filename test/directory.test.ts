/** Which endpoints a host may use when entries are removed, lapse or return. */
import test from 'ava';

import {
  applyEntryChanges,
  removeLapsed,
  lapseGracePeriod,
  type Directory,
  type EndpointEntry,
} from '../source/directory/index.js';

const LAPSE = 1_500;
const NO_OUTAGE = {now: 100_000, lostAt: -Infinity, lapse: LAPSE};

function entry(id: string, change: Partial<EndpointEntry> = {}): EndpointEntry {
  return {
    id,
    service: 'drafting',
    address: '10.0.0.1:80',
    zone: 'palermo',
    slots: 64,
    leaving: false,
    coldFor: 0,
    born: 1,
    reclaimable: false,
    ...change,
  };
}

function directoryOf(...ids: string[]): Directory {
  const changes = ids.map(id => ({id, entry: entry(id)}));
  return applyEntryChanges(new Map(), changes, {...NO_OUTAGE, now: 0});
}

test('an entry that is removed while the store is reachable is gone at once', t => {
  const before = directoryOf('a', 'b', 'c', 'd', 'e', 'f', 'g');
  const after = applyEntryChanges(
    before,
    [{id: 'a', entry: undefined}],
    NO_OUTAGE,
  );
  t.false(after.has('a'));
  t.is(after.size, 6);
});

test('entries that are missing after an outage are kept for a while, then removed', t => {
  const before = directoryOf('a', 'b', 'c', 'd', 'e', 'f', 'g');
  const health = {now: 100_000, lostAt: 99_000, lapse: LAPSE};
  const lapsed = applyEntryChanges(
    before,
    [{id: 'a', entry: undefined}],
    health,
  );
  t.true(lapsed.has('a'));
  t.true(removeLapsed(lapsed, 101_400).has('a'));
  t.false(removeLapsed(lapsed, 101_500).has('a'));
});

test('a lapsed entry that returns stays', t => {
  const before = directoryOf('a', 'b');
  const health = {now: 100_000, lostAt: 99_000, lapse: LAPSE};
  const lapsed = applyEntryChanges(
    before,
    [{id: 'a', entry: undefined}],
    health,
  );
  const again = applyEntryChanges(
    lapsed,
    [{id: 'a', entry: entry('a')}],
    NO_OUTAGE,
  );
  t.true(removeLapsed(again, 200_000).has('a'));
});

test('when most entries go at once they have lapsed, even if no outage was seen', t => {
  const before = directoryOf('a', 'b', 'c', 'd');
  const removals = ['a', 'b', 'c'].map(id => ({id, entry: undefined}));
  t.is(applyEntryChanges(before, removals, NO_OUTAGE).size, 4);
});

test('an endpoint that was restarted under the same id counts as new', t => {
  const before = directoryOf('a');
  const restarted = {id: 'a', entry: entry('a', {born: 2, coldFor: 3_000})};
  const after = applyEntryChanges(before, [restarted], NO_OUTAGE).get('a');
  t.is(after?.knownAt, 100_000);
  t.is(after?.coldUntil, 103_000);
  const same = {id: 'a', entry: entry('a', {leaving: true})};
  t.is(applyEntryChanges(before, [same], NO_OUTAGE).get('a')?.knownAt, 0);
});

test('an entry that could not be parsed is removed, and the others stay', t => {
  const before = directoryOf('a', 'b', 'c', 'd', 'e', 'f', 'g');
  const after = applyEntryChanges(
    before,
    [{id: 'b', entry: undefined}],
    NO_OUTAGE,
  );
  t.deepEqual([...after.keys()], ['a', 'c', 'd', 'e', 'f', 'g']);
});

test('a lapsed entry is removed before the drain time of endpoints is over', t => {
  t.is(lapseGracePeriod(2_000), 1_500);
  t.is(lapseGracePeriod(3_000), 1_500);
  t.is(lapseGracePeriod(1_500), 1_000);
  t.is(lapseGracePeriod(300), 0);
});
