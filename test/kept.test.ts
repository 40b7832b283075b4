/** Which parts of prompts engines are believed to keep, and what is told of it. */
import test from 'ava';

import {KeptParts, rankedFor} from '../source/balance/index.js';

const LARGE = {id: 'glossary', tokens: 2_520};
const SMALL = {id: 'greeting', tokens: 119};

test('parts that are soon read are not told to other hosts, and each only once', t => {
  const kept = new KeptParts();
  for (let now = 1_000; now < 1_010; now++) {
    kept.read([LARGE, SMALL], 'engine-1', now);
  }
  kept.read([LARGE], 'engine-2', 1_010);
  const told = kept.since(1_000);
  t.deepEqual(told, [
    {part: 'glossary', endpoint: 'engine-1'},
    {part: 'glossary', endpoint: 'engine-2'},
  ]);
  t.deepEqual(kept.since(1_011), []);
  t.is(kept.tokens([LARGE, SMALL], 'engine-1', 1_020), 2_639);
});

test('what another host tells counts until it is old or the engine has gone', t => {
  const kept = new KeptParts();
  kept.told([{part: LARGE.id, endpoint: 'engine-1'}], 1_000);
  t.is(kept.tokens([LARGE], 'engine-1', 46_000), 2_520);
  t.is(kept.tokens([LARGE], 'engine-1', 46_001), 0);
  kept.told([{part: LARGE.id, endpoint: 'engine-1'}], 50_000);
  kept.forget('engine-1');
  t.is(kept.tokens([LARGE], 'engine-1', 50_001), 0);
});

test('all hosts rank the same names alike, and one that goes moves no other', t => {
  const names = Array.from({length: 20}, (_, index) => `engine-${index}`);
  const ranked = rankedFor('glossary', names);
  t.deepEqual(rankedFor('glossary', [...names].reverse()), ranked);
  const [first, ...rest] = ranked;
  const others = names.filter(name => name !== first);
  t.deepEqual(rankedFor('glossary', others), rest);
});
