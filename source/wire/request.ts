/** Creates HTTP requests whose parts come from outside the program. */
import {request, type ClientRequest, type RequestOptions} from 'node:http';

import {WireError} from '../errors/index.js';

/**
 * Creates a request. Node throws errors of several kinds if the path, a header or
 * the port is none that it can send; this throws a WireError of stage `connect`.
 *
 * ```ts
 * const sent = createRequest({host, port, path: '/health'});
 * ```
 */
export function createRequest(options: RequestOptions): ClientRequest {
  try {
    return request(options);
  } catch (error) {
    const detail = error instanceof Error ? error.message : 'unknown';
    throw new WireError('connect', detail);
  }
}
