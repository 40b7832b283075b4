/**
 * A forwarder between a caller and endpoints whose behaviour a test defines,
 * over real connections on the loopback interface.
 */
import {
  createServer,
  request,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {connect} from 'node:net';

import type {ExecutionContext} from 'ava';

import {PlatformProtocol} from '../../platform/protocol.js';
import {Admission} from '../../source/admission/index.js';
import {EndpointSelector} from '../../source/balance/index.js';
import {SystemClock, type Clock} from '../../source/clock/index.js';
import type {KnownEndpoint} from '../../source/directory/index.js';
import {ConnectionPool, Forwarder} from '../../source/forward/index.js';
import type {Fields, Logger} from '../../source/logging/index.js';
import {MemoryAccount, memoryBudgetOf} from '../../source/memory/index.js';
import {Metrics} from '../../source/metrics/index.js';
import {Quarantine} from '../../source/quarantine/index.js';
import {seededRandom} from '../../source/random/index.js';
import {
  RoutingTable,
  type Route,
  type RoutingConfiguration,
} from '../../source/routing/index.js';
import type {ServiceRates} from '../../source/servicerates/index.js';
import {StoreError} from '../../source/store/index.js';
import {StreamVersions} from '../../source/versions/index.js';
import {listenOnFreeAddress} from '../../tools/ports.js';
import {readyEndpoint} from './directories.js';
import {keepOnFailure} from './failures.js';
import {NO_RECORDER} from './linkless.js';
import {UnusedStore} from './unusedstore.js';

const SERVICE = 'drafting';
const KEY = 'key-of-editors';

/** A request as an endpoint received it. */
export interface ReceivedRequest {
  readonly endpoint: string;
  readonly message: IncomingMessage;
  readonly body: string;
  /** Whether the connection was closed before the response was complete. */
  closed: boolean;
}

/** How an endpoint responds; `count` is the number of its earlier requests. */
export type Behaviour = (
  received: ReceivedRequest,
  response: ServerResponse,
  count: number,
) => void;

/** The response as the caller received it. */
export interface Reply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether all of the body arrived. */
  readonly whole: boolean;
}

/** A log event with its fields. */
export interface LogLine {
  readonly event: string;
  readonly fields: Fields;
}

/** Returns the headers that mark an endpoint's own response to a request. */
export function sealHeaders({
  message,
}: ReceivedRequest): Record<string, string> {
  const id = String(message.headers['x-attempt-id']);
  return {'x-attempt-id': id, 'x-response-seal': 'seal'};
}

/** Returns a behaviour that sends a complete response. */
export function respondWith(status: number, body: string): Behaviour {
  return (received, response) => {
    response.writeHead(status, sealHeaders(received));
    response.end(body);
  };
}

/**
 * Returns a behaviour for one or more endpoints: they respond to the first
 * request that any of them gets in one way, and to all others in another.
 */
export function firstThen(first: Behaviour, others: Behaviour): Behaviour {
  let isFirst = true;
  return (received, response, count) => {
    const behave = isFirst ? first : others;
    isFirst = false;
    behave(received, response, count);
  };
}

/** The route of the tests' requests; a test may override its fields. */
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

/** A forwarder, its endpoints and a caller. */
export class ForwarderFixture {
  readonly received: ReceivedRequest[] = [];
  readonly logLines: LogLine[] = [];
  readonly startedTeams: string[] = [];
  private readonly servers: Server[] = [];
  private readonly endpointServers = new Map<string, Server>();
  private address = '';
  private book: EndpointSelector | undefined;
  private streamVersions: StreamVersions | undefined;

  /**
   * Starts an endpoint for each behaviour, with its software version, and a
   * forwarder in front of them.
   */
  static async start(
    t: ExecutionContext,
    route: Partial<Route>,
    behaviours: readonly Behaviour[],
    versions: readonly string[] = [],
  ): Promise<ForwarderFixture> {
    const fixture = new ForwarderFixture();
    t.teardown(() => fixture.stop());
    keepOnFailure(t, () => fixture.logLines);
    await fixture.open({...ROUTE, ...route}, behaviours, versions);
    return fixture;
  }

  /** How fast the endpoints are, as the forwarder has learned. */
  get rates(): ServiceRates {
    if (!this.book) throw new Error('not open');
    return this.book.rates;
  }

