/**
 * A stand-in for a model engine: it batches continuously, gives the running
 * requests a token each in turn, keeps finished streams for a while so that
 * they can be resumed, and reports its load. `PUT /control` sets its faults,
 * and `GET /ledger` tells what it ran.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import * as z from 'zod';

import {readSettings} from '../source/settings/index.js';
import {reply, serve, type Received} from './server.js';

const settingsSchema = z.strictObject({
  listen: z.string(),
  name: z.string().default('engine'),
  slots: z.coerce.number().default(8),
  coldSlots: z.coerce.number().default(1),
  coldMilliseconds: z.coerce.number().default(0),
  tokenMilliseconds: z.coerce.number().default(15),
  promptMilliseconds: z.coerce.number().default(40),
  cachedPrefixes: z.coerce.number().default(64),
  tokensLeast: z.coerce.number().default(12),
  tokensMost: z.coerce.number().default(60),
  seed: z.coerce.number().default(1),
});

const faultsSchema = z.object({
  slowdown: z.number().default(1),
  /** Refuse new requests with proof that they did not run. */
  refuse: z.boolean().default(false),
  /** Stop every connection that is open now, without closing it. */
  silence: z.boolean().default(false),
  /** Close every connection that is open now. */
  cut: z.boolean().default(false),
  /** Turn cold for so many milliseconds, without a report. */
  coldFor: z.number().default(0),
  leaving: z.boolean().default(false),
  /** Send every event twice, and a foreign one now and then. */
  doubled: z.boolean().default(false),
  /** Bytes to look for in everything that is received. */
  watchFor: z.array(z.string()).default([]),
});

interface Attempt {
  readonly id: string;
  readonly priority: number;
  readonly stream: boolean;
  readonly length: number;
  readonly model: string;
  readonly events: string[];
  nextTokenAt: number;
  startedAt: number;
  listener: ServerResponse | undefined;
  listenerAt: number;
  finishedAt: number;
}

const settings = readSettings(
  process.argv.slice(2),
  process.env,
  settingsSchema,
);
let faults = faultsSchema.parse({});
const random = xoroshiro128plus(settings.seed);
const sockets = new Set<Socket>();
const silenced = new WeakSet<Socket>();
const attempts = new Map<string, Attempt>();
const waiting: Attempt[] = [];
const running = new Set<Attempt>();
const cache = new Map<string, true>();
const ledger = {
  started: 0,
  finished: 0,
  cancelled: 0,
  tokens: 0,
  delivered: 0,
  coldMost: 0,
  whileLeaving: 0,
  keysSeen: 0,
  models: {} as Record<string, number>,
};
let coldUntil = performance.now() + settings.coldMilliseconds;

const KEPT_MILLISECONDS = 30_000;
const TICK_MILLISECONDS = 4;

function state(): 'cold' | 'warm' | 'leaving' {
  if (faults.leaving) return 'leaving';
  return performance.now() < coldUntil ? 'cold' : 'warm';
}

const promptSchema = z.looseObject({
  model: z.string(),
  stream: z.boolean().nullish(),
  max_tokens: z.number().nullish(),
  messages: z.array(z.looseObject({content: z.unknown()})),
});

function begin(received: Received): void {
  const {message, response, body} = received;
  const headers = {'x-endpoint-state': state()};
  if (faults.refuse) {
    const error = {error: {message: 'busy', type: 'overloaded', code: 'busy'}};
    return reply(response, 503, error, {...headers, 'x-not-run': 'true'});
  }
  const parsed = promptSchema.safeParse(JSON.parse(body.toString()));
  if (!parsed.success) {
    const error = {
      error: {message: 'bad prompt', type: 'invalid', code: 'bad'},
    };
    return reply(response, 400, error, headers);
  }
  const prompt = parsed.data;
  if (faults.leaving) ledger.whileLeaving++;
  ledger.models[prompt.model] = (ledger.models[prompt.model] ?? 0) + 1;
  const attempt = newAttempt(String(message.headers['x-attempt']), {
    priority: Number(message.headers['x-priority'] ?? 3),
    stream: prompt.stream ?? false,
    most: prompt.max_tokens ?? settings.tokensMost,
    model: prompt.model,
  });
  attempts.set(attempt.id, attempt);
  if (attempt.stream) listen(attempt, response, 0);
  else listenWhole(attempt, response);
  waiting.push(attempt);
  waiting.sort((one, other) => one.priority - other.priority);
  admit(JSON.stringify(prompt.messages[0]?.content ?? '').slice(0, 200));
}

