/**
 * What one host of a large fleet on the users' platform costs: a real daemon
 * before stand-ins of the store and of engines, with callers and with the word
 * of many other hosts. Prints its processor time a request, and by `--profile`
 * the functions that take most of it.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer, type ServerResponse} from 'node:http';
import {
  createServer as createSink,
  type AddressInfo,
  type Server,
} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import * as z from 'zod';

import {readSettings} from '../source/settings/index.js';
import {Site} from '../standins/site.js';
import {EdgeCallers, KEY, KINDS, MODEL, PLAIN, TEAM} from './edgecallers.js';
import {startPeers} from './edgepeers.js';
import {freeAddress} from './ports.js';
import {readProcess} from './process.js';
import {profileTable} from './profile.js';

const settingsSchema = z.strictObject({
  hosts: z.coerce.number().default(61),
  endpoints: z.coerce.number().default(98),
  /** Requests a second; 0 for none. */
  rate: z.coerce.number().default(9.3),
  /** Slots of an engine; with few, requests are queued at the host. */
  slots: z.coerce.number().default(16),
  seconds: z.coerce.number().default(20),
  /** Seconds before the first reading. */
  settle: z.coerce.number().default(6),
  profile: z.stringbool().default(false),
});
const settings = readSettings(process.argv.slice(2), {}, settingsSchema);

const PROGRAM = 'dist/arbutusslip-edge.js';
const EVENT_MILLISECONDS = 47;
/** Requests that an engine says it runs, where it has so many slots. */
const RUNNING_TOLD = 3;
const EVENT = `data: ${'x'.repeat(70)}\n\n`;
const servers: Server[] = [];

async function listenOn(server: Server): Promise<string> {
  servers.push(server);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** An endpoint that answers as many events as the request asks for. */
function endpoint(): Server {
  const running = Math.min(RUNNING_TOLD, settings.slots - 1);
  return createServer((message, response) => {
    message.resume();
    message.on('end', () => {
      const events = Number(message.headers['x-length-hint'] ?? 0);
      response.writeHead(200, {
        'x-attempt-id': String(message.headers['x-attempt-id']),
        'x-response-seal': 'seal',
        'x-server-load': `${running},0,${settings.slots}`,
        ...(events > 0 ? {'content-type': 'text/event-stream'} : {}),
      });
      if (events > 0) stream(response, 0, events);
      else response.end('x'.repeat(800));
    });
  });
}

function stream(response: ServerResponse, sent: number, events: number): void {
  if (sent === events) return void response.end();
  response.write(`id: ${sent + 1}\n${EVENT}`);
  setTimeout(() => stream(response, sent + 1, events), EVENT_MILLISECONDS);
}

function configure(site: Site): void {
  site.put('keyed.op', 'config', {
    version: 1,
    routes: KINDS.map(({name, service, events}) => ({
      name,
      host: 'phrases.example',
      pathPrefix: `/${name}/`,
      kind: events > 0 ? 'streaming' : 'idempotent',
      timeoutMs: 4_000,
      sloMs: 500,
      gapSloMs: 500,
      priority: 1,
      service,
      maxAttempts: 2,
    })),
    services: [
      {name: MODEL, engine: {slots: settings.slots, kvCapacity: 314_653}},
      {name: PLAIN},
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: TEAM, apiKeys: [KEY]}],
  });
}

async function enterEndpoints(site: Site): Promise<string[]> {
  const ids: string[] = [];
  for (let index = 0; index < settings.endpoints + 3; index++) {
    const plain = index >= settings.endpoints;
    const id = `i-${index.toString(16).padStart(10, '0')}`;
    site.put('keyed.servers', id, {
      service: plain ? PLAIN : MODEL,
      address: await listenOn(endpoint()),
      zone: ['palermo', 'catania', 'siracusa'][index % 3],
      slots: plain ? 6 : settings.slots,
      state: 'ready',
      born: 1_000,
    });
    ids.push(id);
  }
  return ids;
}

const round = (value: number) => Math.round(value * 100) / 100;

const pause = (seconds: number) =>
  new Promise(resolve => setTimeout(resolve, seconds * 1_000));

const site = new Site();
await site.start();
configure(site);
const ids = await enterEndpoints(site);
const sink = await listenOn(createSink(socket => socket.resume()));
const folder = mkdtempSync(join(tmpdir(), 'arbutusslip-cost-'));
const [callers, readiness, control] = await Promise.all([
  freeAddress(),
  freeAddress(),
  freeAddress(),
]);
writeFileSync(
  join(folder, 'settings.json'),
  JSON.stringify({
    nodeId: 'host-1',
    zone: 'palermo',
    zones: {palermo: 'sicilia', catania: 'sicilia', siracusa: 'sicilia'},
    listen: {front: callers, readiness, control},
    limits: {memoryMb: 250},
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
  }),
);
const flags = settings.profile
  ? ['--cpu-prof', '--cpu-prof-interval=250', `--cpu-prof-dir=${folder}`]
  : [];
const host = spawn(process.execPath, [...flags, PROGRAM], {
  env: {ARBUTUSSLIP_BOOT: join(folder, 'settings.json')},
  stdio: ['ignore', 'ignore', 'inherit'],
});
const ended = new Promise(resolve => host.once('exit', resolve));
await pause(1);
const {pid = 0} = host;
const start = readProcess(pid);
startPeers(control, {...settings, ids, sink});
const edge = new EdgeCallers(callers);
if (settings.rate > 0) setInterval(() => edge.ask(), 1_000 / settings.rate);
await pause(settings.settle);
const before = readProcess(pid);
const {answered, failed} = edge;
await pause(settings.seconds);
const after = readProcess(pid);
const processor = after.processor - before.processor;
const bytes = after.bytes - before.bytes;
const count = edge.answered - answered;
console.log(
  JSON.stringify({
    startSeconds: start.processor,
    percentOfCore: round((processor / settings.seconds) * 100),
    millisecondsPerRequest: round((processor / count) * 1_000),
    answered: count,
    failed: edge.failed - failed,
    kilobytesPerSecond: round(bytes / settings.seconds / 1_000),
    residentMegabytes: Math.round(after.residentMegabytes),
  }),
);
host.kill('SIGTERM');
await ended;
if (settings.profile) {
  const file = readdirSync(folder).find(name => name.endsWith('.cpuprofile'));
  const text = readFileSync(join(folder, file ?? ''), 'utf8');
  console.log(profileTable(text));
}
process.exit(0);
