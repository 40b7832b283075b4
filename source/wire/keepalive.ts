/**
 * The connections that are kept for further requests. One on which the peer
 * sends something while no request is in progress is closed, since its responses
 * no longer match the requests.
 */
import {Agent, type AgentOptions, type ClientRequestArgs} from 'node:http';
import {createConnection, type NetConnectOpts, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';

import {openDescriptors, type DescriptorUse} from '../descriptors/index.js';
import {readPacer} from './pacing.js';

/** Time after which an idle connection is closed. */
const IDLE_TIMEOUT_MILLISECONDS = 4_000;

/**
 * Opens connections that are read in turn with all others, and counts their
 * descriptors.
 */
export class PacedAgent extends Agent {
  constructor(
    options: AgentOptions = {},
    private readonly use: DescriptorUse = 'endpoints',
  ) {
    super(options);
  }

  createConnection(options: ClientRequestArgs): Socket {
    const socket = createConnection(options as NetConnectOpts);
    openDescriptors.addSocket(this.use, socket);
    readPacer.pace(socket);
    return socket;
  }
}

/** What is listened for on an idle connection. */
interface IdleListeners {
  readonly onData: () => void;
  readonly onPeerClose: () => void;
}

/** Keeps idle connections, and closes one that receives data while idle. */
export class GuardedKeepAliveAgent extends PacedAgent {
  private readonly idleListeners = new WeakMap<Duplex, IdleListeners>();

  /** Calls `onIdleClosed` when a peer has closed or reset an idle connection. */
  constructor(private readonly onIdleClosed: () => void = () => {}) {
    super(
      {
        keepAlive: true,
        scheduling: 'lifo',
        timeout: IDLE_TIMEOUT_MILLISECONDS,
        noDelay: true,
      },
      'endpoints',
    );
  }

  /** Whether a connection is idle, so that a request needs no new one. */
  get hasIdle(): boolean {
    return this.idleSockets.length > 0;
  }

  /** Closes the connection that has been idle for longest, if there is one. */
  closeIdle(): boolean {
    const [longestIdle] = this.idleSockets;
    // eslint-disable-next-line no-restricted-syntax -- idle
    longestIdle?.destroy();
    return longestIdle !== undefined;
  }

  private get idleSockets(): Socket[] {
    const idle = Object.values(this.freeSockets).flatMap(list => list ?? []);
    return idle.filter(socket => !socket.destroyed);
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // The declared type of the base method lacks its return value.
    const kept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!kept || hasUnreadBytes(socket)) return false;
    let isClosed = false;
    const listeners = {
      // eslint-disable-next-line no-restricted-syntax -- idle
      onData: () => socket.destroy(),
      onPeerClose: () => {
        if (!isClosed) this.onIdleClosed();
        isClosed = true;
      },
    };
    this.idleListeners.set(socket, listeners);
    socket.on('data', listeners.onData);
    socket.on('end', listeners.onPeerClose);
    socket.on('error', listeners.onPeerClose);
    return kept;
  }

  override reuseSocket(socket: Duplex, message: never): void {
    const listeners = this.idleListeners.get(socket);
    if (listeners) {
      socket.removeListener('data', listeners.onData);
      socket.removeListener('end', listeners.onPeerClose);
      socket.removeListener('error', listeners.onPeerClose);
    }
    super.reuseSocket(socket, message);
  }
}

/** Whether bytes have come behind the response that has just ended. */
function hasUnreadBytes(socket: Duplex): boolean {
  return socket.readableLength > 0 || readPacer.hasMore(socket);
}