function newAttempt(
  id: string,
  {
    priority,
    stream,
    most,
    model,
  }: {priority: number; stream: boolean; most: number; model: string},
): Attempt {
  const {tokensLeast, tokensMost} = settings;
  const spread = Math.max(tokensMost - tokensLeast, 1);
  const length = tokensLeast + (Math.abs(random.next()) % spread);
  return {
    id,
    priority,
    stream,
    length: Math.min(length, most),
    model,
    events: [],
    nextTokenAt: 0,
    startedAt: 0,
    listener: undefined,
    listenerAt: 0,
    finishedAt: 0,
  };
}

/** A cold engine runs what it is given; the ledger says if that was too much. */
function admit(prefix = ''): void {
  while (running.size < settings.slots) {
    const attempt = waiting.shift();
    if (!attempt) break;
    running.add(attempt);
    ledger.started++;
    const hit = cache.has(prefix);
    remember(prefix);
    const prompt = settings.promptMilliseconds * (hit ? 0.3 : 1);
    attempt.startedAt = performance.now();
    attempt.nextTokenAt = attempt.startedAt + prompt * faults.slowdown;
  }
  if (state() === 'cold') {
    ledger.coldMost = Math.max(ledger.coldMost, running.size + waiting.length);
  }
}

function remember(prefix: string): void {
  cache.delete(prefix);
  cache.set(prefix, true);
  const [oldest] = cache.keys();
  if (cache.size > settings.cachedPrefixes) cache.delete(oldest ?? '');
}

function tick(): void {
  const now = performance.now();
  const load = 1 + 0.3 * (running.size / settings.slots);
  const gap = settings.tokenMilliseconds * faults.slowdown * load;
  for (const attempt of running) {
    while (running.has(attempt) && attempt.nextTokenAt <= now) {
      attempt.nextTokenAt += gap;
      generate(attempt);
    }
  }
  for (const [id, {finishedAt}] of attempts) {
    if (finishedAt > 0 && now - finishedAt > KEPT_MILLISECONDS)
      attempts.delete(id);
  }
}

const WORDS = [
  'baccalà',
  'grazie',
  'traghetto',
  'munt',
  'pièce',
  'stampo',
  'isola',
];

function generate(attempt: Attempt): void {
  const {events, length, id, model} = attempt;
  ledger.tokens++;
  const finished = events.length + 1 >= length;
  const content = `${WORDS[events.length % WORDS.length]} `;
  const chunk = {
    id,
    object: 'chat.completion.chunk',
    created: 0,
    model,
    choices: [
      {index: 0, delta: {content}, finish_reason: finished ? 'stop' : null},
    ],
  };
  events.push(JSON.stringify(chunk));
  if (finished) finish(attempt);
  if (attempt.stream) flush(attempt);
}

function finish(attempt: Attempt): void {
  attempt.events.push('[DONE]');
  attempt.finishedAt = performance.now();
  running.delete(attempt);
  ledger.finished++;
  if (!attempt.stream) sendWhole(attempt);
  admit();
}

function listen(
  attempt: Attempt,
  response: ServerResponse,
  after: number,
): void {
  attempt.listener = response;
  attempt.listenerAt = after;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-endpoint-state': state(),
  });
  response.flushHeaders();
  flush(attempt);
}

