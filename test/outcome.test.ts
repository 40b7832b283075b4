/**
 * What a caller is told when its request is given up: 429 and 503 only where
 * nothing has run (invariant 11), and a time to come back that it will keep.
 */
import test from 'ava';
import fc from 'fast-check';

import {Refusal, refusalCodeSchema} from '../source/errors/index.js';
import {retryAfterOf, statusOf} from '../source/forward/index.js';
import {seededRandom} from '../source/random/index.js';
import {holds} from './support/fuzz.js';

const PROMISES = new Set([408, 421, 429, 503]);

const givenUp = fc.record({
  refusal: fc
    .tuple(
      fc.constantFrom(...refusalCodeSchema.options),
      fc.constantFrom('not-run' as const, 'unknown' as const, 'ran' as const),
    )
    .map(([code, outcome]) => new Refusal(code, outcome, 'detail')),
  mayHaveRun: fc.boolean(),
  timeLeft: fc.integer({min: 0, max: 12_000}),
});

test('a promise is made only where nothing may have run', t => {
  const property = fc.property(givenUp, given => {
    const promised = PROMISES.has(statusOf(given));
    return !promised || !given.mayHaveRun;
  });
  holds(t, property, 2_000);
});

test('a caller is told to come back within a third of its time, and only then', t => {
  const random = seededRandom(7);
  const property = fc.property(givenUp, given => {
    const seconds = retryAfterOf(given, random);
    if (statusOf(given) !== 503) return seconds === 0;
    return seconds >= 0 && seconds * 1_000 <= given.timeLeft / 3;
  });
  holds(t, property, 2_000);
});

test('callers that are refused together do not come back together', t => {
  const random = seededRandom(7);
  const refusal = new Refusal('queue-timeout', 'not-run', 'full');
  const given = {refusal, mayHaveRun: false, timeLeft: 3_000};
  const times = Array.from({length: 50}, () => retryAfterOf(given, random));
  t.true(Math.max(...times) - Math.min(...times) > 0.15);
});
