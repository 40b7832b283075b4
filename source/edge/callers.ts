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
import {Socket} from 'node:net';

import type {Cancel, Clock} from '../clock/index.js';
import {
  openDescriptors,
  type CallerSlot,
  type CallerSlots,
  type HostDescriptors,
} from '../descriptors/index.js';
import {Refusal} from '../errors/index.js';
import {Port, type PortOptions} from '../ports/index.js';
import {
  decideOnError,
  readInTurn,
  readPacer,
  replyToError,
} from '../wire/index.js';

/** How often Node checks connections against the header timeout. */
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 500;
/**
 * Requests of one connection that are served at the same time. What a caller sends
 * behind them is not read until one has ended, so that it holds up only itself.
 */
const MAX_REQUESTS_OF_CONNECTION = 2;
/** Period at which a stopping host looks for connections without a request. */
const IDLE_CLOSE_INTERVAL_MILLISECONDS = 50;

/** Serves one request, or only refuses it. */
export type RequestHandler = (
  message: IncomingMessage,
  response: ServerResponse,
  refusal?: Refusal,
) => void;

/** What the port for callers is made from. */
export interface CallerPortOptions extends Omit<
  PortOptions,
  'role' | 'server' | 'isRequired'
> {
  readonly descriptors: HostDescriptors;
}

interface CallerConnection extends CallerSlot {
  /** Requests without a complete response. */
  requests: number;
  /** Requests whose head has come. */
  heads: number;
  /** The request that arrived last, and the response to it. */
  lastMessage: IncomingMessage | undefined;
  lastResponse: ServerResponse | undefined;
  /** Sent after the requests in progress, before the connection is closed. */
  lastReply: string | undefined;
  /** Monotonic milliseconds at which it was last read again after a hold. */
  releasedAt: number;
  /** Called when the connection is read again. */
  onRelease: () => void;
  /** Stops the timer of a head that waited for this host. */
  stopHeadTimer: Cancel;
  /** Whether this host has closed its side. */
  isClosed: boolean;
  /** Whether a request was refused for want of a descriptor; it is the last. */
  isRefused: boolean;
  /** Requests that were read and wait for those before them. */
  readonly waiting: Array<() => void>;
}

/** Accepts callers' connections and closes them in order. */
export class CallerServer {
  /** The port for callers, which is closed by `closeIdle`. */
  readonly port: Port;
  private readonly server: Server;
  private readonly clock: Clock;
  private readonly connections = new Map<Socket, CallerConnection>();
  private readonly slots: CallerSlots<CallerConnection>;
  /** Waiting requests whose turn it may be, one a turn of the event loop. */
  private readonly turns: Array<() => void> = [];
  private isTurnScheduled = false;
  private isClosing = false;
  private stopClosingIdle: Cancel = () => {};

