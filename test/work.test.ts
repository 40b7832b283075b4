/** What the work of callers is taken for, which orders and divisions rest on. */
import test from 'ava';

import {
  afterPrompt,
  busyEngines,
  CallersWork,
  engineTime,
  NO_WORK,
  steadyWork,
  type Prompt,
  type PromptWork,
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

/** One request of 20 ms every 10 ms, for so long. */
function steadyLoad(duration: number): PromptWork {
  let work = NO_WORK;
  for (let at = 5_000; at < 5_000 + duration; at += 10) {
    work = afterPrompt(work, false, 20, at);
  }
  return steadyWork(work, 5_000 + duration);
}

test('a steady load is known after three seconds as well as after a minute', t => {
  for (const duration of [3_000, 6_000, 60_000]) {
    const busy = busyEngines(steadyLoad(duration));
    t.true(Math.abs(busy - 2) < 0.1, `${duration} ms: ${busy}`);
  }
});

test('no request is no work, and the first one alone is no flood', t => {
  t.is(busyEngines(steadyWork(NO_WORK, 9_000)), 0);
  const first = afterPrompt(NO_WORK, true, 100, 9_000);
  t.true(busyEngines(steadyWork(first, 9_000)) <= 0.05);
});

test('an answer takes up more of an engine that makes few at once', t => {
  const few = engineTime(PROMPT, 16, 0.3);
  const many = engineTime(PROMPT, 64, 0.3);
  t.true(few > 1.8 * many, `${few} ${many}`);
  // What the engines of the heaviest days take, in milliseconds.
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

test('callers bring more work while engines keep nothing of their prompts', t => {
  const cold = engineTime(DRAFT, 16, 1);
  const warm = engineTime(DRAFT, 16, 0);
  t.true(cold > 2.4 * warm, `${cold} ${warm}`);
  const workOf = (unread: number) => {
    const clock = new ManualClock();
    const callers = new CallersWork(clock);
    for (let request = 0; request < 200; request++) {
      callers.arrived('drafting', DRAFT, 16);
      callers.sent('drafting', 6_300, unread);
      clock.advance(100);
    }
    return callers.ofOwn('drafting').large;
  };
  t.true(workOf(6_300) > 2.3 * workOf(0), `${workOf(6_300)} ${workOf(0)}`);
});
