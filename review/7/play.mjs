/**
 * Machines whose seeds are gone for good do not find each other again after they
 * were restarted, though their settings soon name other seeds. Counts the requests
 * in a second that an engine gets of all machines while it is cold, and what is lost
 * as engines crash.
 */
import {Agent, request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {
  BOUNDS,
  CloudApi,
  Engine,
  Host,
  LIMITS,
  partsOf,
  Record,
  sleep,
  Store,
} from '../support-2/standins.mjs';

/** `TROUBLE=cold` leaves the kill out, and `TROUBLE=0` the cold engines too. */
const {TROUBLE} = process.env;
const HAS_KILL = TROUBLE !== '0' && TROUBLE !== 'cold';
const HAS_COLD = TROUBLE !== '0';
const SERVICE = 'kiosk-assist';
const KEY = 'xd9dnn2ctnfzs989anu6';
const COLD_PER_SECOND = 12;
const COLD_SECONDS = 3;
const {coldOvershoot, coldSlack, seedLagS} = BOUNDS;
/** FAILBACK: more than that in one second breaks the rule. */
const MOST_IN_A_SECOND = COLD_PER_SECOND * coldOvershoot + coldSlack;
const MACHINES = 6;
const SEEDS = 3;
const ENGINES = 2;
/** As the sheet has them: the two streaming kinds together. */
const REQUESTS_PER_SECOND = 60;
const RUN_MILLISECONDS = 300;
const DEADLINE_MILLISECONDS = 10_000;
/** Eight times the longest pause: how long a caller waits for the first event. */
const PATIENCE_MILLISECONDS = 2_400;
const RESTART_MILLISECONDS = 500;
/** `cold_return`: how long the engines of the zone are down. */
const DOWN_MILLISECONDS = 2_000;
const CRASH_MILLISECONDS = 1_000;
const CONTACT_MILLISECONDS = 3_000;
const PLAY_MILLISECONDS = 12_000;

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'coin-query',
      host: 'ficu95.example',
      pathPrefix: '/pufi791/',
      kind: 'streaming',
      timeoutMs: 10_000,
      sloMs: 300,
      gapSloMs: 300,
      priority: 0,
      service: SERVICE,
      maxAttempts: 1,
      public: false,
      sticky: true,
      resumable: false,
    },
  ],
  services: [
    {
      name: SERVICE,
      healthPath: '/health',
      coldS: COLD_SECONDS,
      coldPerS: COLD_PER_SECOND,
    },
  ],
  limits: LIMITS,
  tenants: [{name: 'huka270', apiKeys: [KEY], priority: 1}],
};

const record = new Record('record.txt');
const store = new Store();
const cloud = new CloudApi();
const hosts = [];
const engines = [];
/** The machines that the settings name as seeds. */
let seedHosts = [];
const results = new Map();
let sent = 0;
let lost = 0;
let most = 0;

/** An engine that is cold for some seconds after a start, and crashes if pressed. */
class ColdEngine extends Engine {
  constructor(id) {
    super({id, service: SERVICE});
    this.coldUntil = 0;
    this.recent = [];
    this.running = new Set();
    this.work = (message, response) => this.run(message, response);
  }

  async run(message, response) {
    message.resume();
    this.countArrival(response.attempt);
    if (this.isDown) return;
    this.running.add(response);
    await sleep(RUN_MILLISECONDS);
    if (!this.running.delete(response)) return;
    this.answer(response, 'id: 1\ndata: x\n\n');
  }

  countArrival(attempt) {
    const now = performance.now();
    if (now >= this.coldUntil) return;
    this.recent = [...this.recent.filter(at => now - at < 1000), now];
    most = Math.max(most, this.recent.length);
    if (this.recent.length <= MOST_IN_A_SECOND) return;
    record.line(
      `engine ${this.id}: ${this.recent.length} requests in a second, cold; crashes with ${attempt}`,
    );
    this.goDown(CRASH_MILLISECONDS);
  }

  /** Ends, with all that it runs, and comes back cold. */
  goDown(milliseconds) {
    this.shut();
    if (this.running.size > 0)
      record.line(`engine ${this.id}: ${this.running.size} requests are lost`);
    lost += this.running.size;
    this.running.clear();
    setTimeout(() => void this.comeBack(), milliseconds).unref();
  }

  async comeBack() {
    await this.reopen();
    this.recent = [];
    this.coldUntil = performance.now() + COLD_SECONDS * 1000;
    this.beat();
    record.line(`engine ${this.id}: is back, cold for ${COLD_SECONDS} s`);
  }
}

function isServing(host) {
  return host.process?.exitCode === null && host.process.signalCode === null;
}

