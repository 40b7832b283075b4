/**
 * The status and Retry-After of refusals: 429 and 503 only where no endpoint
 * can have run the request (invariant 11), and a delay short enough that the
 * caller still waits for the retry.
 */
import test from 'ava';
import fc from 'fast-check';

import {Refusal, refusalCodeSchema} from '../source/errors/index.js';
import {retryAfterSeconds, refusalStatus} from '../source/forward/index.js';
import {seededRandom} from '../source/random/index.js';
import {holds} from './support/fuzz.js';

/** Statuses that guarantee that the request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

const refusedRequest = fc.record({
  refusal: fc
    .tuple(
      fc.constantFrom(...refusalCodeSchema.options),
      fc.constantFrom('not-run' as const, 'unknown' as const, 'ran' as const),
    )
    .map(([code, outcome]) => new Refusal(code, outcome, 'detail')),
  mayHaveRun: fc.boolean(),
  timeLeft: fc.integer({min: 0, max: 12_000}),
});

test('a status that guarantees that the request has not run is given only where it cannot have run', t => {
  const property = fc.property(refusedRequest, refused => {
    const guaranteesNotRun = NOT_RUN_STATUSES.has(refusalStatus(refused));
    return !guaranteesNotRun || !refused.mayHaveRun;
  });
  holds(t, property, 2_000);
});

test('Retry-After is given only with 503, and within a third of the caller’s remaining time', t => {
  const random = seededRandom(7);
  const property = fc.property(refusedRequest, refused => {
    const seconds = retryAfterSeconds(refused, random);
    if (refusalStatus(refused) !== 503) return seconds === 0;
    return seconds >= 0 && seconds * 1_000 <= refused.timeLeft / 3;
  });
  holds(t, property, 2_000);
});

test('Retry-After of requests refused at the same time is spread out', t => {
  const random = seededRandom(7);
  const refusal = new Refusal('queue-timeout', 'not-run', 'full');
  const refused = {refusal, mayHaveRun: false, timeLeft: 3_000};
  const delays = Array.from({length: 50}, () =>
    retryAfterSeconds(refused, random),
  );
  t.true(Math.max(...delays) - Math.min(...delays) > 0.15);
});
