/**
 * An endpoint that crashes when it begins the answer to a request with one part
 * in its prompt, and is back after a while under another id.
 */
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {ServerResponse} from 'node:http';

import {freeAddress} from '../../tools/ports.js';
import {partsOf} from '../../source/wire/index.js';
import {sealed, type EdgeFleet} from './edgeprocess.js';

/** The part on which it crashes. */
export const CRASHING_PART = 'dead';
const PREFILL_MILLISECONDS = 60;
const RESTART_MILLISECONDS = 400;
const EVENTS = 3;

/** One endpoint over all its incarnations. */
export class CrashingEndpoint {
  /** Times of its crashes, in monotonic milliseconds. */
  readonly crashes: number[] = [];
  /** Times at which requests with the part arrived, likewise. */
  readonly guilty: number[] = [];
  private server: Server | undefined;
  private incarnation = 0;
  private isStopped = false;

  constructor(
    private readonly name: string,
    private readonly fleet: EdgeFleet,
  ) {}

  /** Starts an incarnation and enters it in the store. */
  async start(): Promise<void> {
    const address = await freeAddress();
    if (this.isStopped) return;
    const server = createServer((message, response) =>
      this.take(message, response),
    );
    this.server = server;
    const {host, port} = partsOf(address);
    await new Promise<void>(resolve => server.listen({host, port}, resolve));
    this.fleet.enter(this.id, address, 'ready');
  }

  /** Ends it for good. */
  stop(): void {
    this.isStopped = true;
    this.close();
  }

  private close(): void {
    this.server?.closeAllConnections();
    this.server?.close();
    this.server = undefined;
  }

  private get id(): string {
    return `${this.name}-${this.incarnation}`;
  }

  private take(message: IncomingMessage, response: ServerResponse): void {
    message.resume();
    response.on('error', () => {});
    const {headers, url} = message;
    if (url === '/health') {
      response.writeHead(200, {'x-instance-id': this.id});
      response.end();
      return;
    }
    const {server} = this;
    const isGuilty = String(headers['x-prefix-hash']).includes(CRASHING_PART);
    if (isGuilty) this.guilty.push(performance.now());
    setTimeout(() => {
      const hasEnded = server !== this.server;
      if (hasEnded || response.destroyed) return;
      if (isGuilty) this.crash();
      else answer(message, response);
    }, PREFILL_MILLISECONDS);
  }

  private crash(): void {
    this.crashes.push(performance.now());
    this.close();
    this.fleet.remove(this.id);
    this.incarnation++;
    setTimeout(() => void this.start(), RESTART_MILLISECONDS);
  }
}

function answer(message: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, sealed(message));
  for (let id = 1; id <= EVENTS; id++)
    response.write(`id: ${id}\ndata: text\n\n`);
  response.end();
}
