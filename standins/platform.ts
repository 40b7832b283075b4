/**
 * A stand-in for the platform: an append-only log with offsets and retention,
 * a lagging list of hosts, usage reports, endpoint orders and a weight store.
 * `PUT /control` sets its faults.
 */
import {setTimeout as delay} from 'node:timers/promises';

import * as z from 'zod';

import {
  endpointOrderSchema,
  hostEntrySchema,
  usageReportSchema,
} from '../source/platform/index.js';
import type {
  EndpointOrder,
  HostEntry,
  UsageReport,
} from '../source/platform/index.js';
import {readSettings} from '../source/settings/index.js';
import {reply, serve, type Received} from './server.js';

const settingsSchema = z.strictObject({
  listen: z.string().describe('Address to listen on.'),
  hostLagMilliseconds: z.coerce.number().default(300),
  hostExpiryMilliseconds: z.coerce.number().default(4_000),
  retention: z.coerce.number().default(1_000_000),
});

const faultsSchema = z.object({
  /** Answers nothing; connections are closed. */
  outage: z.boolean().default(false),
  /** Milliseconds before each answer of the log. */
  delay: z.number().default(0),
  /** Appends that take effect without an answer. */
  loseAnswers: z.number().default(0),
  /** Records that are kept. */
  retention: z.number().optional(),
});

interface Listed {
  readonly host: HostEntry;
  readonly at: number;
}

const settings = readSettings(
  process.argv.slice(2),
  process.env,
  settingsSchema,
);
let faults = faultsSchema.parse({});
const log: unknown[] = [];
let expired = 0;
let hosts: Listed[] = [];
const usage: UsageReport[] = [];
const orders: Array<EndpointOrder> = [];
const waiting: Array<() => void> = [];

function append(values: unknown[]): number {
  const offset = expired + log.length;
  log.push(...values);
  const kept = faults.retention ?? settings.retention;
  if (log.length > kept) expired += log.splice(0, log.length - kept).length;
  for (const wake of waiting.splice(0)) wake();
  return offset;
}

async function readLog({query, response}: Received): Promise<void> {
  const from = Number(query.get('from') ?? 0);
  const wait = Number(query.get('wait') ?? 0);
  if (from >= expired + log.length && wait > 0) await newRecord(wait);
  if (faults.outage) return void response.destroy();
  const start = Math.max(from, expired);
  const values = log.slice(start - expired, start - expired + 5_000);
  const entries = values.map((value, index) => ({
    offset: start + index,
    value,
  }));
  reply(response, 200, {entries, first: expired, end: expired + log.length});
}

function newRecord(wait: number): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, wait);
    waiting.push(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}

function appendLog({body, response}: Received): void {
  const offset = append(JSON.parse(body.toString()) as unknown[]);
  if (faults.loseAnswers > 0) {
    faults = {...faults, loseAnswers: faults.loseAnswers - 1};
    return void response.destroy();
  }
  reply(response, 200, {offset});
}

function putHost({body, response}: Received): void {
  const host = hostEntrySchema.parse(JSON.parse(body.toString()));
  hosts = hosts.filter(listed => listed.host.incarnation !== host.incarnation);
  hosts.push({host, at: Date.now()});
  reply(response, 200, null);
}

const firstSeen = new Map<string, number>();

function listHosts({response}: Received): void {
  const now = Date.now();
  hosts = hosts.filter(({at}) => now - at < settings.hostExpiryMilliseconds);
  const listed = hosts.filter(({host}) => {
    const seen = firstSeen.get(host.incarnation) ?? now;
    firstSeen.set(host.incarnation, seen);
    return now - seen >= settings.hostLagMilliseconds;
  });
  reply(
    response,
    200,
    listed.map(({host}) => host),
  );
}

async function handle(received: Received): Promise<void> {
  const {method, path, body, response} = received;
  if (path === '/control') {
    faults = faultsSchema.parse({...faults, ...JSON.parse(body.toString())});
    return reply(response, 200, faults);
  }
  if (path === '/ready') return reply(response, 200, true);
  if (faults.outage) return void response.destroy();
  if (faults.delay > 0) await delay(faults.delay);
  switch (`${method} ${path}`) {
    case 'POST /log':
      return appendLog(received);
    case 'GET /log':
      return readLog(received);
    case 'PUT /hosts':
      return putHost(received);
    case 'GET /hosts':
      return listHosts(received);
    case 'POST /usage-reports':
      usage.push(usageReportSchema.parse(JSON.parse(body.toString())));
      return reply(response, 200, null);
    case 'GET /usage-reports':
      return reply(response, 200, usage);
    case 'POST /endpoint-orders':
      orders.push(endpointOrderSchema.parse(JSON.parse(body.toString())));
      return reply(response, 200, null);
    case 'GET /endpoint-orders':
      return reply(response, 200, orders);
    default:
      return reply(response, 404, null);
  }
}

await serve(settings.listen, handle);
process.stdout.write('ready\n');
