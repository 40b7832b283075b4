/** HTTP servers for the load balancer's readiness probes and for operators. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import type {Logger} from '../logging/index.js';
import {formatPrometheusMetrics, type Metrics} from '../metrics/index.js';
import type {Quarantine, Suspect} from '../quarantine/index.js';

const BLOCKED_PATH = '/blocked';
const BLOCKED_PARTS_PATH = '/blocked-parts';
const REQUEST_PATH = '/blocked/request';
/** Where one suspect is; the first group tells its kind. */
const SUSPECT_PATTERN =
  /^(\/blocked-parts|\/blocked\/part|\/blocked\/request)\/(.*)$/;

/**
 * Creates the server that tells the load balancer whether to open connections to
 * this host: status 200 if it is ready, otherwise 503. Does not listen yet.
 */
export function createReadinessServer(isReady: () => boolean): Server {
  return createServer((message, response) => {
    message.resume();
    response.writeHead(isReady() ? 200 : 503, {'content-length': 0});
    response.end();
  });
}

/** What operators can see and change. */
export interface OperatorServerParts {
  readonly metrics: Metrics;
  readonly quarantine: Quarantine;
  readonly logger: Logger;
}

/**
 * Creates the server for operators. `GET /blocked` lists what is blocked: requests
 * and parts of prompts. `DELETE /blocked/request/ID` and `DELETE /blocked/part/ID`
 * lift the block of one on all hosts. `/blocked-parts` does the same for parts only.
 * Any other path has the metrics in Prometheus text format. Does not listen yet.
 *
 * ```ts
 * const server = createOperatorServer({metrics, quarantine, logger});
 * await new Port({role, address, server, isRequired, clock, logger, metrics}).open();
 * ```
 */
export function createOperatorServer(parts: OperatorServerParts): Server {
  return createServer((message, response) => {
    message.resume();
    const {url = ''} = message;
    if (url === BLOCKED_PATH) return listBlocked(parts, response);
    if (url === BLOCKED_PARTS_PATH) return listBlockedParts(parts, response);
    const suspect = suspectOfPath(url);
    if (suspect) return liftBlock(parts, suspect, message, response);
    sendMetrics(parts, response);
  });
}

/** The suspect that the path of a request to lift a block names. */
function suspectOfPath(url: string): Suspect | undefined {
  const [, path, id] = SUSPECT_PATTERN.exec(url) ?? [];
  if (id === undefined) return undefined;
  return {kind: path === REQUEST_PATH ? 'request' : 'part', id};
}

function listBlocked(
  {quarantine}: OperatorServerParts,
  response: ServerResponse,
): void {
  const blocked = quarantine.entries
    .filter(({isBlocked}) => isBlocked)
    .map(({kind, part: id, team, reviewIn}) => {
      return {kind, id, team, reviewInMilliseconds: reviewIn};
    });
  sendJson(response, blocked);
}

function listBlockedParts(
  {quarantine}: OperatorServerParts,
  response: ServerResponse,
): void {
  const blocked = quarantine.entries
    .filter(({kind, isBlocked}) => kind === 'part' && isBlocked)
    .map(({part, reviewIn}) => ({part, reviewInMilliseconds: reviewIn}));
  sendJson(response, blocked);
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(200, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}

/** Answers 204 if the suspect was blocked, otherwise 404. */
function liftBlock(
  {quarantine}: OperatorServerParts,
  suspect: Suspect,
  {method}: IncomingMessage,
  response: ServerResponse,
): void {
  if (method !== 'DELETE') response.writeHead(405);
  else response.writeHead(quarantine.lift(suspect) ? 204 : 404);
  response.end();
}

/** Answers 500 where the metrics cannot be formatted. */
function sendMetrics(
  {metrics, logger}: OperatorServerParts,
  response: ServerResponse,
): void {
  formatPrometheusMetrics(metrics).then(
    text => {
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(text);
    },
    (error: unknown) => {
      const detail = error instanceof Error ? (error.stack ?? '') : 'unknown';
      logger.error('metrics-not-formatted', {detail});
      response.writeHead(500, {'content-length': 0});
      response.end();
    },
  );
}
