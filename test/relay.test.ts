/**
 * The relay: a caller gets the whole answer to its own request, in order, and
 * no more, however its events are cut, doubled, crossed or lost (invariant 10).
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';

import test from 'ava';
import fc from 'fast-check';

import {Cancellation} from '../source/cancellation/index.js';
import {ManualClock} from '../source/clock/index.js';
import type {Answer} from '../source/engine/index.js';
import {
  CallerAnswer,
  readStream,
  type StreamProgress,
} from '../source/relay/index.js';
import {parameters} from './support/fuzz.js';

const ATTEMPT = 'attempt-1';

/** The caller's connection, as far as the relay sees it. */
class FakeResponse extends PassThrough {
  headersSent = false;

  writeHead(): void {
    this.headersSent = true;
  }
}

function callerOf(response: FakeResponse, clock: ManualClock): CallerAnswer {
  return new CallerAnswer(response as unknown as ServerResponse, clock, 10_000);
}

function answerOf(body: PassThrough): Answer {
  return {
    status: 200,
    headers: {},
    state: undefined,
    notRun: false,
    reused: false,
    body: body as unknown as IncomingMessage,
    isWhole: () => Promise.resolve(true),
  };
}

function progressOf(): StreamProgress {
  return {
    attempt: ATTEMPT,
    sequence: 0,
    tokens: 0,
    dropped: 0,
    firstAt: 0,
    lastAt: 0,
    longestGap: 0,
    whole: false,
  };
}

function eventText(attempt: string, sequence: number, last: number): string {
  const data = sequence === last ? '[DONE]' : `token ${sequence}`;
  return `id: ${attempt}:${sequence}\ndata: ${data}\n\n`;
}

interface Disturbance {
  readonly kind: 'double' | 'cross' | 'lose';
  readonly at: number;
}

function disturbed(
  from: number,
  last: number,
  disturbances: readonly Disturbance[],
): string {
  let text = '';
  for (let sequence = from; sequence <= last; sequence++) {
    const event = eventText(ATTEMPT, sequence, last);
    const here = disturbances.filter(({at}) => at === sequence);
    if (!here.some(({kind}) => kind === 'lose')) text += event;
    for (const {kind} of here) {
      if (kind === 'double') text += event;
      if (kind === 'cross') text += eventText('another', sequence + 1, last);
    }
  }
  return text;
}

interface Connection {
  readonly disturbances: readonly Disturbance[];
  /** Characters after which it is cut; none if it is not. */
  readonly cutAfter: number | undefined;
  readonly piece: number;
}

async function relay(
  body: PassThrough,
  text: string,
  {cutAfter, piece}: Connection,
): Promise<void> {
  const sent = text.slice(0, cutAfter);
  for (let start = 0; start < sent.length; start += piece) {
    body.write(sent.slice(start, start + piece));
  }
  await new Promise(resolve => setImmediate(resolve));
  body.end();
}

/** Relays over connections until the stream is whole; answers what came out. */
async function run(
  last: number,
  connections: readonly Connection[],
  forgetful = false,
): Promise<string> {
  const clock = new ManualClock();
  const response = new FakeResponse();
  const caller = callerOf(response, clock);
  let progress = progressOf();
  let output = '';
  response.on('data', (text: Buffer) => (output += text.toString()));
  const calm: Connection = {
    disturbances: [],
    cutAfter: undefined,
    piece: 1_000,
  };
  for (const connection of [...connections, calm]) {
    if (forgetful) progress = progressOf();
    const body = new PassThrough();
    const signal = new Cancellation();
    const watch = {clock, silence: 5_000, signal};
    const ended = readStream(answerOf(body), caller, progress, watch);
    const from = progress.sequence + 1;
    const text = disturbed(from, last, connection.disturbances);
    await relay(body, text, connection);
    if ((await ended) === 'whole') break;
  }
  await new Promise(resolve => setImmediate(resolve));
  return output;
}

function expected(last: number): string {
  let text = '';
  for (let sequence = 1; sequence <= last; sequence++) {
    const data = sequence === last ? '[DONE]' : `token ${sequence}`;
    text += `data: ${data}\n\n`;
  }
  return text;
}

const connection: fc.Arbitrary<Connection> = fc.record({
  disturbances: fc.array(
    fc.record({
      kind: fc.constantFrom('double', 'cross', 'lose'),
      at: fc.integer({min: 1, max: 12}),
    }),
    {maxLength: 4},
  ),
  cutAfter: fc.option(fc.nat(400), {nil: undefined}),
  piece: fc.integer({min: 1, max: 80}),
});

