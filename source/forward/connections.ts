/**
 * The pool of connections to endpoints. A pooled connection on which an
 * endpoint sends data between requests is closed, because its responses no
 * longer match the requests. A request that may run only once gets a connection
 * of its own, because a reset of a reused connection does not tell whether the
 * request ran.
 */
import type {ClientRequest, IncomingMessage, RequestOptions} from 'node:http';
import type {Socket} from 'node:net';

import type {CancellationSignal} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {connectShortage, type EndpointRoom} from '../descriptors/index.js';
import {Refusal, WireError} from '../errors/index.js';
import type {Holding} from '../memory/index.js';
import {
  abandonRequest,
  createRequest,
  GuardedKeepAliveAgent,
  PacedAgent,
  partsOf,
} from '../wire/index.js';
import {responseOf, type EndpointResponse} from './endpointresponse.js';

/** Time within which an endpoint must accept a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;
/**
 * Most that an endpoint may send before the head of its response is complete.
 * Node limits each head, but neither their number, where they are
 * informational, nor the empty lines before one.
 */
const MAX_HEAD_BYTES = 65_536;

/** A request to an endpoint. */
export interface EndpointRequest {
  /** IP address and port, such as `127.0.0.1:80`. */
  readonly address: string;
  readonly method: string;
  readonly url: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The room of the body in the host's memory; held until it has been sent. */
  readonly holding?: Holding | undefined;
  /** Whether it gets a new connection that is not reused. */
  readonly fresh: boolean;
  /** Whether it is a health check, for which descriptors are reserved. */
  readonly isProbe?: boolean;
  /**
   * Returns whether the endpoint may still get requests. Called once the
   * connection is established, since the endpoint may leave in the meantime.
   */
  readonly isOpen: () => boolean;
}

/** How the codes of the errors of Node's HTTP parser begin. */
const PARSER_ERROR_PREFIX = 'HPE_';

/** A host's connections to endpoints. */
export class ConnectionPool {
  private readonly agents = new Map<string, GuardedKeepAliveAgent>();
  private readonly singleUseAgent = new PacedAgent(
    {keepAlive: false, noDelay: true},
    'endpoints',
  );
  private readonly probeAgent = new PacedAgent(
    {keepAlive: false, noDelay: true},
    'probes',
  );

  /**
   * Without `room`, the number of connections has no bound. Calls `onIdleClosed`
   * with the address of an endpoint that has closed an idle connection.
   */
  constructor(
    private readonly clock: Clock,
    private readonly room?: EndpointRoom,
    private readonly onIdleClosed: (address: string) => void = () => {},
  ) {}

  /**
   * Sends a request and resolves with the response once its head has come. Waits
   * for a short time where a new connection has no room, and throws a
   * DescriptorShortage if there is none then. Throws a Refusal for a request that cannot be sent to any endpoint, otherwise
   * a WireError; its stage is `connect` only if nothing of the request was sent,
   * `cut` if the endpoint closed the connection after a part of a head, and
   * `malformed` if this host did, after bytes that are no response. The signal is
   * observed until the head has come, not after.
   *
   * ```ts
   * const {message} = await connections.send(endpointRequest, signal);
   * ```
   */
  async send(
    endpointRequest: EndpointRequest,
    signal: CancellationSignal,
  ): Promise<EndpointResponse> {
    const done = await this.takeRoom(endpointRequest, signal);
    try {
      return await this.exchange(endpointRequest, signal, done);
    } finally {
      done();
    }
  }

  /** Waits until the request may open a connection, if it needs a new one. */
  private async takeRoom(
    {address, fresh, isProbe}: EndpointRequest,
    signal: CancellationSignal,
  ): Promise<() => void> {
    const {room} = this;
    const isReused = !fresh && this.agent(address).hasIdle;
    if (!room || isProbe || isReused) return () => {};
    if (!room.hasRoom) this.closeIdle();
    return room.take(signal);
  }

  /** Closes one idle connection, so that its descriptor can be used. */
  private closeIdle(): void {
    for (const agent of this.agents.values()) if (agent.closeIdle()) return;
  }

