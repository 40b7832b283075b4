/**
 * Which prompt parts engines are believed to have cached, which of them are
 * reported to other hosts, and the rendezvous order by which parts are placed.
 */
import test from 'ava';

import {PrefixCacheIndex, rendezvousOrder} from '../source/balance/index.js';

const LARGE = {id: 'glossary', tokens: 2_520};
const SMALL = {id: 'greeting', tokens: 119};

test('small parts are not reported to other hosts, and large ones only once', t => {
  const prefixCache = new PrefixCacheIndex();
  for (let now = 1_000; now < 1_010; now++) {
    prefixCache.recordPrefill([LARGE, SMALL], 'engine-1', now);
  }
  prefixCache.recordPrefill([LARGE], 'engine-2', 1_010);
  const reports = prefixCache.prefillsSince(1_000);
  t.deepEqual(reports, [
    {part: 'glossary', endpoint: 'engine-1'},
    {part: 'glossary', endpoint: 'engine-2'},
  ]);
  t.deepEqual(prefixCache.prefillsSince(1_011), []);
  t.is(prefixCache.tokens([LARGE, SMALL], 'engine-1', 1_020), 2_639);
});

test('a report of another host counts until it expires or the engine is removed', t => {
  const prefixCache = new PrefixCacheIndex();
  prefixCache.addReports([{part: LARGE.id, endpoint: 'engine-1'}], 1_000);
  t.is(prefixCache.tokens([LARGE], 'engine-1', 46_000), 2_520);
  t.is(prefixCache.tokens([LARGE], 'engine-1', 46_001), 0);
  prefixCache.addReports([{part: LARGE.id, endpoint: 'engine-1'}], 50_000);
  prefixCache.removeEndpoint('engine-1');
  t.is(prefixCache.tokens([LARGE], 'engine-1', 50_001), 0);
});

test('the rendezvous order is the same for all hosts, and removing a name keeps the others in order', t => {
  const names = Array.from({length: 20}, (_, index) => `engine-${index}`);
  const ranked = rendezvousOrder('glossary', names);
  t.deepEqual(rendezvousOrder('glossary', [...names].reverse()), ranked);
  const [first, ...rest] = ranked;
  const others = names.filter(name => name !== first);
  t.deepEqual(rendezvousOrder('glossary', others), rest);
});
