/** Endpoints over HTTP, as docs/endpoints.md describes them. */
import {
  Agent,
  request,
  type IncomingMessage,
  type RequestOptions,
} from 'node:http';
import {connect, type Socket} from 'node:net';

import * as z from 'zod';

import type {CancellationSignal} from '../cancellation/index.js';
import type {Endpoint} from '../configuration/index.js';
import {connectShortage, openDescriptors} from '../descriptors/index.js';
import {WireError} from '../errors/index.js';
import {
  abandonRequest,
  callJson,
  GuardedKeepAliveAgent,
  isFinalStatus,
  partsOf,
  readPacer,
  watchWholeness,
} from '../wire/index.js';
import {
  EndpointAdapter,
  loadReportSchema,
  type Answer,
  type LoadReport,
  type Order,
} from './adapter.js';

/** Time bounds, in milliseconds. */
export interface AdapterBounds {
  readonly connect: number;
  readonly firstByte: number;
  /** Longest silence before the connection is doubted. */
  readonly silence: number;
}

/** A request that is sent for an attempt. */
interface SentRequest {
  readonly attempt: string;
  readonly options: RequestOptions;
  readonly body?: Uint8Array;
  /** Milliseconds to wait for the head of the answer. */
  readonly firstByte: number;
}

const CONTROL_BOUND_MILLISECONDS = 1_000;
const IDLE_BOUND_MILLISECONDS = 4_000;
/** Names the attempt; endpoints echo it. */
const ATTEMPT_HEADER = 'x-attempt';
const ANSWER_HEADERS = [
  'content-type',
  'content-language',
  'content-encoding',
  'etag',
  'location',
  'cache-control',
  'retry-after',
];

/**
 * Endpoints by the addresses of the configuration.
 *
 * ```ts
 * const adapter = new HttpEndpointAdapter(bounds);
 * const answer = await adapter.send(endpoint, order, signal);
 * ```
 */
export class HttpEndpointAdapter extends EndpointAdapter {
  private readonly agents = new Map<string, GuardedKeepAliveAgent>();
  private readonly controlAgent = new Agent({
    keepAlive: true,
    timeout: IDLE_BOUND_MILLISECONDS,
  });

  constructor(private readonly bounds: AdapterBounds) {
    super();
  }

  override async send(
    endpoint: Endpoint,
    order: Order,
    signal: CancellationSignal,
  ): Promise<Answer> {
    const options: RequestOptions = {
      method: order.method,
      path: order.path,
      headers: {
        ...order.headers,
        'content-length': String(order.body.length),
        [ATTEMPT_HEADER]: order.attempt,
        'x-priority': String(order.priority),
      },
    };
    const firstByte = order.newConnection
      ? this.bounds.firstByte
      : this.bounds.silence;
    if (!order.newConnection) {
      const agent = this.agent(endpoint);
      return this.exchange(
        endpoint,
        {...order, options: {...options, agent}, firstByte},
        signal,
      );
    }
    const socket = await this.connected(endpoint, signal);
    const fresh = {...options, createConnection: () => socket};
    return this.exchange(
      endpoint,
      {...order, options: fresh, firstByte},
      signal,
    );
  }

  override async resume(
    endpoint: Endpoint,
    attempt: string,
    after: number | 'whole',
    signal: CancellationSignal,
  ): Promise<Answer> {
    const socket = await this.connected(endpoint, signal);
    const what = after === 'whole' ? 'answer' : `events?after=${after}`;
    const path = `/v1/attempts/${attempt}/${what}`;
    const options = {method: 'GET', path, createConnection: () => socket};
    const {firstByte} = this.bounds;
    return this.exchange(endpoint, {attempt, options, firstByte}, signal);
  }

  override async cancel(endpoint: Endpoint, attempt: string): Promise<void> {
    await this.control(
      endpoint,
      'DELETE',
      `/v1/attempts/${attempt}`,
      z.unknown(),
    );
  }

  override load(endpoint: Endpoint): Promise<LoadReport> {
    return this.control(endpoint, 'GET', '/load', loadReportSchema);
  }

