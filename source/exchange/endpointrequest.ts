/**
 * Builds the requests that are sent to endpoints. Only caller headers on an
 * allow-list are forwarded.
 */
import type {IncomingHttpHeaders} from 'node:http';

import type {Order} from '../engine/index.js';
import type {Exchange} from './exchange.js';

const FORWARDED_REQUEST_HEADERS = [
  'content-type',
  'accept',
  'accept-language',
  'if-match',
  'if-none-match',
] as const;

/** Returns the caller's headers that may be forwarded to endpoints. */
export function allowedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const allowed: Record<string, string> = {};
  for (const name of FORWARDED_REQUEST_HEADERS) {
    const value = headers[name];
    if (value !== undefined) allowed[name] = value;
  }
  return allowed;
}

/** The part of an endpoint request that all attempts of an exchange share. */
export interface RequestTemplate {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/**
 * Returns the endpoint request for the current attempt. A request that is not
 * repeatable gets a new connection.
 */
export function createEndpointRequest(
  exchange: Exchange,
  template: RequestTemplate,
): Order {
  return {
    ...template,
    attempt: `${exchange.id}.${exchange.attempts}`,
    priority: exchange.match.class.tier,
    newConnection: !exchange.match.route.repeatable,
  };
}