/** Sends one request to one of the machines that are ready. */
function sendOne(ready) {
  const host = ready[sent++ % ready.length];
  const attempt = `a${sent}`;
  const {host: address, port} = partsOf(host.front);
  host.agent ??= new Agent({keepAlive: true});
  const call = request(
    {
      host: address,
      port,
      agent: host.agent,
      method: 'POST',
      path: '/pufi791/2f',
      headers: {
        host: 'ficu95.example',
        'x-attempt-id': attempt,
        'x-deadline-ms': String(DEADLINE_MILLISECONDS),
        'x-model': 'm',
        'x-token-counts': '628,294',
        'x-prefix-hash': `5c1e07a2:198,${sent.toString(16)}:430`,
        authorization: `Bearer ${KEY}`,
        'content-length': 0,
      },
    },
    message => {
      const {statusCode} = message;
      results.set(statusCode, (results.get(statusCode) ?? 0) + 1);
      message.on('error', () => {});
      message.resume();
      clearTimeout(patience);
    },
  );
  const patience = setTimeout(() => call.destroy(), PATIENCE_MILLISECONDS);
  call.on('error', () => results.set('cut', (results.get('cut') ?? 0) + 1));
  call.end();
}

/** Kills all machines at once; those that are seeds never come back. */
async function killAll() {
  record.line('all machines are killed at the same moment');
  for (const host of hosts) host.signal('SIGKILL');
  await Promise.all(hosts.map(host => host.exited));
  await sleep(RESTART_MILLISECONDS);
  const gone = hosts.slice(0, SEEDS).map(({name}) => name);
  record.line(`gone for good: ${gone.join(', ')}; the others start again`);
  for (const host of hosts.slice(SEEDS)) host.start(false);
  setTimeout(changeSeeds, seedLagS * 1000).unref();
}

/** Names the machines that are left as seeds, and tells them so. */
function changeSeeds() {
  seedHosts = hosts.slice(SEEDS);
  for (const host of seedHosts) {
    host.writeSettings(false);
    host.signal('SIGHUP');
  }
  const names = seedHosts.map(({name}) => name).join(', ');
  record.line(`the settings name new seeds, ${names}; SIGHUP`);
}

async function play() {
  if (HAS_KILL) await killAll();
  const ready = [];
  for (const host of hosts)
    if (isServing(host) && (await host.waitUntilReady())) ready.push(host);
  record.line(`ready: ${ready.map(({name}) => name).join(', ')}`);
  if (ready.length < MACHINES - SEEDS) throw new Error('too few are ready');
  await sleep(2 * CONTACT_MILLISECONDS);
  const timer = setInterval(() => sendOne(ready), 1000 / REQUESTS_PER_SECOND);
  await sleep(2_000);
  if (HAS_COLD) {
    record.line('the engines of the zone go down, and come back cold');
    for (const engine of engines) engine.goDown(DOWN_MILLISECONDS);
  }
  lost = 0;
  await sleep(PLAY_MILLISECONDS);
  clearInterval(timer);
  await sleep(500);
}

let exitCode = 2;
try {
  await store.start();
  await cloud.start();
  store.put('keyed.op', 'config', CONFIGURATION);
  for (let index = 1; index <= ENGINES; index++) {
    const engine = new ColdEngine(`i-${index}`);
    engines.push(engine);
    await engine.start(store);
  }
  for (let index = 1; index <= MACHINES; index++) {
    const seeds = () => seedHosts.map(({control}) => control);
    hosts.push(new Host({name: `edge-brussel-${index}`, store, cloud, seeds}));
  }
  for (const host of hosts) await host.prepare();
  seedHosts = hosts.slice(0, SEEDS);
  for (const host of hosts) host.start();
  for (const host of hosts)
    if (!(await host.waitUntilReady())) throw new Error('a host is not ready');
  await sleep(CONTACT_MILLISECONDS);
  await play();
  const told = [...results].map(([result, count]) => `${result}: ${count}`);
  record.line(`${sent} requests sent; answers ${told.join(', ')}`);
  record.line(
    `most requests in one second at a cold engine: ${most}, allowed ${MOST_IN_A_SECOND}; lost in crashes: ${lost}`,
  );
  exitCode = most > MOST_IN_A_SECOND ? 1 : 0;
} catch (error) {
  record.line(`could not run: ${error.stack}`);
} finally {
  for (const host of hosts) await host.stop();
  for (const engine of engines) engine.stop();
  store.stop();
  cloud.stop();
  record.line(`exit ${exitCode}`);
  await record.close();
}
process.exit(exitCode);
