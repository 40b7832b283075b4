/**
 * The small HTTP server that the stand-ins share. Stand-ins are scaffolding:
 * they take the place of the platform and of endpoints in tests, measurements
 * and the quickstart, and no part of the product imports them.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import {listen} from './listen.js';

/** A request with its body and the parts of its address. */
export interface Received {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: Buffer;
}

/** Handles one request; what it throws closes the connection. */
export type Handler = (received: Received) => void | Promise<void>;

/** Serves on an address with one handler for everything. */
export async function serve(
  address: string,
  handler: Handler,
): Promise<Server> {
  const server = createServer(
    {keepAliveTimeout: 30_000},
    (message, response) => {
      const parts: Buffer[] = [];
      message.on('data', (part: Buffer) => parts.push(part));
      message.on('error', () => response.destroy());
      message.on('end', () => {
        const {pathname: path, searchParams: query} = new URL(
          message.url ?? '/',
          'http://standin',
        );
        const body = Buffer.concat(parts);
        const method = message.method ?? 'GET';
        const received = {message, response, method, path, query, body};
        const attempt = message.headers['x-attempt'];
        if (attempt !== undefined) response.setHeader('x-attempt', attempt);
        Promise.resolve(handler(received)).catch(() => response.destroy());
      });
    },
  );
  await listen(server, address);
  return server;
}

/** Sends a JSON answer. */
export function reply(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = JSON.stringify(value ?? null);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}
