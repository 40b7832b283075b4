/**
 * The memory of one host on the users' platform beside callers that all send large
 * bodies, before endpoints that read them and before some that do not; with what
 * becomes of their requests, and of small reads beside them. The callers, and the
 * reads with their endpoint, have processes of their own.
 */
import {fork, spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer, request} from 'node:http';
import {createServer as createDeafServer, type AddressInfo} from 'node:net';
import type {Server} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import * as z from 'zod';

import {readSettings} from '../source/settings/index.js';
import {Site} from '../standins/site.js';
import {freeAddress} from './ports.js';
import {readProcess} from './process.js';

const PROGRAM = 'dist/arbutusslip-edge.js';
/** The flags of deploy/system.toml. */
const NODE_FLAGS = ['--max-old-space-size=96', '--max-semi-space-size=2'];
const HOST = 'phrases.example';
const KEY = 'key';
const LARGE = 'large';
const SMALL = 'small';
const DEADLINE_MILLISECONDS = 6_000;
const SERVICE_MILLISECONDS = 50;
const READ_INTERVAL_MILLISECONDS = 20;
const SAMPLE_MILLISECONDS = 20;
/** Seconds of reads before the callers begin. */
const CALM_SECONDS = 3;
const ENDPOINTS = 4;
const SLOTS = 16;

const settingsSchema = z.strictObject({
  role: z.enum(['measure', 'callers', 'reads']).default('measure'),
  /** Address of the host, for the other roles. */
  host: z.string().default(''),
  callers: z.coerce.number().default(60),
  seconds: z.coerce.number().default(10),
  /** Bytes of each body. */
  body: z.coerce.number().default(4_194_304),
  /** Megabytes. */
  memory: z.coerce.number().default(350),
  /** Whether the endpoints read nothing. */
  deaf: z.stringbool().default(false),
});
const settings = readSettings(process.argv.slice(2), {}, settingsSchema);

const pause = (seconds: number) =>
  new Promise(resolve => setTimeout(resolve, seconds * 1_000));

async function listenOn(server: Server): Promise<string> {
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Connections that ended without an answer, by the code of their error. */
const errors: Record<string, number> = {};

/** The status of one request; 0 where it has no whole answer. */
function ask(path: string, id: string, body?: Buffer): Promise<number> {
  return new Promise(resolve => {
    const sent = request(
      `http://${settings.host}${path}`,
      {
        method: body ? 'POST' : 'GET',
        agent: false,
        headers: {
          host: HOST,
          authorization: `Bearer ${KEY}`,
          'x-attempt-id': id,
          'x-deadline-ms': String(DEADLINE_MILLISECONDS),
          ...(body ? {'content-length': body.length} : {}),
        },
      },
      message => {
        message.resume();
        message.on('error', () => resolve(0));
        message.on('close', () => {
          resolve(message.complete ? (message.statusCode ?? 0) : 0);
          sent.destroy();
        });
      },
    );
    sent.on('error', error => {
      const code = (error as NodeJS.ErrnoException).code ?? 'none';
      errors[code] = (errors[code] ?? 0) + 1;
      resolve(0);
    });
    sent.end(body);
  });
}

/** Callers that each send one body after the other. */
async function sendBodies(): Promise<void> {
  const body = Buffer.alloc(settings.body, 'x');
  const statuses: Record<string, number> = {};
  let slowest = 0;
  const end = performance.now() + settings.seconds * 1_000;
  const callers = Array.from({length: settings.callers}, async (_, caller) => {
    for (let count = 0; performance.now() < end; count++) {
      const sentAt = performance.now();
      const status = await ask('/large/1', `${caller}-${count}`, body);
      statuses[status] = (statuses[status] ?? 0) + 1;
      slowest = Math.max(slowest, performance.now() - sentAt);
    }
  });
  await Promise.all(callers);
  process.send?.({statuses, errors, slowest: Math.round(slowest)});
}

/** Reads at an interval, before and beside the callers. */
async function readRegularly(): Promise<void> {
  const endpoint = createServer((message, response) => {
    message.resume();
    response.writeHead(200, {
      'x-attempt-id': String(message.headers['x-attempt-id']),
      'x-response-seal': 'seal',
    });
    response.end('read');
  });
  process.send?.({address: await listenOn(endpoint)});
  await new Promise(resolve => process.once('message', resolve));
  const calm = await timesOfReads(CALM_SECONDS, 'calm');
  process.send?.({calm: true});
  const beside = await timesOfReads(settings.seconds, 'beside');
  process.send?.({
    calmMedian: quantile(calm, 0.5),
    median: quantile(beside, 0.5),
    p95: quantile(beside, 0.95),
    failedReads: beside.filter(time => time === Infinity).length,
    reads: beside.length,
  });
}

async function timesOfReads(seconds: number, name: string): Promise<number[]> {
  const times: Array<Promise<number>> = [];
  const read = async () => {
    const sentAt = performance.now();
    const status = await ask('/small/1', `${name}-${times.length}`);
    return status === 200 ? performance.now() - sentAt : Infinity;
  };
  const timer = setInterval(
    () => times.push(read()),
    READ_INTERVAL_MILLISECONDS,
  );
  await pause(seconds);
  clearInterval(timer);
  return Promise.all(times);
}

function quantile(times: readonly number[], share: number): number {
  const sorted = [...times].sort((one, other) => one - other);
  return Math.round((sorted[Math.floor(sorted.length * share)] ?? 0) * 10) / 10;
}

/** Ids of requests that endpoints have run, and how many they ran again. */
const ran = new Set<string>();
let ranTwice = 0;

/** Records a run; health checks and questions for reports are none. */
function recordRun(id: string, url: string): void {
  if (!url.startsWith(`/${LARGE}/`)) return;
  if (ran.has(id)) ranTwice++;
  ran.add(id);
}

/** Starts an endpoint for large bodies. */
function startEndpoint(): Promise<string> {
  if (settings.deaf) {
    const deaf = createDeafServer({pauseOnConnect: true}, socket =>
      socket.on('error', () => {}),
    );
    return listenOn(deaf);
  }
  const server = createServer((message, response) => {
    message.resume();
    message.on('error', () => {});
    message.on('end', () => {
      const id = String(message.headers['x-attempt-id']);
      recordRun(id, message.url ?? '');
      response.writeHead(200, {
        'x-attempt-id': id,
        'x-response-seal': 'seal',
      });
      setTimeout(() => response.end('done'), SERVICE_MILLISECONDS);
    });
  });
  return listenOn(server);
}

function enter(site: Site, service: string, index: number, address: string) {
  site.put('keyed.servers', `${service}-${index}`, {
    service,
    address,
    zone: 'palermo',
    slots: SLOTS,
    state: 'ready',
    born: 1_000,
  });
}

function configure(site: Site): void {
  site.put('keyed.op', 'config', {
    version: 1,
    routes: [LARGE, SMALL].map(name => ({
      name,
      host: HOST,
      pathPrefix: `/${name}/`,
      kind: name === LARGE ? 'non_idempotent' : 'idempotent',
      timeoutMs: DEADLINE_MILLISECONDS,
      sloMs: 500,
      priority: 1,
      service: name,
      maxAttempts: name === LARGE ? 1 : 2,
    })),
    services: [{name: LARGE}, {name: SMALL}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'guides', apiKeys: [KEY]}],
  });
}

