/** The rate limit of log lines: excess lines are counted, failures are kept. */
import {closeSync, mkdtempSync, openSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {BoundedSink} from '../source/logging/index.js';
import {until} from './support/edgeprocess.js';

const MAX_LINES_PER_SECOND = 150;

test('excess informational lines are dropped and counted, and do not displace failures', async t => {
  const path = join(mkdtempSync(join(tmpdir(), 'arbutusslip-')), 'log');
  const file = openSync(path, 'w');
  const clock = new ManualClock();
  const sink = new BoundedSink(file, clock);
  for (let line = 0; line < 400; line++)
    sink.writeLine('info', `news ${line}\n`);
  for (let line = 0; line < 20; line++)
    sink.writeLine('warn', `failure ${line}\n`);
  clock.advance(1_000);
  sink.writeLine('info', 'later\n');
  clock.advance(200);
  const text = () => readFileSync(path, 'utf8');
  await until(() => text().includes('later'));
  const lines = text().split('\n');
  t.is(
    lines.filter(line => line.startsWith('news')).length,
    MAX_LINES_PER_SECOND,
  );
  t.is(lines.filter(line => line.startsWith('failure')).length, 20);
  const dropped = lines.find(line => line.includes('lines-dropped')) ?? '';
  t.like(JSON.parse(dropped), {
    fields: {news: 400 - MAX_LINES_PER_SECOND, failures: 0},
  });
  closeSync(file);
});

test('the lines of a process that is about to end are written when flush resolves', async t => {
  const path = join(mkdtempSync(join(tmpdir(), 'arbutusslip-')), 'log');
  const file = openSync(path, 'w');
  const sink = new BoundedSink(file, new ManualClock());
  sink.writeLine('info', 'before\n');
  const first = sink.flush();
  sink.writeLine('error', 'last\n');
  await Promise.all([first, sink.flush()]);
  t.is(readFileSync(path, 'utf8'), 'before\nlast\n');
  closeSync(file);
});
