/**
 * Shares the event loop between connections. What a connection has received may
 * take long to process, as a body in chunks of one byte does, and the loop reads
 * on from it before it turns to others. Such bytes are delivered in slices, a few
 * in each turn of the loop, in turn with those of other such connections; nothing
 * more is read from a connection that has slices left.
 */
import type {Server, Socket} from 'node:net';

import {SystemClock, type Clock} from '../clock/index.js';
import {PacedConnection, type TurnQueue} from './pacedconnection.js';

/** Milliseconds of a turn of the loop for all that waits. */
const TURN_MILLISECONDS = 2;

/** Delivers what connections receive, so that none holds up the others. */
export class ReadPacer implements TurnQueue {
  /** Connections with slices that may be delivered, the next one first. */
  private readonly waiting: PacedConnection[] = [];
  private isScheduled = false;
  private readonly connections = new WeakMap<object, PacedConnection>();

  constructor(private readonly clock: Clock) {}

  /** Returns monotonic milliseconds. */
  now(): number {
    return this.clock.monotonic();
  }

  /**
   * From now on, delivers what a socket receives in slices where it takes long to
   * process. Call it before the socket has received anything.
   *
   * ```ts
   * server.on('connection', socket => readPacer.pace(socket));
   * ```
   */
  pace(socket: Socket): void {
    this.connections.set(socket, new PacedConnection(socket, this));
  }

  /** Whether a socket has received, or may have, what was not delivered yet. */
  hasMore(socket: object): boolean {
    return this.connections.get(socket)?.hasMore ?? false;
  }

  /** Delivers and reads nothing more of a socket until `resume`. */
  hold(socket: object): void {
    this.connections.get(socket)?.hold();
  }

  /** Ends a `hold`. */
  resume(socket: object): void {
    this.connections.get(socket)?.resume();
  }

  /** Lets a connection deliver its next slice when it is its turn. */
  enqueue(connection: PacedConnection): void {
    this.waiting.push(connection);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.deliverTurn());
  }

  private deliverTurn(): void {
    this.isScheduled = false;
    const end = this.now() + TURN_MILLISECONDS;
    do this.waiting.shift()?.deliverWaiting();
    while (this.waiting.length > 0 && this.now() < end);
    if (this.waiting.length > 0) this.schedule();
  }
}

/** The pacer of this process, which has one event loop. */
export const readPacer = new ReadPacer(new SystemClock());

/**
 * Reads the connections of an HTTP server in turn with all others. Call it before
 * the server listens.
 *
 * ```ts
 * const server = createServer(handle);
 * readInTurn(server);
 * ```
 */
export function readInTurn(server: Server): void {
  server.on('connection', (socket: Socket) => {
    readPacer.pace(socket);
    // Until somebody asks for its data, Node's parser reads from the connection
    // without the socket's knowledge.
    socket.on('data', () => {});
  });
}