function flush(attempt: Attempt): void {
  const {listener, events, id} = attempt;
  if (!listener || listener.destroyed) return;
  while (attempt.listenerAt < events.length) {
    const data = events[attempt.listenerAt];
    attempt.listenerAt++;
    const text = `id: ${id}:${attempt.listenerAt}\ndata: ${data}\n\n`;
    listener.write(
      faults.doubled
        ? `${text}id: other:${attempt.listenerAt}\ndata: {}\n\n${text}`
        : text,
    );
    ledger.delivered++;
    if (data === '[DONE]') listener.end();
  }
}

const wholeListeners = new Map<string, ServerResponse[]>();

function listenWhole(attempt: Attempt, response: ServerResponse): void {
  const listeners = wholeListeners.get(attempt.id) ?? [];
  wholeListeners.set(attempt.id, [...listeners, response]);
  if (attempt.finishedAt > 0) sendWhole(attempt);
}

function sendWhole(attempt: Attempt): void {
  const {id, model, events} = attempt;
  const tokens = events.length - 1;
  const content = events
    .slice(0, -1)
    .map((_, index) => WORDS[index % WORDS.length])
    .join(' ');
  const answer = {
    id,
    object: 'chat.completion',
    created: 0,
    model,
    choices: [
      {index: 0, message: {role: 'assistant', content}, finish_reason: 'stop'},
    ],
    usage: {
      prompt_tokens: 1,
      completion_tokens: tokens,
      total_tokens: tokens + 1,
    },
  };
  for (const response of wholeListeners.get(id) ?? []) {
    reply(response, 200, answer, {'x-endpoint-state': state()});
  }
  wholeListeners.delete(id);
}

function cancel(id: string): void {
  const attempt = attempts.get(id);
  if (!attempt || attempt.finishedAt > 0) return;
  ledger.cancelled++;
  attempt.finishedAt = performance.now();
  const index = waiting.indexOf(attempt);
  if (index >= 0) waiting.splice(index, 1);
  running.delete(attempt);
  admit();
}

function resume({path, query, response}: Received): void {
  const [, , , id = '', what] = path.split('/');
  const attempt = attempts.get(id);
  if (!attempt) {
    return reply(response, 404, null, {'x-not-run': 'true'});
  }
  if (what === 'answer') return listenWhole(attempt, response);
  listen(attempt, response, Number(query.get('after') ?? 0));
}

function control({body, response}: Received): void {
  faults = faultsSchema.parse({
    ...faults,
    silence: false,
    cut: false,
    coldFor: 0,
    ...(JSON.parse(body.toString()) as object),
  });
  if (faults.coldFor > 0) coldUntil = performance.now() + faults.coldFor;
  const mine = response.socket;
  for (const socket of sockets) {
    if (socket === mine) continue;
    if (faults.cut) socket.destroy();
    if (faults.silence) {
      silenced.add(socket);
      socket.pause();
      socket.write = () => true;
    }
  }
  reply(response, 200, faults);
}

function handle(received: Received): void {
  const {method, path, response} = received;
  if (path === '/v1/chat/completions') return begin(received);
  if (path === '/control') return control(received);
  if (path === '/ledger') return reply(response, 200, ledger);
  if (path === '/load') {
    const {slots} = settings;
    const report = {
      state: state(),
      running: running.size,
      queued: waiting.length,
      slots,
    };
    return reply(response, 200, report);
  }
  if (!path.startsWith('/v1/attempts/')) return reply(response, 404, null);
  if (method === 'GET') return resume(received);
  cancel(path.split('/')[3] ?? '');
  reply(response, 200, null);
}

const server = await serve(settings.listen, handle);
server.on('connection', (socket: Socket) => {
  sockets.add(socket);
  socket.on('close', () => sockets.delete(socket));
  socket.on('data', (bytes: Buffer) => {
    if (faults.watchFor.some(key => bytes.includes(key))) ledger.keysSeen++;
  });
});
setInterval(tick, TICK_MILLISECONDS);
process.stdout.write('ready\n');
