/**
 * Chat completions. A stream is relayed event by event. When its connection
 * breaks or goes silent, it is resumed at the same endpoint on a new connection,
 * since a silent connection does not show that the engine has stopped.
 */
import type {CancellationSignal} from '../cancellation/index.js';
import type {Answer, Order} from '../engine/index.js';
import {PrefixAffinity, type Slot} from '../placement/index.js';
import {readStream, type StreamProgress} from '../relay/index.js';
import {
  toAttemptFailure,
  cancelAttempt,
  isFailureStatus,
  recordResponse,
  createStatusFailure,
  readCompleteBody,
} from './response.js';
import type {Exchange} from './exchange.js';
import {
  createEndpointRequest,
  type RequestTemplate,
} from './endpointrequest.js';
import type {ServingResources} from './resources.js';
import {estimateTokens, openingText, type ChatRequest} from './request.js';
import {AttemptFailure, runAttempts} from './attempts.js';

const CHAT_PATH = '/v1/chat/completions';
/** Consecutive connections without a new event after which an attempt fails. */
const MAX_CONNECTIONS_WITHOUT_PROGRESS = 3;

/**
 * Runs a chat completion to its end and sends the response. Returns the number
 * of output tokens that the caller was sent. Throws a Refusal if the request fails.
 *
 * ```ts
 * await runChat(exchange, resources, parseChatRequest(body), body);
 * ```
 */
export async function runChat(
  exchange: Exchange,
  resources: ServingResources,
  request: ChatRequest,
  body: Buffer,
): Promise<number> {
  const template = createRequestTemplate(exchange, request, body);
  const prefix = PrefixAffinity.keyOf(
    exchange.caller.team,
    openingText(request),
  );
  const hints = {tokens: estimateTokens(request, body.length), prefix};
  const attempt = request.stream ? runStreamingAttempt : runNonStreamingAttempt;
  let tokens = 0;
  await runAttempts(exchange, resources, hints, async (slot, signal) => {
    tokens = await attempt({exchange, resources, slot, signal}, template);
    return tokens;
  });
  return tokens;
}

function createRequestTemplate(
  {match}: Exchange,
  request: ChatRequest,
  body: Buffer,
): RequestTemplate {
  const {engineModel, model} = match.route;
  const isRenamed = engineModel !== undefined && engineModel !== model;
  return {
    method: 'POST',
    path: CHAT_PATH,
    headers: {'content-type': 'application/json'},
    body: isRenamed
      ? Buffer.from(JSON.stringify({...request, model: engineModel}))
      : body,
  };
}

/** What the steps of one attempt need. */
interface AttemptContext {
  readonly exchange: Exchange;
  readonly resources: ServingResources;
  readonly slot: Slot;
  readonly signal: CancellationSignal;
}

async function runStreamingAttempt(
  context: AttemptContext,
  template: RequestTemplate,
): Promise<number> {
  const {exchange, signal} = context;
  const endpointRequest = createEndpointRequest(exchange, template);
  const progress = createProgress(endpointRequest.attempt);
  try {
    const response = await openResponse(context, endpointRequest, 0);
    if (response.status >= 300)
      return await relayErrorResponse(context, response);
    await relayUntilComplete(context, endpointRequest, response, progress);
  } catch (error) {
    if (signal.aborted)
      cancelAttempt(context.resources, context.slot, endpointRequest);
    throw toAttemptFailure(error, progress.sequence, progress.tokens);
  }
  recordStreamMetrics(context, progress);
  exchange.answer.endStream();
  return progress.tokens;
}

async function relayUntilComplete(
  context: AttemptContext,
  endpointRequest: Order,
  firstResponse: Answer,
  progress: StreamProgress,
): Promise<void> {
  const {exchange, resources, slot, signal} = context;
  const {clock, settings, metrics} = resources;
  const silenceTimeout = settings.betweenEventsBoundMilliseconds;
  let response = firstResponse;
  let connectionsWithoutProgress = 0;
  exchange.transition('answer');
  for (;;) {
    const before = progress.sequence;
    const streamEnd = await readStream(response, exchange.answer, progress, {
      clock,
      silence: silenceTimeout,
      signal,
    });
    if (streamEnd === 'whole') return;
    if (streamEnd === 'aborted')
      throw createStreamFailure('cut', 'aborted', progress);
    connectionsWithoutProgress =
      progress.sequence > before ? 0 : connectionsWithoutProgress + 1;
    if (connectionsWithoutProgress >= MAX_CONNECTIONS_WITHOUT_PROGRESS) {
      throw createStreamFailure('between-events', 'no progress', progress);
    }
    metrics.count('resume', {
      reason: streamEnd,
      class: exchange.match.class.name,
    });
    resources.adapter.renewConnections(slot.endpoint);
    response = await resumeAttempt(context, endpointRequest, progress);
  }
}

