/**
 * An endpoint that crashes when it begins the answer to a request that a test
 * names, and is back after a while under another id.
 */
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import {freeAddress} from '../../tools/ports.js';
import {partsOf} from '../../source/wire/index.js';
import {sealed, type EdgeFleet} from './edgeprocess.js';

/** The part on which it crashes. */
export const CRASHING_PART = 'dead';
const PREFILL_MILLISECONDS = 60;
const RESTART_MILLISECONDS = 400;
const EVENTS = 3;

/** A request as the endpoint gets it. */
export interface ReceivedContent {
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** Names what in a request crashes endpoints; undefined if nothing does. */
export type CulpritOf = (content: ReceivedContent) => string | undefined;

/** Something that happened to a request that crashes endpoints. */
export interface CulpritEvent {
  readonly culprit: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** The culprit is a part of the prompt. */
function crashingPart({headers}: ReceivedContent): string | undefined {
  const isGuilty = String(headers['x-prefix-hash']).includes(CRASHING_PART);
  return isGuilty ? CRASHING_PART : undefined;
}

/** One endpoint over all its incarnations. */
export class CrashingEndpoint {
  readonly ends: CulpritEvent[] = [];
  readonly arrivals: CulpritEvent[] = [];
  private server: Server | undefined;
  private incarnation = 0;
  private isStopped = false;

  constructor(
    private readonly name: string,
    private readonly fleet: EdgeFleet,
    private readonly culpritOf: CulpritOf = crashingPart,
  ) {}

  /** Times of its crashes by requests, in monotonic milliseconds. */
  get crashes(): number[] {
    return this.ends.map(({at}) => at);
  }

  /** Times at which requests that crash it arrived, likewise. */
  get guilty(): number[] {
    return this.arrivals.map(({at}) => at);
  }

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
    response.on('error', () => {});
    if (message.url === '/health') {
      message.resume();
      response.writeHead(200, {'x-instance-id': this.id});
      response.end();
      return;
    }
    let body = '';
    message.on('data', (bytes: Buffer) => (body += bytes.toString()));
    message.on('end', () => this.run(message, response, body));
  }

  private run(
    message: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const {server} = this;
    const {headers, url = ''} = message;
    const culprit = this.culpritOf({url, headers, body});
    if (culprit !== undefined)
      this.arrivals.push({culprit, at: performance.now()});
    setTimeout(() => {
      const hasEnded = server !== this.server;
      if (hasEnded || response.destroyed) return;
      if (culprit === undefined) return answer(message, response);
      this.ends.push({culprit, at: performance.now()});
      this.crash();
    }, PREFILL_MILLISECONDS);
  }

  /** Ends this incarnation; the next one starts after a while. */
  crash(): void {
    if (!this.server) return;
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
