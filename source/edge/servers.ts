/** HTTP servers for the load balancer's readiness probes and for metrics. */
import {createServer, type Server} from 'node:http';

import type {Logger} from '../logging/index.js';
import {formatPrometheusMetrics, type Metrics} from '../metrics/index.js';

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

/**
 * Creates the server that exposes the metrics in Prometheus text format, on any
 * path. Answers 500 where they cannot be formatted. Does not listen yet.
 */
export function createMetricsServer(metrics: Metrics, logger: Logger): Server {
  return createServer((message, response) => {
    message.resume();
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
  });
}
