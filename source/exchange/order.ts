/** Builds what is sent to an endpoint; headers come from an allow-list. */
import type {IncomingHttpHeaders} from 'node:http';

import type {Order} from '../engine/index.js';
import type {Exchange} from './exchange.js';

const REQUEST_HEADERS = [
  'content-type',
  'accept',
  'accept-language',
  'if-match',
  'if-none-match',
] as const;

/** The headers of a caller that endpoints may see. */
export function allowedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const allowed: Record<string, string> = {};
  for (const name of REQUEST_HEADERS) {
    const value = headers[name];
    if (value !== undefined) allowed[name] = value;
  }
  return allowed;
}

/** What stays the same over the attempts of a request. */
export interface OrderBase {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The order of the present attempt of an exchange. */
export function orderOf(exchange: Exchange, base: OrderBase): Order {
  return {
    ...base,
    attempt: `${exchange.id}.${exchange.attempts}`,
    priority: exchange.match.class.tier,
    newConnection: !exchange.match.route.repeatable,
  };
}
