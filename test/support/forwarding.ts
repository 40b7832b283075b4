/**
 * A forwarder between a caller and endpoints that answer as a test says, over
 * real connections on the loopback.
 */
import {
  createServer,
  request,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {ExecutionContext} from 'ava';

import {PlatformProtocol} from '../../platform/protocol.js';
import {Admission} from '../../source/admission/index.js';
import {EndpointBook} from '../../source/balance/index.js';
import {SystemClock} from '../../source/clock/index.js';
import type {KnownEndpoint} from '../../source/directory/index.js';
import {Connections, Forwarder} from '../../source/forward/index.js';
import type {Fields, Logger} from '../../source/logging/index.js';
import {Metrics} from '../../source/metrics/index.js';
import {seededRandom} from '../../source/random/index.js';
import {
  RoutingTable,
  type Route,
  type Routing,
} from '../../source/routing/index.js';

const SERVICE = 'drafting';
const KEY = 'key-of-editors';

/** A request as an endpoint got it. */
export interface Seen {
  readonly endpoint: string;
  readonly message: IncomingMessage;
  readonly body: string;
  /** Whether the connection was closed before the answer was whole. */
  closed: boolean;
}

/** How an endpoint answers the nth request that it gets, from 0. */
export type Behaviour = (
  seen: Seen,
  response: ServerResponse,
  count: number,
) => void;

/** What a caller got. */
export interface Reply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly whole: boolean;
}

/** A line of the log. */
export interface Line {
  readonly event: string;
  readonly fields: Fields;
}

/** The head that an endpoint's own answer bears. */
export function sealOf({message}: Seen): Record<string, string> {
  const id = String(message.headers['x-attempt-id']);
  return {'x-attempt-id': id, 'x-response-seal': 'seal'};
}

/** Answers with a whole body. */
export function answerWith(status: number, body: string): Behaviour {
  return (seen, response) => {
    response.writeHead(status, sealOf(seen));
    response.end(body);
  };
}

export const ROUTE: Route = {
  name: 'drafts',
  host: 'phrases.example',
  prefix: '/drafts/',
  repeatable: false,
  streaming: false,
  resumable: false,
  open: false,
  tier: 0,
  target: 300,
  pauseTarget: 300,
  timeout: 5_000,
  attempts: 1,
  shares: [{service: SERVICE, weight: 1}],
  homes: [],
};

/** A forwarder with its endpoints. */
export class Forwarding {
  readonly seen: Seen[] = [];
  readonly lines: Line[] = [];
  readonly began: string[] = [];
  private readonly servers: Server[] = [];
  private address = '';

  /** Starts endpoints, one for each behaviour, and a forwarder before them. */
  static async start(
    t: ExecutionContext,
    route: Partial<Route>,
    behaviours: readonly Behaviour[],
  ): Promise<Forwarding> {
    const forwarding = new Forwarding();
    t.teardown(() => forwarding.stop());
    await forwarding.open({...ROUTE, ...route}, behaviours);
    return forwarding;
  }

  /** Sends a request as a caller. */
  send(
    headers: Readonly<Record<string, string>> = {},
    body = '',
    path = '/drafts/new',
  ): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const sent = request(
        `http://${this.address}${path}`,
        {
          method: 'POST',
          agent: false,
          headers: {
            host: ROUTE.host,
            authorization: `Bearer ${KEY}`,
            'x-attempt-id': `caller-${this.seen.length}`,
            'x-deadline-ms': '4000',
            ...headers,
          },
        },
        message => {
          let text = '';
          message.setEncoding('utf8');
          message.on('data', (part: string) => (text += part));
          message.on('error', () => {});
          message.on('close', () =>
            resolve({
              status: message.statusCode ?? 0,
              headers: message.headers,
              body: text,
              whole: message.complete,
            }),
          );
        },
      );
      sent.on('error', reject);
      sent.end(body);
    });
  }

  /** Sends a request and leaves as soon as an endpoint has it. */
  async sendAndLeave(): Promise<void> {
    const before = this.seen.length;
    const sent = request(`http://${this.address}/drafts/new`, {
      method: 'POST',
      headers: {host: ROUTE.host, authorization: `Bearer ${KEY}`},
    });
    sent.on('error', () => {});
    sent.end();
    await this.until(() => this.seen.length > before);
    sent.destroy();
  }

  /** Resolves when something holds. */
  async until(holds: () => boolean): Promise<void> {
    while (!holds()) await new Promise(resolve => setTimeout(resolve, 5));
  }

  private async open(
    route: Route,
    behaviours: readonly Behaviour[],
  ): Promise<void> {
    const clock = new SystemClock();
    const book = new EndpointBook({
      host: 'host-1',
      zone: 'palermo',
      clock,
      regions: {},
    });
    const admission = new Admission({clock, room: book, places: 100});
    const directory = new Map<string, KnownEndpoint>();
    for (const [index, behaviour] of behaviours.entries()) {
      const id = `engine-${index}`;
      const address = await this.endpoint(id, behaviour);
      directory.set(id, knownEndpoint(id, address));
    }
    const forwarder = new Forwarder({
      protocol: new PlatformProtocol(),
      connections: new Connections(clock),
      admission,
      book,
      clock,
      logger: this.logger(),
      metrics: new Metrics(),
      random: seededRandom(1),
      repeatBound: {ratio: 0.2, allowance: 50, window: 10_000},
      began: team => this.began.push(team),
    });
    const table = new RoutingTable(routingOf(route));
    forwarder.table = table;
    book.setServices(table.services);
    book.setDirectory(directory);
    this.address = await this.listen(
      createServer((message, response) => {
        void forwarder.serve(message, response);
      }),
    );
  }

  private async endpoint(id: string, behaviour: Behaviour): Promise<string> {
    let count = 0;
    return this.listen(
      createServer((message, response) => {
        let body = '';
        message.on('data', (part: Buffer) => (body += part.toString()));
        message.on('error', () => {});
        message.on('end', () => {
          const seen = {endpoint: id, message, body, closed: false};
          this.seen.push(seen);
          response.on('close', () => {
            seen.closed = !response.writableFinished;
          });
          behaviour(seen, response, count++);
        });
      }),
    );
  }

  private async listen(server: Server): Promise<string> {
    this.servers.push(server);
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  private stop(): void {
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  private logger(): Logger {
    const note = (event: string, fields: Fields = {}) => {
      this.lines.push({event, fields});
    };
    return {debug: note, info: note, warn: note, error: note};
  }
}

function knownEndpoint(id: string, address: string): KnownEndpoint {
  return {
    entry: {
      id,
      service: SERVICE,
      address,
      zone: 'palermo',
      slots: 8,
      leaving: false,
      coldFor: 0,
      born: 1,
      reclaimable: false,
    },
    knownAt: 0,
    coldUntil: -Infinity,
    lapsesAt: undefined,
  };
}

function routingOf(route: Route): Routing {
  return {
    version: 1,
    routes: [route],
    services: [{name: SERVICE, healthPath: '/health', coldRate: 0}],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 65_536,
      headerMilliseconds: 3_000,
      idleMilliseconds: 15_000,
    },
    teams: [{name: 'editors', keys: [KEY], homes: []}],
  };
}
