/** Callers that burden one host: they read nothing, or finish no request. */
import {connect, type Socket} from 'node:net';

import {partsOf} from '../source/wire/index.js';

const DEAF_CALLERS = 24;
const DEAF_REQUESTS = 20;
const DEAF_ANSWER_BYTES = 262_144;
const DEADLINE_MILLISECONDS = 2_000;
/** More than a host with few descriptors may have open. */
const UNFINISHED_CALLERS = 600;
const UNFINISHED_INTERVAL_MILLISECONDS = 2;
const UNFINISHED_HEAD = 'GET /read/1 HTTP/1.1\r\nhost: register.example\r\n';

/** Which request a caller that reads nothing sends next. */
export interface DeafRequest {
  readonly id: string;
  readonly key: string;
}

/**
 * Opens connections that each send many requests at once and read no answer.
 * Returns what ends them.
 */
export function openDeafCallers(
  address: string,
  nextRequest: () => DeafRequest,
): () => void {
  const sockets: Socket[] = [];
  for (let caller = 0; caller < DEAF_CALLERS; caller++) {
    const socket = connect(partsOf(address));
    socket.on('error', () => socket.destroy());
    socket.pause();
    const requests = Array.from({length: DEAF_REQUESTS}, () =>
      textOf(nextRequest()),
    );
    socket.write(requests.join(''));
    sockets.push(socket);
  }
  return () => sockets.forEach(socket => socket.destroy());
}

/**
 * Opens connections one after another that send a part of a request head and no
 * more. Returns what ends them.
 */
export function openUnfinished(address: string): () => void {
  const sockets: Socket[] = [];
  const timer = setInterval(() => {
    if (sockets.length >= UNFINISHED_CALLERS) return clearInterval(timer);
    const socket = connect(partsOf(address));
    socket.on('error', () => socket.destroy());
    socket.resume();
    socket.write(UNFINISHED_HEAD);
    sockets.push(socket);
  }, UNFINISHED_INTERVAL_MILLISECONDS);
  return () => {
    clearInterval(timer);
    sockets.forEach(socket => socket.destroy());
  };
}

function textOf({id, key}: DeafRequest): string {
  const lines = [
    `GET /read/1?work=0&bytes=${DEAF_ANSWER_BYTES} HTTP/1.1`,
    'host: register.example',
    `authorization: Bearer ${key}`,
    `x-attempt-id: ${id}`,
    `x-deadline-ms: ${DEADLINE_MILLISECONDS}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}
