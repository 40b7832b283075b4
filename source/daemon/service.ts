/**
 * Service routes: the request as the service gets it, and its answer. One that
 * may not be repeated and carries an idempotency key runs at most once,
 * whichever hosts its repeats reach.
 */
import {claimIdFor, parseIdempotencyKey} from '../claims/index.js';
import {digestOf} from '../configuration/index.js';
import {Refusal} from '../errors/index.js';
import {
  allowedHeaders,
  runService,
  type Exchange,
  type RequestTemplate,
  type ServiceResponse,
} from '../exchange/index.js';
import type {LogRecord} from '../platform/index.js';
import type {Host} from './host.js';
import type {Arrival} from './listener.js';

type Settlement = Extract<LogRecord, {kind: 'claims'}>['settlements'][number];

const REPEAT_HEADER = 'arbutusslip-repeat';

/**
 * Serves a request to a plain service. Throws the Refusal that ends it.
 *
 * ```ts
 * await serveService(host, arrival, exchange);
 * ```
 */
export async function serveService(
  host: Host,
  arrival: Arrival,
  exchange: Exchange,
): Promise<void> {
  const {message, body} = arrival;
  const key = parseIdempotencyKey(message.headers['idempotency-key']);
  const {repeatable, name} = exchange.match.route;
  const base: RequestTemplate = {
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    headers: allowedHeaders(message.headers),
    body,
  };
  if (repeatable || key === undefined) {
    send(exchange, await run(host, exchange, base));
    return;
  }
  const id = claimIdFor(exchange.caller.team, name, key);
  const headers = {...base.headers, 'idempotency-key': id};
  await serveOnce(host, exchange, id, {...base, headers});
}

async function run(
  host: Host,
  exchange: Exchange,
  base: RequestTemplate,
): Promise<ServiceResponse> {
  const answer = await runService(exchange, host.plane, base);
  host.noteUsage(exchange.caller.team, 0);
  return answer;
}

function send({answer: caller}: Exchange, answer: ServiceResponse): void {
  caller.sendWhole(answer.status, answer.headers, answer.body, 'ran');
}

async function serveOnce(
  host: Host,
  exchange: Exchange,
  id: string,
  base: RequestTemplate,
): Promise<void> {
  const {path, method, body} = base;
  const bodyDigest = digestOf(
    Buffer.concat([Buffer.from(`${method} ${path}\n`), body]),
  );
  let ran = false;
  exchange.survivesDisconnect = true;
  const settlement = await host.zone.record.once.run(
    id,
    bodyDigest,
    async () => {
      const answer = await run(host, exchange, base);
      ran = true;
      send(exchange, answer);
      return settlementOf(id, answer, host.settings.claimAnswerBytes);
    },
  );
  if (!ran) repeat(host, exchange, settlement);
}

function settlementOf(
  id: string,
  {status, headers, body}: ServiceResponse,
  limit: number,
): Settlement {
  const kept = body.length <= limit ? {body: body.toString('base64')} : {};
  const contentType = headers['content-type'] ?? '';
  return {id, outcome: 'ran', status, contentType, ...kept};
}

/** Gives a repeat the outcome of the first request. */
function repeat(host: Host, exchange: Exchange, settlement: Settlement): void {
  const {outcome, status, contentType, body} = settlement;
  host.metrics.count('repeat', {outcome, class: exchange.match.class.name});
  if (outcome !== 'ran') {
    const detail = 'the first request with this key has an unknown outcome';
    throw new Refusal('outcome-unknown', 'unknown', detail);
  }
  if (body === undefined) {
    const detail = 'the first request ran; its answer was too large to keep';
    throw new Refusal('stored-answer-too-large', 'ran', detail);
  }
  const headers = {'content-type': contentType, [REPEAT_HEADER]: 'true'};
  exchange.answer.sendWhole(
    status,
    headers,
    Buffer.from(body, 'base64'),
    'ran',
  );
}
