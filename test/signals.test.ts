/** A signal to reload that comes before the host can obey it. */
import {EventEmitter} from 'node:events';

import test from 'ava';

import {ReloadSignals} from '../source/edge/signals.js';

test('a signal that comes while the program loads is obeyed once it can be', t => {
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

test('without a signal nothing is read again', t => {
  const signals = new ReloadSignals(new EventEmitter());
  let reloads = 0;
  signals.onReload(() => reloads++);
  t.is(reloads, 0);
});
