/** The platform over HTTP and JSON, as docs/platform.md describes it. */
import {Agent} from 'node:http';

import * as z from 'zod';

import {callGuarded, callJson} from '../wire/index.js';
import {
  hostEntrySchema,
  Platform,
  type HostEntry,
  type UsageReport,
  endpointOrderSchema,
  type EndpointOrder,
} from './platform.js';
import type {LogPage, LogRecord} from './record.js';

const CALL_BOUND_MILLISECONDS = 2000;

const appendAnswerSchema = z.object({offset: z.number().int()});

const pageSchema = z.object({
  entries: z.array(z.object({offset: z.number().int(), value: z.unknown()})),
  first: z.number().int(),
  end: z.number().int(),
});

/**
 * The platform behind an address.
 *
 * ```ts
 * const platform = new HttpPlatform('127.0.0.1:7000');
 * const offset = await platform.append([record]);
 * ```
 */
export class HttpPlatform extends Platform {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 8});

  constructor(private readonly address: string) {
    super();
  }

  override async append(records: readonly LogRecord[]): Promise<number> {
    const {offset} = await this.call(
      'POST',
      '/log',
      appendAnswerSchema,
      records,
    );
    return offset;
  }

  override read(from: number, wait: number): Promise<LogPage> {
    const path = `/log?from=${from}&wait=${wait}`;
    return this.call('GET', path, pageSchema, undefined, wait);
  }

  override hosts(): Promise<HostEntry[]> {
    return this.call('GET', '/hosts', z.array(hostEntrySchema));
  }

  override async announce(host: HostEntry): Promise<void> {
    await this.call('PUT', '/hosts', z.unknown(), host);
  }

  override reportUsage(
    report: UsageReport,
    mayAct: () => boolean,
  ): Promise<boolean> {
    return this.order('/usage-reports', report, mayAct);
  }

  override orderEndpoints(
    order: EndpointOrder,
    mayAct: () => boolean,
  ): Promise<boolean> {
    return this.order('/endpoint-orders', order, mayAct);
  }

  override async endpointOrder(
    zone: string,
    pool: string,
  ): Promise<EndpointOrder | undefined> {
    const path = '/endpoint-orders';
    const orders = await this.call('GET', path, z.array(endpointOrderSchema));
    return orders.findLast(order => order.zone === zone && order.pool === pool);
  }

  private order(
    path: string,
    body: unknown,
    mayAct: () => boolean,
  ): Promise<boolean> {
    const bound = CALL_BOUND_MILLISECONDS;
    const {address} = this;
    return callGuarded({address, method: 'POST', path, body, bound}, mayAct);
  }

  private call<Schema extends z.ZodType>(
    method: string,
    path: string,
    schema: Schema,
    body?: unknown,
    extra = 0,
  ): Promise<z.infer<Schema>> {
    const bound = CALL_BOUND_MILLISECONDS + extra;
    const {address, agent} = this;
    return callJson({address, method, path, body, bound, agent}, schema);
  }
}
