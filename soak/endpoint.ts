/** An endpoint of a soak: it runs what it gets and tells the ledger. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import {
  answerTo,
  DEADLY_RESOURCE,
  eventOf,
  STREAM_EVENTS,
  type Arrived,
} from './ledger.js';
import {listenOnFreeAddress} from '../tools/ports.js';

/** Requests that an endpoint works on at once. */
export const SLOTS = 6;
const EVENT_MILLISECONDS = 15;
/** Seconds for which an endpoint wants nothing that says so when it is full. */
export const BACKOFF_SECONDS = 1;

const CRASH_DELAY_MILLISECONDS = 5;
/** What endpoints have written when they crash, one after the other. */
const LAST_BYTES = [
  '',
  'H',
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Type: te',
  'HTTP/1.1 500 Error\r\nContent-Length: 9\r\n\r\npart',
  'no answer\r\n',
];

/** How an endpoint differs from others, by its number. */
export interface EndpointTraits {
  /** Whether it says for how long it wants nothing when it is full. */
  readonly namesBackoff: boolean;
  /** What it has written when it crashes. */
  readonly lastBytes: string;
}

/** The traits of the endpoint that was started as so many-th, from 0 on. */
export function traitsOf(number: number): EndpointTraits {
  const lastBytes = LAST_BYTES[number % LAST_BYTES.length] ?? '';
  return {namesBackoff: number % 2 === 1, lastBytes};
}

/** What an endpoint tells the soak. */
export interface EndpointEvents {
  /** It has got a request, which it runs. */
  readonly onArrived: (arrived: Omit<Arrived, 'left'>) => void;
  /** It has got a request, which it may turn away. */
  readonly onReceived: (request: string) => void;
  /** It has told the host of a request to send it nothing for a while. */
  readonly onBackoff: (request: string) => void;
  /** It has crashed on a request. */
  readonly onCrash: () => void;
}

/** One endpoint. */
export class SoakEndpoint {
  address = '';
  private readonly server: Server;
  private running = 0;
  private isCrashing = false;
  /** Whether it says in its answers that it leaves. */
  isLeaving = false;

  constructor(
    readonly id: string,
    private readonly traits: EndpointTraits,
    private readonly events: EndpointEvents,
  ) {
    this.server = createServer((message, response) => {
      message.resume();
      message.on('error', () => response.destroy());
      message.on('end', () => this.run(message, response));
    });
  }

  async start(): Promise<void> {
    this.address = await listenOnFreeAddress(this.server);
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private run(message: IncomingMessage, response: ServerResponse): void {
    const {headers, url = '', rawHeaders} = message;
    const id = String(headers['x-attempt-id']);
    const health = url === '/health';
    const expected = headers['x-expect-instance'];
    if (!health && expected !== this.id) {
      response.writeHead(421, {'x-not-executed': '1'});
      response.end();
      return;
    }
    if (health) {
      response.writeHead(200, {'x-instance-id': this.id});
      response.end();
      return;
    }
    this.events.onReceived(id);
    if (this.running >= SLOTS) return this.turnAway(id, response);
    this.running++;
    response.once('close', () => this.running--);
    const team = String(headers['x-tenant']);
    const text = `${url} ${rawHeaders.join(' ')}`;
    this.events.onArrived({id, endpoint: this.id, team, headers: text});
    if (url.includes(`/${DEADLY_RESOURCE}?`)) return this.crash(response);
    response.writeHead(200, this.headersOf(id));
    if (!url.startsWith('/draft/')) {
      const {searchParams} = new URL(url, 'http://endpoint');
      const work = Number(searchParams.get('work'));
      const size = Number(searchParams.get('bytes'));
      const body = answerTo({id, route: 'read'}).padEnd(size);
      setTimeout(() => response.end(body), work);
      return;
    }
    stream(response, id, Number(headers['last-event-id'] ?? 0));
  }

  /** Ends behind the first bytes of an answer, others at each endpoint. */
  private crash(response: ServerResponse): void {
    if (this.isCrashing) return;
    this.isCrashing = true;
    response.socket?.write(this.traits.lastBytes);
    setTimeout(() => {
      this.stop();
      this.events.onCrash();
    }, CRASH_DELAY_MILLISECONDS);
  }

  private turnAway(id: string, response: ServerResponse): void {
    const headers: Record<string, string> = {
      'x-not-executed': '1',
      'x-attempt-id': id,
    };
    if (this.traits.namesBackoff) {
      headers['retry-after'] = String(BACKOFF_SECONDS);
      this.events.onBackoff(id);
    }
    response.writeHead(503, headers);
    response.end();
  }

  private headersOf(id: string): Record<string, string> {
    const headers = {'x-attempt-id': id, 'x-response-seal': 'seal'};
    return this.isLeaving ? {...headers, 'server-leaving': '1'} : headers;
  }
}

function stream(response: ServerResponse, id: string, sent: number): void {
  if (response.destroyed) return;
  if (sent >= STREAM_EVENTS) return void response.end();
  response.write(eventOf(id, sent + 1));
  setTimeout(() => stream(response, id, sent + 1), EVENT_MILLISECONDS);
}
