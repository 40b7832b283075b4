/** Endpoints that send bytes without end until their connection is closed. */
import type {Socket} from 'node:net';

import {
  sealHeaders,
  type Behaviour,
  type ReceivedRequest,
} from './forwarding.js';

/** The route's timeout, in milliseconds. */
export const TIMEOUT = 1_000;
/** Milliseconds by which a final response must be there. */
export const RESPONSE_DUE = 1_300;
/** What the sockets of both ends may buffer. */
export const SOCKET_BUFFERS = 8_388_608;
/** What endpoints send again and again. */
export const FILLER = 'x'.repeat(65_536);
/** The header line of a body in chunks, and a chunk. */
export const CHUNKED = 'transfer-encoding: chunked';
export const CHUNK = `10000\r\n${FILLER}\r\n`;

/** What an endpoint sends: first `head`, then `part` again and again. */
export interface EndlessBytes {
  readonly head: string;
  readonly part: string;
  /** Milliseconds between two parts; 0 for as fast as the caller reads. */
  readonly pause: number;
}

/** Counts what was handed to the connections of a test's endpoints. */
export interface SentBytes {
  count: number;
}

/** Sends without end until the connection is closed. */
export function sendEndlessly(
  socket: Socket,
  {head, part, pause}: EndlessBytes,
  sent: SentBytes = {count: 0},
): void {
  socket.on('error', () => {});
  socket.write(head);
  const send = () => {
    if (socket.destroyed) return;
    sent.count += part.length;
    const hasRoom = socket.write(part);
    if (!hasRoom) socket.once('drain', send);
    else if (pause > 0) setTimeout(send, pause);
    else setImmediate(send);
  };
  send();
}

/** Returns the text of a head with the seal of a response to a request. */
export function sealedHead(
  received: ReceivedRequest,
  lines: readonly string[],
  status = '200 OK',
): string {
  const seal = Object.entries(sealHeaders(received));
  const fields = seal.map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${status}`, ...fields, ...lines, '', ''].join('\r\n');
}

/** Returns a behaviour that sends bytes without end on the raw connection. */
export function endless(
  bytes: (received: ReceivedRequest) => EndlessBytes,
  sent?: SentBytes,
): Behaviour {
  return (received, {socket}) => {
    if (socket) sendEndlessly(socket, bytes(received), sent);
  };
}
