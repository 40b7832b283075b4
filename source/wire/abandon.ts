/**
 * Gives up what this program has written to a peer and has no answer to. A closed
 * connection would still deliver what is held up on the way, seconds later, and the
 * peer would carry it out; a reset one does not. Once the head of an answer has
 * come, the request has been delivered, and closing is enough.
 */
import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/** Sockets of the calls that have been written and not yet answered. */
const openCalls = new Set<Socket>();

/**
 * Gives up what was written to a socket, and closes it. Emits `error` where that is
 * given.
 *
 * ```ts
 * const stopWatching = signal.onAbort(() => abandonSocket(socket));
 * ```
 */
export function abandonSocket(socket: Socket, error?: Error): void {
  // Before the connection is made nothing has been written.
  const isConnected = !socket.connecting && !socket.destroyed;
  if (isConnected) socket.resetAndDestroy();
  socket.destroy(error);
}

/**
 * Gives up a request, and closes its connection. The request emits `error` where
 * that is given.
 *
 * ```ts
 * const stopWatching = signal.onAbort(() => abandonRequest(sent));
 * ```
 */
export function abandonRequest(sent: ClientRequest, error?: Error): void {
  if (sent.socket) abandonSocket(sent.socket);
  sent.destroy(error);
}

/**
 * Remembers that a call is written to a socket, until the returned function is
 * called when it has been answered or given up.
 */
export function trackOpenCall(socket: Socket): () => void {
  openCalls.add(socket);
  return () => openCalls.delete(socket);
}

/**
 * Gives up all calls that have no answer yet. To be called when the process ends,
 * which would only close their connections.
 *
 * ```ts
 * process.on('exit', abandonOpenCalls);
 * ```
 */
export function abandonOpenCalls(): void {
  for (const socket of openCalls) abandonSocket(socket);
  openCalls.clear();
}
