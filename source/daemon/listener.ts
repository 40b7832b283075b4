/**
 * The callers' port: from a request to its exchange. Each step may end the
 * request with a Refusal, which is counted by reason and class and told to the
 * caller in one place.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

import {Refusal} from '../errors/index.js';
import {
  isTeamAllowed,
  Exchange,
  parseChatRequest,
  readBody,
  runChat,
  type RouteMatch,
} from '../exchange/index.js';
import {
  parseBearerToken,
  isKeyExposed,
  type Caller,
} from '../identity/index.js';
import {CallerAnswer} from '../relay/index.js';
import {CallerConnections} from './callerconnections.js';
import type {Host} from './host.js';
import {serveService} from './service.js';
import {readInTurn} from '../wire/index.js';

const CHAT_PATH = '/v1/chat/completions';
const MODELS_PATH = '/v1/models';
const HEADERS_BYTES_MOST = 16_384;
const NO_CLASS = 'none';

/** A request with its body and the key that it carries. */
export interface Arrival {
  readonly message: IncomingMessage;
  readonly answer: CallerAnswer;
  readonly body: Buffer;
  readonly path: string;
  readonly bearer: string | undefined;
  /** Monotonic milliseconds. */
  readonly arrived: number;
}

/** Makes the server of the callers’ port. */
export function createListener(host: Host): Server {
  const {requestBoundMilliseconds} = host.settings;
  const server = createServer(
    {
      maxHeaderSize: HEADERS_BYTES_MOST,
      requestTimeout: requestBoundMilliseconds,
      headersTimeout: requestBoundMilliseconds,
      connectionsCheckingInterval: 1_000,
      noDelay: true,
    },
    (message, response) => {
      connections.add(message, response);
      void serve(host, message, response);
    },
  );
  const connections = new CallerConnections();
  readInTurn(server);
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) =>
    connections.handleError(error, socket, () =>
      refuseMalformed(host, error, socket),
    ),
  );
  return server;
}

function refuseMalformed(
  host: Host,
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  const refusal = new Refusal(
    error.code === 'HPE_HEADER_OVERFLOW'
      ? 'body-too-large'
      : 'malformed-request',
    'not-run',
    error.code ?? 'malformed',
  );
  host.metrics.count('refusal', {reason: refusal.code, class: NO_CLASS});
  if (!socket.writable) return socket.destroy() as never;
  const body = JSON.stringify(refusal.body());
  socket.end(
    `HTTP/1.1 ${refusal.status} Refused\r\nconnection: close\r\n` +
      `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n` +
      `arbutusslip-outcome: not-run\r\n\r\n${body}`,
  );
}

async function serve(
  host: Host,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const arrived = host.clock.monotonic();
  const heartbeat = host.settings.heartbeatMilliseconds;
  const answer = new CallerAnswer(response, host.clock, heartbeat);
  if (host.isDraining) response.setHeader('connection', 'close');
  try {
    await serveArrival(host, message, answer, arrived);
  } catch (error) {
    refuse(host, answer, error, NO_CLASS);
  }
}

async function serveArrival(
  host: Host,
  message: IncomingMessage,
  answer: CallerAnswer,
  arrived: number,
): Promise<void> {
  const body = await readBody(message, host.settings.bodyLimitBytes);
  const path = pathOf(message.url ?? '/');
  const bearer = parseBearerToken(message.headers.authorization);
  const arrival = {message, answer, body, path, bearer, arrived};
  if (!host.isReady) {
    throw new Refusal('not-ready', 'not-run', 'the host is catching up');
  }
  rejectExposedKey(arrival);
  if (path === MODELS_PATH && message.method === 'GET') {
    return sendModels(host, arrival);
  }
  if (path === CHAT_PATH && message.method === 'POST') {
    return serveChat(host, arrival);
  }
  const match = host.routes.service(message.method ?? '', path);
  await serveMatched(host, arrival, match, exchange =>
    serveService(host, arrival, exchange),
  );
}

function pathOf(url: string): string {
  const base = 'http://host';
  if (URL.canParse(url, base)) return new URL(url, base).pathname;
  throw new Refusal('malformed-request', 'not-run', 'the path is not a URL');
}

function rejectExposedKey({bearer, message, body}: Arrival): void {
  if (bearer === undefined) return;
  const {rawHeaders, rawTrailers} = message;
  const headers: string[] = [];
  for (const [index, text] of [...rawHeaders, ...rawTrailers].entries()) {
    const name = index % 2 === 1 ? rawHeaders[index - 1] : '';
    if (name?.toLowerCase() !== 'authorization') headers.push(text);
  }
  const url = message.url ?? '';
  if (!isKeyExposed(bearer, {url, headers, body})) return;
  throw new Refusal(
    'key-exposed',
    'not-run',
    'the key stands outside its header',
  );
}

function sendModels(host: Host, {bearer, answer}: Arrival): void {
  const {team} = host.identities.authenticate(bearer);
  const data = host.routes.models(team).map(id => ({
    id,
    object: 'model',
    created: 0,
    owned_by: 'arbutusslip',
  }));
  const body = Buffer.from(JSON.stringify({object: 'list', data}));
  answer.sendWhole(200, {'content-type': 'application/json'}, body, 'ran');
}

async function serveChat(host: Host, arrival: Arrival): Promise<void> {
  const request = parseChatRequest(arrival.body);
  const match = host.routes.chat(request.model);
  await serveMatched(host, arrival, match, async exchange => {
    const tokens = await runChat(exchange, host.plane, request, arrival.body);
    host.noteUsage(exchange.caller.team, tokens);
  });
}

async function serveMatched(
  host: Host,
  arrival: Arrival,
  match: RouteMatch,
  run: (exchange: Exchange) => Promise<void>,
): Promise<void> {
  const caller = identify(host, arrival, match);
  if (!isTeamAllowed(match, caller.team)) {
    throw new Refusal('route-forbidden', 'not-run', 'not a route of this team');
  }
  host.refuseWhenCutOff(match.route);
  const exchange = new Exchange(caller, match, arrival.answer, arrival.arrived);
  host.exchanges.add(exchange);
  try {
    await run(exchange);
    host.metrics.count('request', {class: match.class.name, outcome: 'whole'});
  } catch (error) {
    const {name} = match.class;
    if (exchange.hasCallerDisconnected)
      host.metrics.count('caller-left', {class: name});
    else refuse(host, arrival.answer, error, name);
  } finally {
    exchange.transition('settle');
    host.exchanges.remove(exchange);
  }
}

function identify(host: Host, {bearer}: Arrival, {route}: RouteMatch): Caller {
  if (route.open) return host.identities.authenticateOptional(bearer);
  return host.identities.authenticate(bearer);
}

function refuse(
  host: Host,
  answer: CallerAnswer,
  error: unknown,
  className: string,
): void {
  const refusal = asRefusal(host, error);
  host.metrics.count('refusal', {reason: refusal.code, class: className});
  host.metrics.count('request', {class: className, outcome: refusal.outcome});
  answer.refuse(refusal);
}

function asRefusal(host: Host, error: unknown): Refusal {
  if (error instanceof Refusal) return error;
  const detail =
    error instanceof Error ? (error.stack ?? error.message) : 'unknown';
  host.logger.error('request-failed', {detail});
  return new Refusal('internal', 'unknown', 'internal error');
}
