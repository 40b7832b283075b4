/** One engine that is silent: the others go on getting this host's requests. */
import test from 'ava';

import {EndpointSelector, type Prompt} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import {directoryOfEngines} from './support/directories.js';

const SERVICE = {
  name: 'drafting',
  healthPath: '/health',
  coldRate: 0,
  engine: {slots: 16, memory: 314_653},
};
const GROUP = {
  pool: SERVICE.name,
  className: 'draft',
  tier: 1,
  floorShare: 0,
  cheapShare: 0,
  repeatable: false,
};

function promptOf(tokens: number): Prompt {
  return {
    model: 'm',
    parts: [{id: `own-${tokens}`, tokens}],
    tokens,
    output: 50,
  };
}

for (const [hosts, engines] of [
  [61, 98],
  [10, 10],
  [3, 4],
] as const) {
  test(`a large prompt at a silent engine leaves the others to ${hosts} hosts at ${engines} engines`, t => {
    const clock = new ManualClock();
    const selector = new EndpointSelector({
      host: 'host-0',
      zone: 'palermo',
      clock,
      regions: {},
    });
    selector.setServices(new Map([[SERVICE.name, SERVICE]]));
    selector.setDirectory(directoryOfEngines(engines, SERVICE));
    selector.setHosts(
      Array.from({length: hosts}, (_, index) => `host-${index}`),
    );
    const prompt = promptOf(40_000);
    selector.recordArrival(SERVICE.name, prompt);
    const reservation = selector.reserve({
      service: SERVICE.name,
      prompt,
      tier: 0,
      failedEndpoints: new Set(),
    });
    t.truthy(reservation);
    for (let elapsed = 0; elapsed < 4_000; elapsed += 100) {
      t.true(selector.hasCapacity(GROUP), `after ${elapsed} ms`);
      clock.advance(100);
    }
  });
}