async function resumeAttempt(
  {resources, slot, signal}: AttemptContext,
  endpointRequest: Order,
  progress: StreamProgress,
): Promise<Answer> {
  const {endpoint} = slot;
  const {attempt} = endpointRequest;
  try {
    const response = await resources.adapter.resume(
      endpoint,
      attempt,
      progress.sequence,
      signal,
    );
    if (response.status < 300) return response;
    response.body.destroy();
    const notRun = response.notRun && progress.sequence === 0;
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
    // The request was sent on an earlier connection, so a failure to connect
    // again does not prove that it did not run.
    throw createStreamFailure('cut', 'the endpoint is out of reach', progress);
  }
}

/**
 * Sends the request and returns the response head. If the first connection
 * stays silent, asks for the response on a new one: the stream after event
 * `after`, or the complete response. Throws an AttemptFailure for a failure
 * status.
 */
async function openResponse(
  context: AttemptContext,
  endpointRequest: Order,
  after: number | 'whole',
): Promise<Answer> {
  const {resources, slot, signal} = context;
  const startedAt = resources.clock.monotonic();
  const response = await sendOrResume(context, endpointRequest, after);
  recordResponse(
    resources,
    slot,
    response,
    resources.clock.monotonic() - startedAt,
  );
  if (isFailureStatus(response) && !signal.aborted)
    throw createStatusFailure(response);
  return response;
}

async function sendOrResume(
  {resources, slot, signal, exchange}: AttemptContext,
  endpointRequest: Order,
  after: number | 'whole',
): Promise<Answer> {
  const {adapter} = resources;
  const {endpoint} = slot;
  try {
    return await adapter.send(endpoint, endpointRequest, signal);
  } catch (error) {
    const failure = toAttemptFailure(error);
    if (failure.stage !== 'first-byte' || signal.aborted) throw failure;
    const tags = {reason: 'first-byte', class: exchange.match.class.name};
    resources.metrics.count('resume', tags);
    adapter.renewConnections(endpoint);
    const response = await adapter.resume(
      endpoint,
      endpointRequest.attempt,
      after,
      signal,
    );
    if (response.status === 404) throw createStatusFailure(response);
    return response;
  }
}

/** Sends the caller the error that the engine found in its request. */
async function relayErrorResponse(
  {exchange, resources, signal}: AttemptContext,
  response: Answer,
): Promise<number> {
  const body = await readCompleteBody(resources, response, signal);
  exchange.answer.sendWhole(response.status, response.headers, body, 'ran');
  return 0;
}

async function runNonStreamingAttempt(
  context: AttemptContext,
  template: RequestTemplate,
): Promise<number> {
  const {exchange, resources, slot, signal} = context;
  const endpointRequest = createEndpointRequest(exchange, template);
  const startedAt = resources.clock.monotonic();
  try {
    const response = await openResponse(context, endpointRequest, 'whole');
    const body = await readCompleteBody(resources, response, signal);
    const duration = resources.clock.monotonic() - startedAt;
    const tags = {class: exchange.match.class.name};
    resources.metrics.time('whole-answer', duration, tags);
    exchange.answer.sendWhole(response.status, response.headers, body, 'ran');
    return parseCompletionTokens(body);
  } catch (error) {
    if (signal.aborted) cancelAttempt(resources, slot, endpointRequest);
    throw toAttemptFailure(error);
  }
}

const COMPLETION_TOKENS_PATTERN = /"completion_tokens"\s*:\s*(\d+)/;

/**
 * Returns the token count that a complete response states, or 0. The body is
 * searched rather than parsed, since it is sent on unchanged.
 */
function parseCompletionTokens(body: Buffer): number {
  return Number(
    COMPLETION_TOKENS_PATTERN.exec(body.toString('latin1'))?.[1] ?? 0,
  );
}

function createProgress(attempt: string): StreamProgress {
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

function createStreamFailure(
  stage: AttemptFailure['stage'],
  detail: string,
  {sequence, tokens}: StreamProgress,
): AttemptFailure {
  return new AttemptFailure(stage, detail, false, sequence, tokens);
}

function recordStreamMetrics(
  {exchange, resources, slot}: AttemptContext,
  progress: StreamProgress,
): void {
  const {metrics} = resources;
  const {match, arrived} = exchange;
  const tags = {class: match.class.name};
  const firstTokenLatency = progress.firstAt - arrived;
  const meanTokenGap =
    progress.tokens > 1
      ? (progress.lastAt - progress.firstAt) / (progress.tokens - 1)
      : 0;
  metrics.time('first-token', firstTokenLatency, tags);
  metrics.time('between-tokens', meanTokenGap, tags);
  const meetsTargets =
    firstTokenLatency <= match.class.firstTokenTarget &&
    meanTokenGap <= match.class.betweenTokensTarget;
  metrics.count('attainment', {...tags, met: String(meetsTargets)});
  if (progress.dropped > 0) {
    const {name} = slot.endpoint;
    metrics.count('event-dropped', {endpoint: name}, progress.dropped);
  }
}
