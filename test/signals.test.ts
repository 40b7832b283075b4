/** Signals that arrive before the host can handle them. */
import {EventEmitter} from 'node:events';

import test from 'ava';

import {ProcessSignals} from '../source/edge/signals.js';

test('signals that arrive while the program loads cause one reload when the handler is set', t => {
  const source = new EventEmitter();
  const signals = new ProcessSignals(source, () => {});
  source.emit('SIGHUP');
  source.emit('SIGHUP');
  let reloads = 0;
  signals.onReload(() => reloads++);
  t.is(reloads, 1);
  source.emit('SIGHUP');
  t.is(reloads, 2);
});

test('without a signal there is no reload', t => {
  const signals = new ProcessSignals(new EventEmitter(), () => {});
  let reloads = 0;
  signals.onReload(() => reloads++);
  t.is(reloads, 0);
});

for (const signal of ['SIGTERM', 'SIGINT']) {
  test(`${signal} goes to the handler of the time, from the start on`, t => {
    const source = new EventEmitter();
    const stops: string[] = [];
    const note = (by: string) => (name: string) => stops.push(`${by} ${name}`);
    const signals = new ProcessSignals(source, note('loading'));
    source.emit(signal);
    signals.onStop(note('host'));
    source.emit(signal);
    t.deepEqual(stops, [`loading ${signal}`, `host ${signal}`]);
  });
}
