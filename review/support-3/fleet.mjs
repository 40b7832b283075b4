/**
 * Starts the project's daemon with the command of the deploy file, on loopback
 * addresses, with settings like those of a small deployment.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';

/** Bounds of the site frasari-sicilia. */
const BOUNDS = {
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

export const sleep = milliseconds =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

/** Ports below those that the system gives to connections. */
const FIRST_PORT = 20_000;
const PORTS = 10_000;
const taken = new Set();

/** A port of a loopback address that is free now and was not given before. */
export async function freePort(host) {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (taken.has(port) || !(await isFree(host, port))) continue;
    taken.add(port);
    return port;
  }
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** The words of the deploy file's command. */
function deployCommand() {
  const file = readFileSync('deploy/system.toml', 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(file) ?? [];
  if (!command) throw new Error('the deploy file names no command');
  return command.split(' ');
}

/** The host processes of one case. */
export class Fleet {
  hosts = [];
  #folder = mkdtempSync(join(tmpdir(), 'review-3-'));

  /** Starts a host; `store` and `cloud` are where it finds the platform. */
  async start(name, {ip, zone, zones, store, cloud}) {
    const ports = [];
    for (let count = 0; count < 4; count++) ports.push(await freePort(ip));
    const [front, readiness, control, metrics] = ports.map(
      port => `${ip}:${port}`,
    );
    const settings = {
      nodeId: name,
      role: 'edge',
      machineClass: 'edge',
      serves: ['edge', 'control'],
      ip,
      zone,
      region: zones[zone],
      zones,
      listen: {front, readiness, control},
      seedNodes: this.hosts.slice(0, 3).map(host => host.control),
      bootstrap: true,
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
      heartbeatMs: 1200,
      faultTolerance: {machines: 1, zones: 1, regions: 0},
      bounds: BOUNDS,
      platform: {
        address: store,
        form: 'log',
        writesPerS: 400,
        readsPerS: 2000,
        parts: 12,
        keep_s: 300,
        ttlMinMs: 1000,
      },
      cloudApi: {
        address: cloud,
        ratePerS: 50,
        duties: ['usage_report', 'scaling'],
        dutiesPerS: 50,
      },
    };
    const path = join(this.#folder, `${name}.json`);
    writeFileSync(path, JSON.stringify(settings));
    const [, ...words] = deployCommand();
    const port = metrics.split(':')[1];
    const flags = words.map(word =>
      word.replace(/(metrics-port=).*/, `$1${port}`),
    );
    const host = {name, front, readiness, control, path, flags, lines: []};
    this.hosts.push(host);
    this.#launch(host);
    return host;
  }

  /** Kills the process of a host; resolves when it has ended. */
  async kill({child}) {
    const ended = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }

  /** Starts a host again that has ended, as the platform does. */
  restart(host) {
    this.#launch(host);
  }

  #launch(host) {
    host.child = spawn(process.execPath, host.flags, {
      env: {PATH: process.env.PATH, ARBUTUSSLIP_BOOT: host.path},
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let rest = '';
    host.child.stdout.on('data', part => {
      const texts = (rest + part).split('\n');
      rest = texts.pop();
      for (const text of texts) host.lines.push(JSON.parse(text));
    });
  }

  /** Waits until all hosts say that they are ready. */
  async ready() {
    const end = performance.now() + 15_000;
    for (const {readiness} of this.hosts) {
      while ((await statusOf(readiness)) !== 200) {
        if (performance.now() > end) throw new Error('a host is not ready');
        await sleep(50);
      }
    }
  }

  /** Ends all host processes. */
  async stop() {
    const ends = this.hosts.map(({child}) => {
      if (child.exitCode !== null || child.signalCode !== null)
        return undefined;
      const ended = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      return ended;
    });
    await Promise.all(ends);
    rmSync(this.#folder, {recursive: true, force: true});
  }
}

function statusOf(address) {
  return new Promise(resolve => {
    const sent = request(`http://${address}/-/readyz`, message => {
      message.resume();
      resolve(message.statusCode);
    });
    sent.on('error', () => resolve(0));
    sent.end();
  });
}
