/** Answers the balancer's probes, and shows the metrics. */
import {createServer, type Server} from 'node:http';

/** What the probe port shows. */
export interface ReadinessParts {
  readonly isReady: () => boolean;
}

/** The server that the balancer asks whether the host takes connections. */
export function createReadinessPort({isReady}: ReadinessParts): Server {
  return createServer((message, response) => {
    message.resume();
    response.writeHead(isReady() ? 200 : 503, {'content-length': 0});
    response.end();
  });
}
