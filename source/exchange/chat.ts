/**
 * Chat completions. A stream is passed on event by event; when its connection
 * is cut or silent, it is resumed at the same engine on a new one, since an
 * old connection's silence says nothing about the engine.
 */
import type {Signal} from '../cancellation/index.js';
import type {Answer, Order} from '../engine/index.js';
import {PrefixAffinity, type Slot} from '../placement/index.js';
import {readStream, type StreamProgress} from '../relay/index.js';
import {
  asFailure,
  cancelAttempt,
  isFailure,
  noteAnswer,
  statusFailure,
  wholeBody,
} from './answer.js';
import type {Exchange} from './exchange.js';
import {orderOf, type OrderBase} from './order.js';
import type {Plane} from './plane.js';
import {estimateOf, openingOf, type ChatRequest} from './request.js';
import {AttemptFailure, runAttempts} from './run.js';

const CHAT_PATH = '/v1/chat/completions';
const RESUMES_WITHOUT_PROGRESS = 3;

/**
 * Runs a chat completion to its end. Throws the Refusal that ends it.
 *
 * ```ts
 * await runChat(exchange, plane, parseChatRequest(body), body);
 * ```
 */
export async function runChat(
  exchange: Exchange,
  plane: Plane,
  request: ChatRequest,
  body: Buffer,
): Promise<number> {
  const base = baseOf(exchange, request, body);
  const prefix = PrefixAffinity.keyOf(exchange.caller.team, openingOf(request));
  const expectation = {tokens: estimateOf(request, body.length), prefix};
  const attempt = request.stream ? streamAttempt : wholeAttempt;
  let tokens = 0;
  await runAttempts(exchange, plane, expectation, async (slot, signal) => {
    tokens = await attempt({exchange, plane, slot, signal}, base);
    return tokens;
  });
  return tokens;
}

function baseOf(
  {match}: Exchange,
  request: ChatRequest,
  body: Buffer,
): OrderBase {
  const {engineModel, model} = match.route;
  const renamed = engineModel !== undefined && engineModel !== model;
  return {
    method: 'POST',
    path: CHAT_PATH,
    headers: {'content-type': 'application/json'},
    body: renamed
      ? Buffer.from(JSON.stringify({...request, model: engineModel}))
      : body,
  };
}

interface Attempting {
  readonly exchange: Exchange;
  readonly plane: Plane;
  readonly slot: Slot;
  readonly signal: Signal;
}

async function streamAttempt(
  attempting: Attempting,
  base: OrderBase,
): Promise<number> {
  const {exchange, signal} = attempting;
  const order = orderOf(exchange, base);
  const progress = newProgress(order.attempt);
  try {
    const answer = await open(attempting, order, 0);
    if (answer.status >= 300) return await passOn(attempting, answer);
    await relayUntilWhole(attempting, order, answer, progress);
  } catch (error) {
    if (signal.aborted) cancelAttempt(attempting.plane, attempting.slot, order);
    throw asFailure(error, progress.sequence, progress.tokens);
  }
  noteStream(attempting, progress);
  exchange.answer.endStream();
  return progress.tokens;
}

async function relayUntilWhole(
  attempting: Attempting,
  order: Order,
  first: Answer,
  progress: StreamProgress,
): Promise<void> {
  const {exchange, plane, slot, signal} = attempting;
  const {clock, settings, metrics} = plane;
  const silence = settings.betweenEventsBoundMilliseconds;
  let answer = first;
  let stalled = 0;
  exchange.move('answer');
  for (;;) {
    const before = progress.sequence;
    const end = await readStream(answer, exchange.answer, progress, {
      clock,
      silence,
      signal,
    });
    if (end === 'whole') return;
    if (end === 'aborted') throw failureOf('cut', 'aborted', progress);
    stalled = progress.sequence > before ? 0 : stalled + 1;
    if (stalled >= RESUMES_WITHOUT_PROGRESS) {
      throw failureOf('between-events', 'no progress', progress);
    }
    metrics.count('resume', {reason: end, class: exchange.match.class.name});
    plane.adapter.renewConnections(slot.endpoint);
    answer = await resumed(attempting, order, progress);
  }
}

