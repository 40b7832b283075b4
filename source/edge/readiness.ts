/** Answers the balancer's probes, and shows the metrics to operators. */
import {createServer, type Server} from 'node:http';

import {expositionOf, type Metrics} from '../metrics/index.js';

/** The server that the balancer asks whether the host takes connections. */
export function createReadinessPort(isReady: () => boolean): Server {
  return createServer((message, response) => {
    message.resume();
    response.writeHead(isReady() ? 200 : 503, {'content-length': 0});
    response.end();
  });
}

/** The server that shows the metrics, on any path. */
export function createMetricsPort(metrics: Metrics): Server {
  return createServer((message, response) => {
    message.resume();
    void expositionOf(metrics).then(text => {
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(text);
    });
  });
}