  /** Calls `opened` once the connection is counted. */
  private exchange(
    endpointRequest: EndpointRequest,
    signal: CancellationSignal,
    opened: () => void,
  ): Promise<EndpointResponse> {
    const {address, method, url, headers, body, holding, isOpen} =
      endpointRequest;
    return new Promise((resolve, reject) => {
      let connected = false;
      let responded = false;
      let stopTimer: Cancel = () => {};
      const sent = openRequest({
        ...partsOf(address),
        method,
        path: url,
        headers: headers as never,
        agent: this.agentFor(endpointRequest),
        setHost: false,
      });
      opened();
      const fail = (error: Error) => {
        stopTimer();
        stopWatching();
        const hasBytes = stopCounting() > 0;
        const isGivenUp = signal.aborted;
        const stage = connected
          ? stageOfFailure(error, {hasBytes, isGivenUp})
          : 'connect';
        const failure = new WireError(stage, `${address} ${error.message}`);
        reject(connectShortage(error) ?? failure);
      };
      const stopWatching = signal.onAbort(() => abandonRequest(sent));
      const write = () => {
        if (!isOpen()) {
          // eslint-disable-next-line no-restricted-syntax -- nothing was written
          sent.destroy(new Error('has left meanwhile'));
          return;
        }
        connected = true;
        if (holding) holdUntilSent(sent, holding);
        sent.end(body);
      };
      let stopCounting = () => 0;
      let bytesReadBefore = 0;
      sent.once('socket', (socket: Socket) => {
        bytesReadBefore = socket.bytesRead;
        stopCounting = limitBytes(socket, MAX_HEAD_BYTES, () =>
          abandonRequest(
            sent,
            new Error('the head of the response is too large'),
          ),
        );
        if (!socket.connecting) return write();
        stopTimer = this.clock.after(CONNECT_TIMEOUT_MILLISECONDS, () =>
          afterPendingEvents(() => {
            if (!connected)
              // eslint-disable-next-line no-restricted-syntax -- nothing was written
              sent.destroy(new Error('does not accept connections'));
          }),
        );
        socket.once('connect', () => {
          stopTimer();
          write();
        });
      });
      sent.once('response', message => {
        responded = true;
        stopWatching();
        stopCounting();
        closeUnlessSent(sent, message);
        // Without this, a reset would look like the end of a response that has
        // no content length. Bytes after a complete response are no part of it.
        sent.on('error', error => {
          if (!message.complete) message.destroy(error);
        });
        const {reusedSocket: isReused} = sent;
        resolve(responseOf(message, {isReused, bytesReadBefore}));
      });
      sent.once('upgrade', (_, socket) => {
        // eslint-disable-next-line no-restricted-syntax -- it was answered
        socket.destroy();
        fail(new Error('the response switches protocols'));
      });
      sent.on('error', fail);
      sent.once('close', () => {
        if (!responded) fail(new Error('the connection is closed'));
      });
    });
  }

  private agentFor({address, fresh, isProbe}: EndpointRequest): PacedAgent {
    if (isProbe) return this.probeAgent;
    return fresh ? this.singleUseAgent : this.agent(address);
  }

  /** Returns the agent of an address, creating it on first use. */
  private agent(address: string): GuardedKeepAliveAgent {
    const present = this.agents.get(address);
    if (present) return present;
    const agent = new GuardedKeepAliveAgent(() => this.onIdleClosed(address));
    this.agents.set(address, agent);
    return agent;
  }
}

/**
 * Calls back once the events that have come by now have been handled. Timers run
 * before them, so in a process that had no processor for a while a timeout would
 * pass over a connection that has long been made.
 */
function afterPendingEvents(callback: () => void): void {
  setImmediate(callback);
}

/**
 * Calls back once when a connection has received more than `limit` bytes from
 * now on. Returns a function that stops the count and returns it.
 */
function limitBytes(
  socket: Socket,
  limit: number,
  onExceeded: () => void,
): () => number {
  let received = 0;
  const count = (bytes: Buffer) => {
    received += bytes.length;
    if (received <= limit) return;
    stop();
    onExceeded();
  };
  const stop = () => {
    socket.removeListener('data', count);
    return received;
  };
  socket.on('data', count);
  return stop;
}

/**
 * Closes the connection if the response has ended and the request has not: its
 * endpoint may never read the rest.
 */
function closeUnlessSent(sent: ClientRequest, message: IncomingMessage): void {
  message.once('end', () => {
    if (!sent.writableFinished) abandonRequest(sent);
  });
}

/** Holds the room of a body until it has left the process or is given up. */
function holdUntilSent(sent: ClientRequest, holding: Holding): void {
  holding.retain();
  let isHeld = true;
  const letGo = () => {
    if (isHeld) holding.release();
    isHeld = false;
  };
  sent.once('finish', letGo);
  sent.once('close', letGo);
}

/**
 * Creates a request. Throws a Refusal where Node refuses to send it, which is no
 * failure of the endpoint.
 */
function openRequest(options: RequestOptions): ClientRequest {
  try {
    return createRequest(options);
  } catch (error) {
    const detail = error instanceof Error ? error.message : 'unknown';
    throw new Refusal('internal', 'not-run', detail);
  }
}

/**
 * Returns how far a request got that was sent and whose response has no complete
 * head. Errors of Node's parser have codes of their own, the errors of this
 * module have none, and all others mean that the connection has ended.
 */
function stageOfFailure(
  {code}: NodeJS.ErrnoException,
  {hasBytes, isGivenUp}: {hasBytes: boolean; isGivenUp: boolean},
): WireError['stage'] {
  if (code?.startsWith(PARSER_ERROR_PREFIX)) return 'malformed';
  if (!hasBytes) return 'write';
  return code === undefined || isGivenUp ? 'malformed' : 'cut';
}