  constructor(
    options: CallerPortOptions,
    private readonly handle: RequestHandler,
  ) {
    const {descriptors, ...portOptions} = options;
    this.clock = options.clock;
    this.slots = descriptors.createCallerSlots();
    this.server = createServer(
      {connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS},
      (message, response) => this.receive(message, response),
    );
    this.server.requestTimeout = 0;
    readInTurn(this.server);
    this.server.on('connection', socket => this.addConnection(socket));
    this.server.on('clientError', (error, socket) => {
      // The types allow for other streams than those of the server's own port.
      if (socket instanceof Socket) this.handleError(error, socket);
    });
    const {server} = this;
    this.port = new Port({
      ...portOptions,
      role: 'front',
      server,
      isRequired: true,
    });
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
    const release = openDescriptors.addSocket('callers', socket);
    const connection: CallerConnection = {
      requests: 0,
      heads: 0,
      lastMessage: undefined,
      lastResponse: undefined,
      lastReply: undefined,
      releasedAt: -Infinity,
      onRelease: () => {},
      stopHeadTimer: () => {},
      isClosed: false,
      isRefused: false,
      waiting: [],
      address: socket.remoteAddress ?? '',
      received: () => socket.bytesRead,
      close: () => {
        socket.destroy();
        release();
      },
    };
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      connection.stopHeadTimer();
      this.slots.remove(connection);
    });
    this.slots.add(connection);
  }

  private receive(message: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(message.socket);
    if (!connection || connection.isRefused || !this.mayPassOn(connection)) {
      message.resume();
      return;
    }
    connection.requests++;
    connection.heads++;
    connection.stopHeadTimer();
    const isRefused = this.slots.noteRequest(connection);
    connection.isRefused = isRefused;
    response.once('close', () => {
      connection.requests--;
      if (connection.requests === 0) {
        this.slots.noteIdle(connection);
        closeWith(message.socket, connection.lastReply);
      }
      if (connection.waiting.length === 0) return;
      this.serveLater(connection, message.socket);
    });
    if (this.isClosing || isRefused)
      announceCloseWith(response, connection.lastResponse);
    connection.lastMessage = message;
    connection.lastResponse = response;
    const refusal = isRefused ? noDescriptors() : undefined;
    const handle = () => this.handle(message, response, refusal);
    if (connection.requests <= MAX_REQUESTS_OF_CONNECTION) return handle();
    connection.waiting.push(handle);
    readPacer.hold(message.socket);
  }

  /**
   * Serves the next request that waits on a connection, one in each turn of the
   * event loop over all connections: many that are refused at once would keep the
   * loop from accepting other connections.
   */
  private serveLater(connection: CallerConnection, socket: Socket): void {
    this.turns.push(() => {
      if (socket.destroyed) return;
      connection.waiting.shift()?.();
      if (connection.waiting.length > 0 || connection.lastReply) return;
      connection.releasedAt = this.clock.monotonic();
      connection.onRelease();
      readPacer.resume(socket);
    });
    this.scheduleTurn();
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled || this.turns.length === 0) return;
    this.isTurnScheduled = true;
    setImmediate(() => this.serveTurn());
  }

  private serveTurn(): void {
    this.isTurnScheduled = false;
    this.turns.shift()?.();
    this.scheduleTurn();
  }

  /** Handles bytes that are no request, and heads that take too long. */
  private handleError(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection || !socket.writable) return void socket.destroy();
    if (connection.lastReply !== undefined) return;
    const {headersTimeout} = this.server;
    const {requests, lastMessage, waiting, releasedAt} = connection;
    const state = {
      requests,
      isReadingBody: lastMessage?.complete === false,
      isHeld: waiting.length > 0,
      releasedAt,
    };
    const now = this.clock.monotonic();
    const decision = decideOnError(error.code, state, headersTimeout, now);
    const waitForHead = (milliseconds: number) => {
      connection.stopHeadTimer = this.clock.after(milliseconds, () =>
        this.handleError(error, socket),
      );
    };
    switch (decision.kind) {
      case 'wait':
        return waitForHead(decision.milliseconds);
      case 'wait-for-release':
        connection.onRelease = () => {
          connection.onRelease = () => {};
          waitForHead(headersTimeout);
        };
        return;
      case 'close-after-responses':
        connection.lastReply = replyToError(error.code);
        connection.isClosed = true;
        return readPacer.hold(socket);
      case 'close':
        connection.isClosed = true;
        return closeWith(
          socket,
          requests > 0 && connection.lastResponse?.headersSent
            ? ''
            : replyToError(error.code),
        );
    }
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

/** Sends a last reply on a connection and closes it; does nothing without one. */
function closeWith(socket: Socket, reply: string | undefined): void {
  if (reply === undefined || socket.destroyed) return;
  if (reply !== '') socket.write(reply);
  socket.destroySoon();
}

function noDescriptors(): Refusal {
  const detail = 'the host has no descriptor for more connections';
  return new Refusal('no-descriptors', 'not-run', detail);
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
