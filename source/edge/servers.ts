/** HTTP servers for the load balancer's readiness probes and for operators. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import type {Logger} from '../logging/index.js';
import {formatPrometheusMetrics, type Metrics} from '../metrics/index.js';
import type {Quarantine} from '../quarantine/index.js';

const BLOCKED_PARTS_PATH = '/blocked-parts';

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
 * Creates the server for operators. `GET /blocked-parts` lists the parts of
 * prompts that are blocked, `DELETE /blocked-parts/PART` lifts the block of one on
 * all hosts, and any other path has the metrics in Prometheus text format. Does
 * not listen yet.
 *
 * ```ts
 * const server = createOperatorServer({metrics, quarantine, logger});
 * await listen(server, '10.1.0.24:9464');
 * ```
 */
export function createOperatorServer(parts: OperatorServerParts): Server {
  return createServer((message, response) => {
    message.resume();
    const {url = ''} = message;
    if (url === BLOCKED_PARTS_PATH) listBlockedParts(parts, response);
    else if (url.startsWith(`${BLOCKED_PARTS_PATH}/`))
      liftBlock(parts, message, response);
    else sendMetrics(parts, response);
  });
}

function listBlockedParts(
  {quarantine}: OperatorServerParts,
  response: ServerResponse,
): void {
  const blocked = quarantine.entries
    .filter(({isBlocked}) => isBlocked)
    .map(({part, reviewIn}) => ({part, reviewInMilliseconds: reviewIn}));
  response.writeHead(200, {'content-type': 'application/json'});
  response.end(JSON.stringify(blocked));
}

/** Answers 204 if the part was blocked, otherwise 404. */
function liftBlock(
  {quarantine}: OperatorServerParts,
  {method, url = ''}: IncomingMessage,
  response: ServerResponse,
): void {
  const part = url.slice(BLOCKED_PARTS_PATH.length + 1);
  if (method !== 'DELETE') response.writeHead(405);
  else response.writeHead(quarantine.lift(part) ? 204 : 404);
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