/** Starts this program in another role. */
function start(role: string, host: string): ChildProcess {
  const {callers, seconds, body} = settings;
  return fork(fileURLToPath(import.meta.url), [
    `--role=${role}`,
    `--host=${host}`,
    `--callers=${callers}`,
    `--seconds=${seconds}`,
    `--body=${body}`,
  ]);
}

function messageOf<T>(child: ChildProcess): Promise<T> {
  return new Promise(resolve => child.once('message', resolve as never));
}

async function startHost(site: Site): Promise<[ChildProcess, string]> {
  const folder = mkdtempSync(join(tmpdir(), 'arbutusslip-memory-'));
  const path = join(folder, 'settings.json');
  const [front, readiness, control] = await Promise.all(
    [0, 1, 2].map(() => freeAddress()),
  );
  const file = {
    nodeId: 'host-1',
    zone: 'palermo',
    zones: {palermo: 'sicilia'},
    listen: {front, readiness, control},
    limits: {memoryMb: settings.memory},
    bounds: {
      graceS: 8,
      drainMs: 3_000,
      retryRatio: 0.2,
      retryWindowS: 10,
      retrySlack: 162,
      leaseMs: 3_000,
      usageWindowS: 5,
      usageLateS: 10,
    },
    platform: {address: site.address},
    cloudApi: {address: site.address, duties: ['usage_report']},
  };
  writeFileSync(path, JSON.stringify(file));
  const host = spawn(process.execPath, [...NODE_FLAGS, PROGRAM], {
    env: {ARBUTUSSLIP_BOOT: path},
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  return [host, front ?? ''];
}

/** Samples the memory of a process; the result is the most and the last one. */
function watchMemory(pid: number): () => {peak: number; last: number} {
  let peak = 0;
  let last = 0;
  const timer = setInterval(() => {
    last = Math.round(readProcess(pid).residentMegabytes);
    peak = Math.max(peak, last);
  }, SAMPLE_MILLISECONDS);
  return () => {
    clearInterval(timer);
    return {peak, last};
  };
}

async function measure(): Promise<void> {
  const site = new Site();
  await site.start();
  configure(site);
  for (let index = 0; index < ENDPOINTS; index++)
    enter(site, LARGE, index, await startEndpoint());
  const [host, address] = await startHost(site);
  const reads = start('reads', address);
  const {address: endpoint} = await messageOf<{address: string}>(reads);
  enter(site, SMALL, 0, endpoint);
  await pause(2);
  const stop = watchMemory(host.pid ?? 0);
  const isCalm = messageOf(reads);
  reads.send('begin');
  await isCalm;
  const ofReads = messageOf<object>(reads);
  const callers = start('callers', address);
  const ofCallers = await messageOf<object>(callers);
  const {callers: count, deaf, memory} = settings;
  const result = {callers: count, deaf, memory, ...ofCallers};
  console.log(
    JSON.stringify({
      ...result,
      ...(await ofReads),
      ranTwice,
      residentMegabytes: stop(),
      exitCode: host.exitCode,
    }),
  );
  for (const child of [host, reads, callers]) child.kill('SIGKILL');
  process.exit(0);
}

if (settings.role === 'callers') await sendBodies();
else if (settings.role === 'reads') await readRegularly();
else await measure();
