/**
 * Stand-ins of the platform for the cases of the second review, after the users'
 * pages: the record store, the interface for duties, engines, and the start of the
 * daemon by the command of the deploy file. Everything is on loopback addresses.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, request} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

export {sleep};

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url));
const HEARTBEAT_MILLISECONDS = 1200;
/** An entry is removed after that much silence. */
const ENTRY_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;
const PARTITIONS = 12;

/** A random part of the loopback range, so that two runs do not meet. */
const NETWORK = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(
  Math.random() * 250,
)}`;
let lastAddress = 1;

/** Another loopback address. */
export function nextAddress() {
  return `${NETWORK}.${++lastAddress}`;
}

/** A free port of an address. */
export function freePort(address) {
  return new Promise((resolve, reject) => {
    const server = createTcpServer();
    server.once('error', reject);
    server.listen(0, address, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

function listen(server, address, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => resolve(server.address().port));
  });
}

function readBody(message) {
  return new Promise((resolve, reject) => {
    const pieces = [];
    message.on('data', bytes => pieces.push(bytes));
    message.on('end', () => resolve(Buffer.concat(pieces)));
    message.on('error', reject);
  });
}

/** What a case writes to `record.txt`, with the seconds since the start. */
export class Record {
  constructor(path) {
    this.startedAt = performance.now();
    this.stream = createWriteStream(path);
  }

  line(text) {
    const seconds = (performance.now() - this.startedAt) / 1000;
    this.stream.write(`${seconds.toFixed(3).padStart(8)} s  ${text}\n`);
  }

  close() {
    return new Promise(resolve => this.stream.end(resolve));
  }
}

/** The platform's metadata store: topics with one partition in use, and groups. */
export class Store {
  constructor() {
    this.topics = new Map();
    this.groups = new Map();
    this.waiting = new Set();
    this.calls = [];
    this.server = createServer((message, response) => {
      this.handle(message, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    this.host = nextAddress();
    const port = await listen(this.server, this.host);
    this.address = `${this.host}:${port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  topic(name) {
    const known = this.topics.get(name);
    if (known) return known;
    const topic = {records: []};
    this.topics.set(name, topic);
    return topic;
  }

  /** Writes the newest value of a key, as operators and engines do. */
  put(topic, key, value) {
    const name = Buffer.from(key);
    const bytes =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    this.append(topic, [Buffer.concat([Buffer.of(name.length), name, bytes])]);
  }

  append(name, records) {
    const topic = this.topic(name);
    const offset = topic.records.length;
    topic.records.push(...records);
    for (const wake of [...this.waiting]) wake();
    return {offset, end: topic.records.length};
  }

  async handle(message, response) {
    const url = new URL(message.url, 'http://store');
    const query = url.searchParams;
    const body = await readBody(message);
    const name = query.get('topic');
    const json = (status, value) => {
      const text = JSON.stringify(value);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        'store-era': '1',
      });
      response.end(text);
    };
    switch (url.pathname) {
      case '/-/log-append':
        return this.handleAppend(name, query, body, json);
      case '/-/log-read':
        return this.handleRead(name, query, response, json);
      case '/-/log-newest':
        return json(200, this.newest(name));
      case '/-/log-trim':
        return json(200, {});
      case '/-/log-join':
        return json(200, this.join(JSON.parse(body.toString())));
      case '/-/log-leave':
        return json(200, this.leave(JSON.parse(body.toString())));
      default:
        return json(404, {});
    }
  }

  handleAppend(name, query, body, json) {
    if (name === 'keyed.op' || name === 'keyed.servers') return json(403, {});
    const end = this.topic(name).records.length;
    const at = query.get('at');
    if (at !== null && Number(at) !== end) return json(412, {end});
    const records = [];
    for (let start = 0; start + 4 <= body.length;) {
      const next = start + 4 + body.readUInt32BE(start);
      records.push(body.subarray(start + 4, next));
      start = next;
    }
    return json(200, this.append(name, records));
  }

  async handleRead(name, query, response, json) {
    const from = Number(query.get('from'));
    const {records} = this.topic(name);
    if (from > records.length) return json(410, {first: 0});
    const until = performance.now() + Number(query.get('waitMs') ?? 0);
    while (records.length === from && performance.now() < until)
      await this.nextRecord(until - performance.now());
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const frames = records.slice(from).flatMap(record => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      return [length, record];
    });
    const page = Buffer.concat([head, ...frames]);
    response.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': page.length,
      'store-era': '1',
    });
    response.end(page);
  }

  nextRecord(milliseconds) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.waiting.add(wake);
    });
  }

  newest(name) {
    const byKey = new Map();
    const {records} = this.topic(name);
    for (const [offset, record] of records.entries()) {
      const end = 1 + record[0];
      const key = record.toString('utf8', 1, end);
      const value = record.subarray(end);
      byKey.delete(key);
      if (value.length > 0)
        byKey.set(key, {key, value: value.toString('base64'), offset});
    }
    return {items: [...byKey.values()], truncated: false, end: records.length};
  }

  group(name) {
    const known = this.groups.get(name);
    if (known) return known;
    const group = {generation: 0, members: new Map(), holders: new Map()};
    this.groups.set(name, group);
    return group;
  }

  join({group: name, member, topics, ttlMs, generation}) {
    const group = this.group(name);
    const now = performance.now();
    this.dropSilent(group, now);
    if (!group.members.has(member)) group.generation++;
    group.members.set(member, {until: now + ttlMs, generation});
    const names = [...group.members.keys()];
    const parts = [];
    for (let part = 0; part < PARTITIONS; part++) {
      const target = names[part % names.length];
      const holder = group.holders.get(part);
      const held = holder !== undefined && group.members.get(holder);
      const isFree =
        !held || holder === target || held.generation >= group.generation;
      if (target !== member || !isFree) continue;
      group.holders.set(part, member);
      parts.push([topics[0], part, 0]);
    }
    return {generation: group.generation, parts};
  }

  leave({group: name, member}) {
    const group = this.group(name);
    if (group.members.delete(member)) group.generation++;
    for (const [part, holder] of group.holders)
      if (holder === member) group.holders.delete(part);
    return {};
  }

  dropSilent(group, now) {
    for (const [member, {until}] of group.members) {
      if (now < until) continue;
      this.leave({group: this.nameOf(group), member});
    }
  }

  nameOf(group) {
    return [...this.groups].find(([, known]) => known === group)[0];
  }
}

