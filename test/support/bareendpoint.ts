/**
 * An endpoint that ends its answers with their connections, and that can end as a
 * process does: its port and all of its connections are closed, without a reset.
 */
import {createServer, type Server, type Socket} from 'node:net';

import {freeAddress} from '../../tools/ports.js';
import {partsOf} from '../../source/wire/index.js';
import type {EdgeFleet} from './edgeprocess.js';

const REPORT = 'GET /-/report';
const ATTEMPT_PATTERN = /x-attempt-id: (\S+)/i;
const LAST_EVENT_PATTERN = /last-event-id: (\d+)/i;
const PAUSE_MILLISECONDS = 30;
/** Events of a whole stream. */
export const EVENTS = 4;

/** What an endpoint does at the end of an answer. */
export type EndOfAnswer =
  'closes' | 'crashes after two events' | 'closes and exits' | 'says it leaves';

/** One endpoint. */
export class BareEndpoint {
  /** Resolves when it may end an answer. */
  mayEnd: Promise<void> = Promise.resolve();
  /** Resolves when it has got a request. */
  readonly asked: Promise<void>;
  private noteAsked: () => void = () => {};
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;

  constructor(
    private readonly id: string,
    private readonly fleet: EdgeFleet,
    private readonly endOfAnswer: EndOfAnswer,
    private readonly reports = true,
  ) {
    this.asked = new Promise(resolve => (this.noteAsked = resolve));
  }

  /** Listens and enters the endpoint in the store. */
  async start(state = 'ready'): Promise<void> {
    const address = await freeAddress();
    const server = createServer(socket => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('data', bytes => this.take(socket, bytes.toString()));
    });
    this.server = server;
    const {host, port} = partsOf(address);
    await new Promise<void>(resolve => server.listen({host, port}, resolve));
    this.fleet.addresses.set(this.id, address);
    this.fleet.enter(this.id, address, state);
  }

  /** Ends as a process that is killed. */
  stop(): void {
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private take(socket: Socket, head: string): void {
    if (head.startsWith(REPORT)) return this.report(socket);
    this.noteAsked();
    const attempt = ATTEMPT_PATTERN.exec(head)?.[1] ?? '';
    const leaving =
      this.endOfAnswer === 'says it leaves' ? 'Server-Leaving: 1\r\n' : '';
    socket.write(
      'HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n' +
        `${leaving}X-Attempt-Id: ${attempt}\r\n\r\n`,
    );
    let event = Number(LAST_EVENT_PATTERN.exec(head)?.[1] ?? 0);
    const next = () => {
      if (socket.destroyed) return;
      const crashes = this.endOfAnswer === 'crashes after two events';
      if (crashes && event === 2) return this.stop();
      if (event === EVENTS) return void this.end(socket);
      socket.write(`id: ${++event}\ndata: ${this.id}\n\n`);
      setTimeout(next, PAUSE_MILLISECONDS);
    };
    next();
  }

  private async end(socket: Socket): Promise<void> {
    await this.mayEnd;
    socket.end();
    if (this.endOfAnswer !== 'closes') setImmediate(() => this.stop());
  }

  private report(socket: Socket): void {
    const body = JSON.stringify({born: this.fleet.born});
    socket.end(
      this.reports
        ? `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`
        : 'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n',
    );
  }
}
