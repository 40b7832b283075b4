/**
 * The server that callers connect to. Callers keep their connections open, so a
 * host that stops has to close them, and must not close one that still carries a
 * request: it announces the end with its last response on each connection, and
 * passes on nothing that arrives after that.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

import type {Cancel, Clock} from '../clock/index.js';
import {Port, type PortOptions} from '../ports/index.js';
import {readInTurn} from '../wire/index.js';

/** How often Node checks connections against the header timeout. */
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 500;
/** Period at which a stopping host looks for connections without a request. */
const IDLE_CLOSE_INTERVAL_MILLISECONDS = 50;

/** Serves one request. */
export type RequestHandler = (
  message: IncomingMessage,
  response: ServerResponse,
) => void;

/** What the port for callers is made from. */
export type CallerPortOptions = Omit<
  PortOptions,
  'role' | 'server' | 'isRequired'
>;

interface CallerConnection {
  /** Requests without a complete response. */
  requests: number;
  /** The response to the request that arrived last. */
  lastResponse: ServerResponse | undefined;
  /** Whether this host has closed its side. */
  isClosed: boolean;
}

/** Accepts callers' connections and closes them in order. */
export class CallerServer {
  /** The port for callers, which is closed by `closeIdle`. */
  readonly port: Port;
  private readonly server: Server;
  private readonly clock: Clock;
  private readonly connections = new Map<Socket, CallerConnection>();
  private isClosing = false;
  private stopClosingIdle: Cancel = () => {};

  constructor(
    options: CallerPortOptions,
    private readonly handle: RequestHandler,
  ) {
    this.clock = options.clock;
    this.server = createServer(
      {connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS},
      (message, response) => this.receive(message, response),
    );
    this.server.requestTimeout = 0;
    readInTurn(this.server);
    this.server.on('connection', socket => this.addConnection(socket));
    const {server} = this;
    this.port = new Port({...options, role: 'front', server, isRequired: true});
  }

  /** Sets the milliseconds for which a connection may be idle or send a head. */
  setTimeouts({idle, header}: {idle: number; header: number}): void {
    this.server.keepAliveTimeout = idle;
    this.server.headersTimeout = header;
  }

  /** From now on, each response announces the end of its connection. */
  announceClose(): void {
    this.isClosing = true;
    for (const {lastResponse} of this.connections.values()) {
      if (lastResponse && !lastResponse.headersSent)
        lastResponse.shouldKeepAlive = false;
    }
  }

  /**
   * Accepts no more connections, and closes those that carry no request, now and
   * as they become idle.
   */
  closeIdle(): void {
    this.port.close();
    this.stopClosingIdle();
    this.stopClosingIdle = this.clock.every(
      IDLE_CLOSE_INTERVAL_MILLISECONDS,
      () => this.closeIdleConnections(),
    );
    this.closeIdleConnections();
  }

  /**
   * Closes all connections as they become idle; resolves when what was sent on
   * them has left the process. Call `closeIdle` first.
   *
   * ```ts
   * await Promise.race([callers.flush(), drainTimeout]);
   * ```
   */
  async flush(): Promise<void> {
    this.closeIdleConnections();
    const sockets = [...this.connections.keys()];
    await Promise.all(sockets.map(socket => whenFlushed(socket)));
    this.stopClosingIdle();
  }

  private addConnection(socket: Socket): void {
    const connection = {
      requests: 0,
      lastResponse: undefined,
      isClosed: false,
    };
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
  }

  private receive(message: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(message.socket);
    if (!connection || !this.mayPassOn(connection)) {
      message.resume();
      return;
    }
    connection.requests++;
    response.once('close', () => connection.requests--);
    if (this.isClosing) announceCloseWith(response, connection.lastResponse);
    connection.lastResponse = response;
    this.handle(message, response);
  }

  /**
   * Whether a request that has just arrived can still be answered: not on a
   * connection whose end has been announced.
   */
  private mayPassOn({isClosed, lastResponse}: CallerConnection): boolean {
    if (isClosed) return false;
    return !lastResponse?.headersSent || lastResponse.shouldKeepAlive;
  }

  /** Closes this side only, so that what was written before still arrives. */
  private closeIdleConnections(): void {
    for (const [socket, connection] of this.connections) {
      if (connection.requests > 0 || connection.isClosed) continue;
      connection.isClosed = true;
      socket.end();
    }
  }
}

/** Of pipelined requests, only the last response announces the end. */
function announceCloseWith(
  response: ServerResponse,
  before: ServerResponse | undefined,
): void {
  response.shouldKeepAlive = false;
  if (before && !before.headersSent) before.shouldKeepAlive = true;
}

/** Resolves when everything written to a socket was handed to the system. */
function whenFlushed(socket: Socket): Promise<void> {
  if (socket.destroyed || socket.writableFinished) return Promise.resolve();
  return new Promise(resolve => {
    socket.once('finish', resolve);
    socket.once('close', () => resolve());
  });
}
