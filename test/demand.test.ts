/**
 * Estimates of the callers' demand for engine time, which scaling and the split
 * of the engines by prompt size depend on.
 */
import test from 'ava';

import {
  addPrompt,
  busyEngineCount,
  DemandTracker,
  estimateEngineMilliseconds,
  NO_DEMAND,
  unbiasedDemand,
  type Prompt,
  type EngineDemand,
} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';

const PROMPT: Prompt = {
  model: 'm',
  parts: [
    {id: 'style', tokens: 198},
    {id: 'own', tokens: 628},
  ],
  tokens: 826,
  output: 290,
};

/** The demand after one request of 20 ms every 10 ms for `duration` ms. */
function demandAfter(duration: number): EngineDemand {
  let demand = NO_DEMAND;
  for (let at = 5_000; at < 5_000 + duration; at += 10) {
    demand = addPrompt(demand, false, 20, at);
  }
  return unbiasedDemand(demand, 5_000 + duration);
}

test('steady demand is estimated as well after three seconds as after a minute', t => {
  for (const duration of [3_000, 6_000, 60_000]) {
    const busy = busyEngineCount(demandAfter(duration));
    t.true(Math.abs(busy - 2) < 0.1, `${duration} ms: ${busy}`);
  }
});

test('no request is no demand, and the first one alone is not extrapolated', t => {
  t.is(busyEngineCount(unbiasedDemand(NO_DEMAND, 9_000)), 0);
  const first = addPrompt(NO_DEMAND, true, 100, 9_000);
  t.true(busyEngineCount(unbiasedDemand(first, 9_000)) <= 0.05);
});

test('a response takes more engine time on an engine that runs few at once', t => {
  const few = estimateEngineMilliseconds(PROMPT, 16, 0.3);
  const many = estimateEngineMilliseconds(PROMPT, 64, 0.3);
  t.true(few > 1.8 * many, `${few} ${many}`);
  // The milliseconds that engines take on the days with the highest load.
  t.true(Math.abs(many - 65) < 8, String(many));
});

const DRAFT: Prompt = {
  model: 'm',
  parts: [
    {id: 'glossary', tokens: 2_520},
    {id: 'chapter', tokens: 3_780},
    {id: 'own', tokens: 2_890},
  ],
  tokens: 9_190,
  output: 50,
};

test('the demand is higher while engines have cached nothing of the prompts', t => {
  const uncached = estimateEngineMilliseconds(DRAFT, 16, 1);
  const cached = estimateEngineMilliseconds(DRAFT, 16, 0);
  t.true(uncached > 2.4 * cached, `${uncached} ${cached}`);
  const demandFor = (uncachedTokens: number) => {
    const clock = new ManualClock();
    const tracker = new DemandTracker(clock);
    for (let request = 0; request < 200; request++) {
      tracker.recordArrival('drafting', DRAFT, 16);
      tracker.recordSend('drafting', 6_300, uncachedTokens);
      clock.advance(100);
    }
    return tracker.ownDemand('drafting').large;
  };
  t.true(
    demandFor(6_300) > 2.3 * demandFor(0),
    `${demandFor(6_300)} ${demandFor(0)}`,
  );
});
