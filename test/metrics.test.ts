/** What is counted and timed, as operators read it. */
import test from 'ava';

import {expositionOf, Metrics} from '../source/metrics/index.js';

test('counters and durations are shown as text, by their tags', async t => {
  const metrics = new Metrics();
  metrics.count('refusal', {reason: 'queue-full'});
  metrics.count('refusal', {reason: 'queue-full'}, 2);
  for (let duration = 1; duration <= 100; duration++) {
    metrics.time('answer', duration, {route: 'drafts'});
  }
  const text = await expositionOf(metrics);
  t.regex(text, /arbutusslip_refusal_total\{reason="queue-full"\} 3/);
  const shown = (quantile: string) =>
    Number(
      new RegExp(
        `arbutusslip_answer_milliseconds\\{route="drafts",quantile="${quantile}"\\} (\\S+)`,
      ).exec(text)?.[1],
    );
  t.is(shown('count'), 100);
  t.true(Math.abs(shown('p50') - 50) <= 1, String(shown('p50')));
  t.true(Math.abs(shown('p99') - 99) <= 1, String(shown('p99')));
});

test('durations out of range are kept at its ends', t => {
  const metrics = new Metrics();
  metrics.time('answer', 0);
  metrics.time('answer', 1e9);
  const [timing] = metrics.snapshot().timings;
  t.is(timing?.count, 2);
  t.true((timing?.p99 ?? 0) >= 590_000);
});
