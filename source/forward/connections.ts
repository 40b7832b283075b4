/**
 * Connections to endpoints. A kept connection that an endpoint writes to
 * between requests has lost its place, so it is closed; and a request that may
 * run only once gets a connection of its own, since a kept one that is reset
 * proves nothing about the request.
 */
import {Agent, request, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

import type {Signal} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {WireError} from '../errors/index.js';
import {partsOf} from '../wire/index.js';

/** Milliseconds within which an endpoint must accept a connection. */
const CONNECT_MILLISECONDS = 250;
/** Milliseconds for which an idle connection is kept. */
const IDLE_MILLISECONDS = 4_000;

/** A request as it goes to an endpoint. */
export interface Outgoing {
  readonly address: string;
  readonly method: string;
  readonly url: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether it gets a connection of its own. */
  readonly fresh: boolean;
  /**
   * Whether the endpoint may still be sent to. It is asked once the connection
   * is there, since the endpoint may leave while one is being made.
   */
  readonly isOpen: () => boolean;
}

/** A message that answers a request. */
export interface Received {
  readonly message: IncomingMessage;
  /**
   * Whether a message that has ended is whole. A reset that arrives together
   * with the last bytes shows as a plain end, so where only the end of the
   * connection says that the message is whole, the connection is tried.
   */
  readonly isWhole: () => Promise<boolean>;
}

/** Written to a connection that its other side has ended, to see if it can be. */
const PROBE = '\r\n';

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Keeps idle connections and closes those that receive something unasked. */
class KeepingAgent extends Agent {
  private readonly watches = new WeakMap<Duplex, () => void>();

  constructor() {
    super({
      keepAlive: true,
      scheduling: 'lifo',
      timeout: IDLE_MILLISECONDS,
      noDelay: true,
    });
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // The return value of the base class is missing from its declared type.
    const kept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!kept) return kept;
    const watch = () => socket.destroy();
    this.watches.set(socket, watch);
    socket.on('data', watch);
    return kept;
  }

  override reuseSocket(socket: Duplex, message: never): void {
    const watch = this.watches.get(socket);
    if (watch) socket.removeListener('data', watch);
    super.reuseSocket(socket, message);
  }
}

/** The connections of a host to endpoints. */
export class Connections {
  private readonly agents = new Map<string, KeepingAgent>();
  private readonly single = new Agent({keepAlive: false, noDelay: true});

  constructor(private readonly clock: Clock) {}

  /**
   * Sends a request; resolves with the head of its answer. Throws a WireError
   * whose stage is `connect` only where nothing of the request was sent.
   *
   * ```ts
   * const {message} = await connections.send(outgoing, signal);
   * ```
   */
  send(outgoing: Outgoing, signal: Signal): Promise<Received> {
    const {address, method, url, headers, body, fresh, isOpen} = outgoing;
    return new Promise((resolve, reject) => {
      let connected = false;
      let stopTimer: Cancel = () => {};
      const sent = request({
        ...partsOf(address),
        method,
        path: url,
        headers: headers as never,
        agent: fresh ? this.single : this.agent(address),
        setHost: false,
      });
      const fail = (error: Error) => {
        stopTimer();
        stopWatching();
        const stage = connected ? 'write' : 'connect';
        reject(new WireError(stage, `${address} ${error.message}`));
      };
      const stopWatching = signal.onAbort(() => sent.destroy());
      const write = () => {
        if (!isOpen()) {
          sent.destroy(new Error('has left meanwhile'));
          return;
        }
        connected = true;
        sent.end(body);
      };
      sent.once('socket', (socket: Socket) => {
        if (!socket.connecting) return write();
        stopTimer = this.clock.after(CONNECT_MILLISECONDS, () =>
          sent.destroy(new Error('does not accept connections')),
        );
        socket.once('connect', () => {
          stopTimer();
          write();
        });
      });
      sent.once('response', message => {
        stopWatching();
        // A reset would else look like the end of an answer without a length.
        sent.on('error', error => message.destroy(error));
        resolve({message, isWhole: wholeness(message)});
      });
      sent.on('error', fail);
    });
  }

  private agent(address: string): KeepingAgent {
    const present = this.agents.get(address);
    if (present) return present;
    const agent = new KeepingAgent();
    this.agents.set(address, agent);
    return agent;
  }
}

/** How to find out whether a message is whole, once it has ended. */
function wholeness(message: IncomingMessage): Received['isWhole'] {
  const {headers, socket, statusCode = 0} = message;
  const framed =
    BODILESS_STATUSES.has(statusCode) ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  if (framed) return () => Promise.resolve(message.complete);
  const sound = new Promise<boolean>(resolve => {
    // It goes before the listener that bars writing after the end.
    socket.prependListener('end', () => {
      socket.write(PROBE, error => resolve(!error));
    });
    socket.once('error', () => resolve(false));
    socket.once('close', () => resolve(false));
  });
  return () => sound;
}
