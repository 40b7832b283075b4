/** The life cycle of a host. */
import test from 'ava';

import {hostChart} from '../source/charts/index.js';

const STATES = ['starting', 'catching-up', 'serving', 'draining', 'stopped'];
const EVENTS = ['listen', 'ready', 'drain', 'stop'];
const TRANSITIONS = [
  'starting listen catching-up',
  'starting drain draining',
  'starting stop stopped',
  'catching-up ready serving',
  'catching-up drain draining',
  'catching-up stop stopped',
  'serving drain draining',
  'serving stop stopped',
  'draining stop stopped',
];

test('the chart of a host has these transitions and no others', t => {
  const found = STATES.flatMap(state =>
    EVENTS.filter(event => hostChart.allows(state, event)).map(
      event => `${state} ${event} ${hostChart.next(state, event)}`,
    ),
  );
  t.deepEqual(found.sort(), [...TRANSITIONS].sort());
  t.is(hostChart.initial, 'starting');
});