/** The interface for duties: takes every call. */
export class CloudApi {
  constructor() {
    this.calls = [];
    this.server = createServer((message, response) => {
      void readBody(message).then(body => {
        const {headers, url} = message;
        this.calls.push({url, headers, body: body.toString()});
        response.writeHead(200, {'content-length': 0});
        response.end();
      });
    });
  }

  async start() {
    const host = nextAddress();
    this.address = `${host}:${await listen(this.server, host)}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/**
 * An engine. `work` answers a request that it runs; everything before that, such as
 * a request for another engine, is answered here.
 */
export class Engine {
  constructor({id, service, zone = 'palermo', slots = 64, version = 'v1'}) {
    this.entry = {service, zone, slots, version, state: 'ready', coldLeftMs: 0};
    this.id = id;
    this.arrivals = [];
    this.work = (_, response) => this.answer(response, '{"ok":true}');
    this.server = createServer((message, response) => {
      this.handle(message, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
  }

  async start(store) {
    const host = nextAddress();
    this.entry.address = `${host}:${await listen(this.server, host)}`;
    this.entry.born = Date.now();
    this.store = store;
    this.sequence = 0;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
  }

  /** Writes its entry, unless it is down. */
  beat() {
    if (this.isDown) return;
    const coldLeftMs = Math.max(
      Math.round((this.coldUntil ?? 0) - performance.now()),
      0,
    );
    this.sequence++;
    const entry = {...this.entry, coldLeftMs, sequence: this.sequence};
    this.store.put('keyed.servers', this.id, entry);
    clearTimeout(this.lapse);
    this.lapse = setTimeout(
      () => this.store.put('keyed.servers', this.id, undefined),
      ENTRY_MILLISECONDS,
    );
    this.lapse.unref();
  }

  /** Accepts connections no more, and ends those that are open. */
  shut() {
    this.isDown = true;
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Accepts connections again at the same address, as another incarnation. */
  async reopen() {
    const {host, port} = partsOf(this.entry.address);
    await new Promise(resolve => this.server.listen(port, host, resolve));
    this.isDown = false;
    this.entry = {...this.entry, born: Date.now()};
    this.sequence = 0;
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
  }

  stop() {
    clearInterval(this.timer);
    clearTimeout(this.lapse);
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(message, response) {
    const {headers, url} = message;
    if (url === '/-/report') {
      message.resume();
      const {born, version} = this.entry;
      const report = {stage: 'both', models: [], born, version};
      const text = JSON.stringify(report);
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      return response.end(text);
    }
    if (url === '/health' || url.startsWith('/-/')) {
      message.resume();
      response.writeHead(url === '/health' ? 200 : 404, {
        'x-instance-id': this.id,
        'content-length': 0,
      });
      return response.end();
    }
    const attempt = headers['x-attempt-id'];
    if (headers['x-expect-instance'] !== this.id) {
      message.resume();
      response.writeHead(421, {'x-instance-id': this.id, 'content-length': 0});
      return response.end();
    }
    this.arrivals.push({attempt, at: performance.now(), url});
    this.onArrival?.(attempt, message);
    response.attempt = attempt;
    return this.work(message, response);
  }

  /** The headers of an answer to a request. */
  headersOf(response) {
    return {
      'x-attempt-id': response.attempt,
      'x-response-seal': `seal.${this.id}.${response.attempt}`,
    };
  }

  answer(response, body, status = 200) {
    response.writeHead(status, {
      ...this.headersOf(response),
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}

/** The bounds of the small deployments. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configMs: 2000,
  rollbackSlackMs: 250,
  maxSkewMs: 5000,
  strictRevoke: false,
  revokeMs: 5000,
  retryRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 52,
  requireFence: false,
  leaseMs: 3000,
  thawMs: 300,
  usageWindowS: 5,
  usageTolerance: 0.05,
  usageLateS: 10,
  coldOvershoot: 1.5,
  coldSlack: 5,
  evacuateMs: 5000,
  recoverS: 12,
  passMs: 120,
  reuseWindowS: 9,
};

/** The limits of the small deployments. */
export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** One machine with the daemon. */
export class Host {
  constructor({name, zone = 'palermo', store, cloud, seeds, logs}) {
    this.name = name;
    this.zone = zone;
    this.platform = {store, cloud, seeds};
    this.folder = mkdtempSync(join(tmpdir(), 'arbutusslip-review-'));
    this.log = createWriteStream(logs ?? '/dev/null', {flags: 'a'});
  }

  /** Chooses its addresses; the seeds of others may name them. */
  async prepare() {
    const ip = nextAddress();
    this.ip = ip;
    this.front = `${ip}:${await freePort(ip)}`;
    this.readiness = `${ip}:${await freePort(ip)}`;
    this.control = `${ip}:${await freePort(ip)}`;
    this.metricsPort = await freePort(ip);
  }

  /** Writes the settings file, with the seeds of this moment. */
  writeSettings(bootstrap) {
    const path = join(this.folder, 'local.json');
    writeFileSync(path, JSON.stringify(this.settings(bootstrap)));
    return path;
  }

  start(bootstrap = true) {
    const path = this.writeSettings(bootstrap);
    const [program, ...flags] = runCommand();
    const {PATH, HOME, LANG} = process.env;
    this.process = spawn(program, flags, {
      cwd: REPOSITORY,
      env: {PATH, HOME, LANG, ARBUTUSSLIP_BOOT: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.process.stdout.pipe(this.log, {end: false});
    this.process.stderr.pipe(this.log, {end: false});
    this.exited = new Promise(resolve =>
      this.process.once('exit', (code, signal) => resolve({code, signal})),
    );
  }

  settings(bootstrap) {
    const {store, cloud, seeds} = this.platform;
    return {
      nodeId: this.name,
      role: 'edge',
      machineClass: 'edge',
      serves: ['edge', 'control'],
      ip: this.ip,
      zone: this.zone,
      region: 'sicilia',
      zones: {palermo: 'sicilia', catania: 'sicilia', siracusa: 'sicilia'},
      listen: {
        front: this.front,
        readiness: this.readiness,
        control: this.control,
      },
      portRange: [7200, 7215],
      seedNodes: seeds(),
      bootstrap,
      lossCounts: false,
      limits: {
        cpuShare: 0.675,
        cpuCores: 1,
        memoryMb: 350,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: 0,
      },
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: HEARTBEAT_MILLISECONDS,
      faultTolerance: {machines: 1, zones: 1, regions: 0},
      bounds: BOUNDS,
      platform: {
        address: store.address,
        form: 'log',
        writesPerS: 400,
        readsPerS: 2000,
        parts: PARTITIONS,
        appendMs: 2,
        partMbS: 20,
        readMbS: 80,
        recordBytes: 262_144,
        callBytes: 2_097_152,
        keep_s: 300,
        partMb: 200,
        ttlMinMs: 1000,
      },
      cloudApi: {
        address: cloud.address,
        ratePerS: 50,
        duties: ['usage_report', 'scaling'],
        dutiesPerS: 50,
      },
    };
  }

  /** Resolves with whether the host says that it is ready, within some time. */
  async waitUntilReady(milliseconds = 10_000) {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      if (await this.isReady()) return true;
      await sleep(50);
    }
    return false;
  }

  isReady() {
    return new Promise(resolve => {
      const {host, port} = partsOf(this.readiness);
      const sent = request(
        {host, port, path: '/-/readyz', agent: false, timeout: 1000},
        message => {
          message.resume();
          resolve(message.statusCode === 200);
        },
      );
      sent.on('timeout', () => sent.destroy());
      sent.on('error', () => resolve(false));
      sent.end();
    });
  }

  signal(name) {
    if (this.process && this.process.exitCode === null) this.process.kill(name);
  }

  async stop() {
    if (this.process) {
      this.signal('SIGCONT');
      this.signal('SIGKILL');
      await this.exited;
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** The command of the deploy file that starts the daemon. */
function runCommand() {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** The parts of an address and a port. */
export function partsOf(address) {
  const [host, port] = address.split(':');
  return {host, port: Number(port)};
}

/** Opens a connection; resolves when it is established. */
export function openSocket(address) {
  return new Promise((resolve, reject) => {
    const socket = connect({...partsOf(address), noDelay: true});
    socket.once('connect', () => resolve(socket));
    socket.once('error', reject);
  });
}
