/** Service routes: the request as the service gets it, and its answer. */
import {
  allowedHeaders,
  runService,
  type Exchange,
  type OrderBase,
} from '../exchange/index.js';
import type {Host} from './host.js';
import type {Arrival} from './listener.js';

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
  const base: OrderBase = {
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    headers: allowedHeaders(message.headers),
    body,
  };
  const answer = await runService(exchange, host.plane, base);
  host.noteUsage(exchange.caller.team, 0);
  const {status, headers} = answer;
  exchange.answer.sendWhole(status, headers, answer.body, 'ran');
}