async function resumed(
  {plane, slot, signal}: Attempting,
  order: Order,
  progress: StreamProgress,
): Promise<Answer> {
  const {endpoint} = slot;
  const {attempt} = order;
  try {
    const answer = await plane.adapter.resume(
      endpoint,
      attempt,
      progress.sequence,
      signal,
    );
    if (answer.status < 300) return answer;
    answer.body.destroy();
    const notRun = answer.notRun && progress.sequence === 0;
    const {sequence, tokens} = progress;
    throw new AttemptFailure(
      'status',
      'cannot be resumed',
      notRun,
      sequence,
      tokens,
    );
  } catch (error) {
    if (error instanceof AttemptFailure) throw error;
    // The first connection carried the request, so a failure to reach the
    // endpoint again proves nothing about it.
    throw failureOf('cut', 'the endpoint is out of reach', progress);
  }
}

/** The head of the answer, asked for on a new connection if the first is silent. */
async function open(
  attempting: Attempting,
  order: Order,
  after: number | 'whole',
): Promise<Answer> {
  const {plane, slot, signal} = attempting;
  const began = plane.clock.monotonic();
  const answer = await sendOrDoubt(attempting, order, after);
  noteAnswer(plane, slot, answer, plane.clock.monotonic() - began);
  if (isFailure(answer) && !signal.aborted) throw statusFailure(answer);
  return answer;
}

async function sendOrDoubt(
  {plane, slot, signal, exchange}: Attempting,
  order: Order,
  after: number | 'whole',
): Promise<Answer> {
  const {adapter} = plane;
  const {endpoint} = slot;
  try {
    return await adapter.send(endpoint, order, signal);
  } catch (error) {
    const failure = asFailure(error);
    if (failure.stage !== 'first-byte' || signal.aborted) throw failure;
    const tags = {reason: 'first-byte', class: exchange.match.class.name};
    plane.metrics.count('resume', tags);
    adapter.renewConnections(endpoint);
    const answer = await adapter.resume(endpoint, order.attempt, after, signal);
    if (answer.status === 404) throw statusFailure(answer);
    return answer;
  }
}

/** An error that the engine found in the request is the caller’s answer. */
async function passOn(
  {exchange, plane, signal}: Attempting,
  answer: Answer,
): Promise<number> {
  const body = await wholeBody(plane, answer, signal);
  exchange.answer.sendWhole(answer.status, answer.headers, body, 'ran');
  return 0;
}

async function wholeAttempt(
  attempting: Attempting,
  base: OrderBase,
): Promise<number> {
  const {exchange, plane, slot, signal} = attempting;
  const order = orderOf(exchange, base);
  const began = plane.clock.monotonic();
  try {
    const answer = await open(attempting, order, 'whole');
    const body = await wholeBody(plane, answer, signal);
    const duration = plane.clock.monotonic() - began;
    const tags = {class: exchange.match.class.name};
    plane.metrics.time('whole-answer', duration, tags);
    exchange.answer.sendWhole(answer.status, answer.headers, body, 'ran');
    return tokensOf(body);
  } catch (error) {
    if (signal.aborted) cancelAttempt(plane, slot, order);
    throw asFailure(error);
  }
}

const COMPLETION_TOKENS = /"completion_tokens"\s*:\s*(\d+)/;

/** Tokens that a whole answer says it holds; the answer itself passes as it is. */
function tokensOf(body: Buffer): number {
  return Number(COMPLETION_TOKENS.exec(body.toString('latin1'))?.[1] ?? 0);
}

function newProgress(attempt: string): StreamProgress {
  return {
    attempt,
    sequence: 0,
    tokens: 0,
    dropped: 0,
    firstAt: 0,
    lastAt: 0,
    longestGap: 0,
    whole: false,
  };
}

function failureOf(
  stage: AttemptFailure['stage'],
  detail: string,
  {sequence, tokens}: StreamProgress,
): AttemptFailure {
  return new AttemptFailure(stage, detail, false, sequence, tokens);
}

function noteStream(
  {exchange, plane, slot}: Attempting,
  progress: StreamProgress,
): void {
  const {metrics} = plane;
  const {match, arrived} = exchange;
  const tags = {class: match.class.name};
  const firstToken = progress.firstAt - arrived;
  const between =
    progress.tokens > 1
      ? (progress.lastAt - progress.firstAt) / (progress.tokens - 1)
      : 0;
  metrics.time('first-token', firstToken, tags);
  metrics.time('between-tokens', between, tags);
  const met =
    firstToken <= match.class.firstTokenTarget &&
    between <= match.class.betweenTokensTarget;
  metrics.count('attainment', {...tags, met: String(met)});
  if (progress.dropped > 0) {
    const {name} = slot.endpoint;
    metrics.count('event-dropped', {endpoint: name}, progress.dropped);
  }
}
