/** Counters and timings, in the Prometheus text and in the snapshot. */
import test from 'ava';

import {formatPrometheusMetrics, Metrics} from '../source/metrics/index.js';

test('the Prometheus text has counters and durations by their tags', async t => {
  const metrics = new Metrics();
  metrics.count('refusal', {reason: 'queue-full'});
  metrics.count('refusal', {reason: 'queue-full'}, 2);
  for (let duration = 1; duration <= 100; duration++) {
    metrics.time('answer', duration, {route: 'drafts'});
  }
  const text = await formatPrometheusMetrics(metrics);
  t.regex(text, /arbutusslip_refusal_total\{reason="queue-full"\} 3/);
  const quantileInText = (quantile: string) =>
    Number(
      new RegExp(
        `arbutusslip_answer_milliseconds\\{route="drafts",quantile="${quantile}"\\} (\\S+)`,
      ).exec(text)?.[1],
    );
  t.is(quantileInText('count'), 100);
  t.true(
    Math.abs(quantileInText('p50') - 50) <= 1,
    String(quantileInText('p50')),
  );
  t.true(
    Math.abs(quantileInText('p99') - 99) <= 1,
    String(quantileInText('p99')),
  );
});

test('durations outside the range of the histogram are clamped to its limits', t => {
  const metrics = new Metrics();
  metrics.time('answer', 0);
  metrics.time('answer', 1e9);
  const [timing] = metrics.snapshot().timings;
  t.is(timing?.count, 2);
  t.true((timing?.p99 ?? 0) >= 590_000);
});

test('series of one name with other tags are shown together', async t => {
  const metrics = new Metrics();
  metrics.count('retry', {reason: 'cut'});
  metrics.count('retry', {reason: 'cut', route: 'drafts'}, 2);
  metrics.time('answer', 5);
  metrics.time('answer', 7, {route: 'drafts'});
  const text = await formatPrometheusMetrics(metrics);
  t.regex(text, /arbutusslip_retry_total\{reason="cut"\} 1/);
  t.regex(text, /arbutusslip_retry_total\{reason="cut",route="drafts"\} 2/);
  t.regex(text, /arbutusslip_answer_milliseconds\{quantile="count"\} 1/);
});

test('a gauge shows what holds when the metrics are asked for', async t => {
  const metrics = new Metrics();
  let held = 1;
  metrics.gauge('held-bytes', {kind: 'answers'}, () => held);
  metrics.gauge('held-bytes', {kind: 'waiting'}, () => 7);
  held = 5;
  const text = await formatPrometheusMetrics(metrics);
  t.regex(text, /arbutusslip_held_bytes\{kind="answers"\} 5/);
  t.regex(text, /arbutusslip_held_bytes\{kind="waiting"\} 7/);
});