test('what a caller gets is the whole answer, once and in order', async t => {
  const chosen = parameters(600);
  t.log(`seed ${chosen.seed}, ${chosen.numRuns} runs`);
  await fc.assert(
    fc.asyncProperty(
      fc.integer({min: 1, max: 12}),
      fc.array(connection, {maxLength: 4}),
      async (last, connections) => {
        const output = await run(last, connections);
        if (output !== expected(last)) throw new Error(`got ${output}`);
      },
    ),
    chosen,
  );
  t.pass();
});

test('a silent connection is given up, but not while the caller is slow', async t => {
  const clock = new ManualClock();
  const body = new PassThrough();
  const caller = callerOf(new FakeResponse(), clock);
  const signal = new Cancellation();
  const watch = {clock, silence: 5_000, signal};
  const ended = readStream(answerOf(body), caller, progressOf(), watch);
  body.write(eventText(ATTEMPT, 1, 9));
  await new Promise(resolve => setImmediate(resolve));
  clock.advance(7_500);
  t.is(await ended, 'silent');
});

test('memory stays bounded behind a slow caller', async t => {
  const clock = new ManualClock();
  const body = new PassThrough({highWaterMark: 1_024});
  const response = new FakeResponse({highWaterMark: 1_024});
  const caller = callerOf(response, clock);
  const signal = new Cancellation();
  const watch = {clock, silence: 5_000, signal};
  const ended = readStream(answerOf(body), caller, progressOf(), watch);
  let refused = 0;
  for (let sequence = 1; sequence <= 5_000; sequence++) {
    if (!body.write(eventText(ATTEMPT, sequence, 9_999))) refused++;
    if (sequence % 50 === 0)
      await new Promise(resolve => setImmediate(resolve));
  }
  t.true(refused > 0);
  t.true(response.readableLength + response.writableLength < 100_000);
  clock.advance(20_000);
  signal.abort();
  t.is(await ended, 'aborted');
});

test('the check notices a relay that forgets what it has passed on', async t => {
  const last = 3;
  const cut = {disturbances: [], cutAfter: 60, piece: 7};
  t.is(await run(last, [cut]), expected(last));
  t.not(await run(last, [cut], true), expected(last));
});

test('an event that never ends cuts the connection before it fills the memory', async t => {
  const clock = new ManualClock();
  const body = new PassThrough();
  const caller = callerOf(new FakeResponse(), clock);
  const watch = {clock, silence: 5_000, signal: new Cancellation()};
  const ended = readStream(answerOf(body), caller, progressOf(), watch);
  body.write(`id: ${ATTEMPT}:1\ndata: `);
  for (let part = 0; part < 16 && !body.destroyed; part++) {
    body.write('x'.repeat(65_536));
    await new Promise(resolve => setImmediate(resolve));
  }
  clock.advance(20_000);
  t.is(await ended, 'cut');
  t.true(body.destroyed);
});

for (const noise of [
  {what: 'comments', text: ': wait\n\n'},
  {what: 'events of another attempt', text: eventText('another', 1, 9)},
  {what: 'bytes of an event', text: 'x'},
]) {
  test(`a connection that sends only ${noise.what} is given up as silent`, async t => {
    const clock = new ManualClock();
    const body = new PassThrough();
    const caller = callerOf(new FakeResponse(), clock);
    const signal = new Cancellation();
    const watch = {clock, silence: 5_000, signal};
    const ended = readStream(answerOf(body), caller, progressOf(), watch);
    body.write(eventText(ATTEMPT, 1, 9));
    for (let second = 0; second < 10; second++) {
      body.write(noise.text);
      await new Promise(resolve => setImmediate(resolve));
      clock.advance(1_000);
    }
    signal.abort();
    t.is(await ended, 'silent');
  });
}

test('bytes without end after the end marker close the connection', async t => {
  const clock = new ManualClock();
  const body = new PassThrough();
  const caller = callerOf(new FakeResponse(), clock);
  const watch = {clock, silence: 5_000, signal: new Cancellation()};
  const ended = readStream(answerOf(body), caller, progressOf(), watch);
  body.write(eventText(ATTEMPT, 1, 1));
  t.is(await ended, 'whole');
  for (let part = 0; part < 16 && !body.destroyed; part++) {
    body.write('x'.repeat(65_536));
    await new Promise(resolve => setImmediate(resolve));
  }
  t.true(body.destroyed);
});
