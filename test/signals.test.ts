/** Reload signals that arrive before the host can handle them. */
import {EventEmitter} from 'node:events';

import test from 'ava';

import {ReloadSignals} from '../source/edge/signals.js';

test('signals that arrive while the program loads cause one reload when the handler is set', t => {
  const source = new EventEmitter();
  const signals = new ReloadSignals(source);
  source.emit('SIGHUP');
  source.emit('SIGHUP');
  let reloads = 0;
  signals.onReload(() => reloads++);
  t.is(reloads, 1);
  source.emit('SIGHUP');
  t.is(reloads, 2);
});

test('without a signal there is no reload', t => {
  const signals = new ReloadSignals(new EventEmitter());
  let reloads = 0;
  signals.onReload(() => reloads++);
  t.is(reloads, 0);
});