  /** Address for callers. */
  get callers(): string {
    return this.address;
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
            'x-attempt-id': `caller-${this.received.length}`,
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

  /** Sends a request and disconnects as soon as an endpoint has received it. */
  async sendAndDisconnect(): Promise<void> {
    const before = this.received.length;
    const sent = request(`http://${this.address}/drafts/new`, {
      method: 'POST',
      headers: {host: ROUTE.host, authorization: `Bearer ${KEY}`},
    });
    sent.on('error', () => {});
    sent.end();
    await this.until(() => this.received.length > before);
    sent.destroy();
  }

  /**
   * Sends a request and reads nothing of the response. Resolves once the
   * forwarder has logged its outcome.
   */
  async sendWithoutReading(): Promise<void> {
    const [host = '', port = ''] = this.address.split(':');
    const socket = connect(Number(port), host);
    socket.pause();
    socket.on('error', () => {});
    socket.write(
      `GET /drafts/new HTTP/1.1\r\nhost: ${ROUTE.host}\r\n` +
        `authorization: Bearer ${KEY}\r\nx-attempt-id: idle\r\n\r\n`,
    );
    await this.until(() =>
      this.logLines.some(({event}) => event === 'request'),
    );
    socket.destroy();
  }

  /** Ends an endpoint as a crash does: its connections, and its port. */
  crash(endpoint: string): void {
    const server = this.endpointServers.get(endpoint);
    server?.closeAllConnections();
    server?.close();
  }

  /** Resolves when the condition is true; checks it every 5 ms. */
  async until(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
  }

  private async open(
    route: Route,
    behaviours: readonly Behaviour[],
    versions: readonly string[],
  ): Promise<void> {
    const clock = new SystemClock();
    const book = new EndpointSelector({
      host: 'host-1',
      zone: 'palermo',
      clock,
      regions: {},
    });
    this.book = book;
    const admission = new Admission({clock, capacity: book, maxQueued: 100});
    const directory = new Map<string, KnownEndpoint>();
    for (const [index, behaviour] of behaviours.entries()) {
      const id = `engine-${index}`;
      const address = await this.startEndpoint(id, behaviour);
      const version = versions[index];
      directory.set(id, createEndpoint(id, address, version));
    }
    const memory = new MemoryAccount({
      budget: memoryBudgetOf(200),
      clock,
      logger: this.logger(),
      metrics: new Metrics(),
    });
    const streamVersions = loneStreamVersions(clock, this.logger());
    this.streamVersions = streamVersions;
    const forwarder = new Forwarder({
      memory,
      protocol: new PlatformProtocol(),
      connections: new ConnectionPool(clock),
      admission,
      book,
      quarantine: loneQuarantine(clock, this.logger()),
      versions: streamVersions,
      clock,
      logger: this.logger(),
      metrics: new Metrics(),
      random: seededRandom(1),
      retryBudget: {ratio: 0.2, allowance: 50, window: 10_000},
      onRunStarted: team => this.startedTeams.push(team),
    });
    const table = new RoutingTable(createRouting(route));
    forwarder.routingTable = table;
    book.setServices(table.services);
    book.setDirectory(directory);
    streamVersions.setDirectory(directory);
    this.address = await this.listen(
      createServer((message, response) => {
        void forwarder.serve(message, response);
      }),
    );
  }

  private async startEndpoint(
    id: string,
    behaviour: Behaviour,
  ): Promise<string> {
    let count = 0;
    const server = createServer((message, response) => {
      let body = '';
      message.on('data', (part: Buffer) => (body += part.toString()));
      message.on('error', () => {});
      message.on('end', () => {
        const received = {endpoint: id, message, body, closed: false};
        this.received.push(received);
        response.on('close', () => {
          received.closed = !response.writableFinished;
        });
        behaviour(received, response, count++);
      });
    });
    this.endpointServers.set(id, server);
    return this.listen(server);
  }

  private listen(server: Server): Promise<string> {
    this.servers.push(server);
    return listenOnFreeAddress(server);
  }

  private stop(): void {
    void this.streamVersions?.stop();
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  private logger(): Logger {
    const record = (event: string, fields: Fields = {}) => {
      this.logLines.push({event, fields});
    };
    return {debug: record, info: record, warn: record, error: record};
  }
}

/** Returns an endpoint as a host knows it. */
export function createEndpoint(
  id: string,
  address: string,
  softwareVersion?: string,
): KnownEndpoint {
  const known = readyEndpoint({id, service: SERVICE, slots: 8});
  return {...known, entry: {...known.entry, address, softwareVersion}};
}

function createRouting(route: Route): RoutingConfiguration {
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

/** A store that cannot be reached. */
class UnreachableStore extends UnusedStore {
  override append(): Promise<number> {
    return Promise.reject(new StoreError('unreachable', 'no store'));
  }

  override async oldestOffset(): Promise<number> {
    throw new StoreError('unreachable', 'away');
  }
}

/** Returns the versions of streams as a host knows them that has no store. */
function loneStreamVersions(clock: Clock, logger: Logger): StreamVersions {
  return new StreamVersions({
    store: new UnreachableStore(),
    clock,
    logger,
    metrics: new Metrics(),
    catchUpWithEndpoints: () => Promise.resolve(true),
    link: {...NO_RECORDER, recorder: () => 'another host'},
  });
}

/** Returns the quarantine of a host that knows no other. */
function loneQuarantine(clock: Clock, logger: Logger): Quarantine {
  return new Quarantine({
    host: 'host-1',
    hosts: () => ['host-1'],
    clock,
    logger,
    metrics: new Metrics(),
    random: seededRandom(1),
    sendCrash: () => {},
    sendBegun: () => {},
    onChange: () => {},
    onBlocked: () => {},
    onEndpointCrashed: () => {},
  });
}
