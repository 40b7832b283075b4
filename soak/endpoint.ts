/** An endpoint of a soak: it runs what it gets and tells the ledger. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import {answerTo, eventOf, STREAM_EVENTS, type Arrived} from './ledger.js';

/** Requests that an endpoint works on at once. */
export const SLOTS = 6;
const EVENT_MILLISECONDS = 15;

/** One endpoint. */
export class SoakEndpoint {
  address = '';
  private readonly server: Server;
  private running = 0;

  constructor(
    readonly id: string,
    private readonly arrived: (arrived: Omit<Arrived, 'left'>) => void,
  ) {
    this.server = createServer((message, response) => {
      message.resume();
      message.on('error', () => response.destroy());
      message.on('end', () => this.run(message, response));
    });
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
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
    if (this.running >= SLOTS) {
      response.writeHead(503, {'x-not-executed': '1', 'x-attempt-id': id});
      response.end();
      return;
    }
    this.running++;
    response.once('close', () => this.running--);
    const team = String(headers['x-tenant']);
    const text = `${url} ${rawHeaders.join(' ')}`;
    this.arrived({id, endpoint: this.id, team, headers: text});
    response.writeHead(200, {'x-attempt-id': id, 'x-response-seal': 'seal'});
    if (!url.startsWith('/draft/')) {
      const body = answerTo({id, route: 'read'});
      const {searchParams} = new URL(url, 'http://endpoint');
      const work = Number(searchParams.get('work'));
      setTimeout(() => response.end(body), work);
      return;
    }
    stream(response, id, Number(headers['last-event-id'] ?? 0));
  }
}

function stream(response: ServerResponse, id: string, sent: number): void {
  if (response.destroyed) return;
  if (sent >= STREAM_EVENTS) return void response.end();
  response.write(eventOf(id, sent + 1));
  setTimeout(() => stream(response, id, sent + 1), EVENT_MILLISECONDS);
}
