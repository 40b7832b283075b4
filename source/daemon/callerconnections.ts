/**
 * The requests in progress on the connections of callers, so that the refusal of
 * what comes behind them is not taken for the answer to one of them.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {decideOnError, readPacer} from '../wire/index.js';

/** One connection. */
interface CallerConnection {
  /** Requests without a complete response. */
  requests: number;
  /** The request that arrived last. */
  lastMessage: IncomingMessage;
  /** Refuses what came last; undefined while nothing is to be refused. */
  refuse: (() => void) | undefined;
}

/** Refuses callers' errors after the requests in progress. */
export class CallerConnections {
  private readonly connections = new WeakMap<Socket, CallerConnection>();

  /** Adds a request that has arrived. */
  add(message: IncomingMessage, response: ServerResponse): void {
    const {socket} = message;
    const connection = this.connections.get(socket) ?? {
      requests: 0,
      lastMessage: message,
      refuse: undefined,
    };
    connection.requests++;
    connection.lastMessage = message;
    this.connections.set(socket, connection);
    response.once('close', () => {
      connection.requests--;
      if (connection.requests === 0) connection.refuse?.();
    });
  }

  /** Calls `refuse` for an error, once the requests in progress are answered. */
  handleError(
    {code}: NodeJS.ErrnoException,
    socket: Socket,
    refuse: () => void,
  ): void {
    const connection = this.connections.get(socket);
    if (!connection) return refuse();
    if (connection.refuse) return;
    const {requests, lastMessage} = connection;
    const isReadingBody = !lastMessage.complete;
    const reading = {isHeld: false, releasedAt: -Infinity};
    const state = {requests, isReadingBody, ...reading};
    if (decideOnError(code, state, 0, 0).kind === 'close') return refuse();
    connection.refuse = refuse;
    readPacer.hold(socket);
  }
}