  override renewConnections(endpoint: Endpoint): void {
    const agent = this.agents.get(endpoint.address);
    this.agents.delete(endpoint.address);
    for (const sockets of Object.values(agent?.freeSockets ?? {})) {
      // eslint-disable-next-line no-restricted-syntax -- idle
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private control<Schema extends z.ZodType>(
    {address}: Endpoint,
    method: string,
    path: string,
    schema: Schema,
  ): Promise<z.infer<Schema>> {
    const bound = CONTROL_BOUND_MILLISECONDS;
    const agent = this.controlAgent;
    return callJson({address, method, path, bound, agent}, schema);
  }

  private agent({address}: Endpoint): GuardedKeepAliveAgent {
    const existing = this.agents.get(address);
    if (existing) return existing;
    const agent = new GuardedKeepAliveAgent();
    this.agents.set(address, agent);
    return agent;
  }

  /** A socket that the endpoint has accepted, so that a write reaches it. */
  private connected(
    {address}: Endpoint,
    signal: CancellationSignal,
  ): Promise<Socket> {
    return new Promise((resolve, reject) => {
      const {host, port} = partsOf(address);
      const socket = connect({host, port, noDelay: true});
      openDescriptors.addSocket('endpoints', socket);
      readPacer.pace(socket);
      const timer = setTimeout(() => fail('timed out'), this.bounds.connect);
      const fail = (detail: string) => {
        clearTimeout(timer);
        stopWatching();
        // eslint-disable-next-line no-restricted-syntax -- nothing was written
        socket.destroy();
        reject(new WireError('connect', `${address} ${detail}`));
      };
      const failed = (error: Error) => {
        connectShortage(error);
        fail(error.message);
      };
      socket.once('error', failed);
      socket.once('connect', () => {
        clearTimeout(timer);
        stopWatching();
        socket.removeListener('error', failed);
        resolve(socket);
      });
      const stopWatching = signal.onAbort(() => fail('aborted'));
    });
  }

  private boundConnect(socket: Socket, connected: () => void): void {
    const bound = setTimeout(
      // eslint-disable-next-line no-restricted-syntax -- nothing was written
      () => socket.destroy(new Error('timed out')),
      this.bounds.connect,
    );
    socket.once('close', () => clearTimeout(bound));
    socket.once('connect', () => {
      clearTimeout(bound);
      connected();
    });
  }

  private exchange(
    {address}: Endpoint,
    {attempt, options, body, firstByte}: SentRequest,
    signal: CancellationSignal,
  ): Promise<Answer> {
    return new Promise((resolve, reject) => {
      let connecting = false;
      const outgoing = request({...options, ...partsOf(address)}, message => {
        clearTimeout(timer);
        stopWatching();
        const {reusedSocket} = outgoing;
        const isAnswer =
          isFinalStatus(message.statusCode ?? 0) &&
          isForAttempt(message, attempt, reusedSocket);
        if (isAnswer) return resolve(answerOf(message, reusedSocket));
        abandonRequest(outgoing);
        const detail = `${address} sends no answer to the request`;
        reject(new WireError('malformed', detail));
      });
      const timer = setTimeout(() => {
        const stage = connecting ? 'connect' : 'first-byte';
        reject(new WireError(stage, `${address} silent`));
        abandonRequest(outgoing);
      }, firstByte);
      const stopWatching = signal.onAbort(() => abandonRequest(outgoing));
      outgoing.once('socket', socket => {
        if (!socket.connecting) return;
        connecting = true;
        this.boundConnect(socket, () => (connecting = false));
      });
      outgoing.on('error', error => {
        clearTimeout(timer);
        stopWatching();
        const stage = connecting ? 'connect' : 'write';
        reject(new WireError(stage, `${address} ${error.message}`));
      });
      outgoing.end(body);
    });
  }
}

/**
 * Whether an answer is for this attempt and not an earlier one that a faulty
 * endpoint repeats. A refusal that names no attempt proves nothing on a
 * connection that has carried others.
 */
function isForAttempt(
  {headers}: IncomingMessage,
  attempt: string,
  isReused: boolean,
): boolean {
  const named = headers[ATTEMPT_HEADER];
  if (named !== undefined) return named === attempt;
  return !isReused || !statesNotRun(headers);
}

function statesNotRun(headers: IncomingMessage['headers']): boolean {
  return headers['x-not-run'] === 'true';
}

function answerOf(message: IncomingMessage, reused: boolean): Answer {
  const headers: Record<string, string> = {};
  for (const name of ANSWER_HEADERS) {
    const value = message.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  return {
    status: message.statusCode ?? 0,
    headers,
    state: stateOf(message.headers['x-endpoint-state']),
    notRun: statesNotRun(message.headers),
    reused,
    body: message,
    isWhole: watchWholeness(message),
  };
}

function stateOf(header: string | string[] | undefined): Answer['state'] {
  const known = loadReportSchema.shape.state.safeParse(header);
  return known.success ? known.data : undefined;
}
