/**
 * A stand-in for a plain service whose calls may not be repeated: it keeps a
 * ledger of what it ran. `PUT /control` sets its faults.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Socket} from 'node:net';

import * as z from 'zod';

import {readSettings} from '../source/settings/index.js';
import {reply, serve, type Received} from './server.js';

const settingsSchema = z.strictObject({
  listen: z.string(),
  name: z.string().default('service'),
  workMilliseconds: z.coerce.number().default(8),
  slots: z.coerce.number().default(16),
});

const faultsSchema = z.object({
  /** Requests that run and whose answers are lost. */
  loseAnswers: z.number().default(0),
  /** Requests that are refused with proof that they did not run. */
  refuse: z.number().default(0),
  delay: z.number().default(0),
  watchFor: z.array(z.string()).default([]),
});

interface Entry {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly idempotencyKey: string;
}

const settings = readSettings(
  process.argv.slice(2),
  process.env,
  settingsSchema,
);
let faults = faultsSchema.parse({});
const entries: Entry[] = [];
let reads = 0;
let keysSeen = 0;
let running = 0;

async function work(received: Received): Promise<void> {
  const {message, method, path, body, response} = received;
  if (faults.refuse > 0) {
    faults = {...faults, refuse: faults.refuse - 1};
    return reply(response, 503, {error: 'busy'}, {'x-not-run': 'true'});
  }
  running++;
  if (method === 'GET' || method === 'HEAD') reads++;
  else {
    const idempotencyKey = String(message.headers['idempotency-key'] ?? '');
    entries.push({method, path, body: body.toString(), idempotencyKey});
  }
  await delay(settings.workMilliseconds + faults.delay);
  running--;
  if (faults.loseAnswers > 0) {
    faults = {...faults, loseAnswers: faults.loseAnswers - 1};
    return void response.destroy();
  }
  reply(response, 200, {entry: entries.length, path});
}

async function handle(received: Received): Promise<void> {
  const {path, body, response} = received;
  if (path === '/load') {
    const {slots} = settings;
    return reply(response, 200, {state: 'warm', running, queued: 0, slots});
  }
  if (path === '/control') {
    faults = faultsSchema.parse({...faults, ...JSON.parse(body.toString())});
    return reply(response, 200, faults);
  }
  if (path === '/ledger')
    return reply(response, 200, {entries, reads, keysSeen});
  if (path.startsWith('/v1/attempts/')) return reply(response, 200, null);
  await work(received);
}

const server = await serve(settings.listen, handle);
server.on('connection', (socket: Socket) => {
  socket.on('data', (bytes: Buffer) => {
    if (faults.watchFor.some(key => bytes.includes(key))) keysSeen++;
  });
});
process.stdout.write('ready\n');
