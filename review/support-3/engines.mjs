/** Starts engines as processes of their own, and enters them in the store. */
import {spawn} from 'node:child_process';
import {fileURLToPath, URL} from 'node:url';

const PROGRAM = fileURLToPath(new URL('engine.mjs', import.meta.url));

/** The engines of one case. */
export class Engines {
  engines = new Map();
  /** Called with each line that an engine writes. */
  onLine = () => {};

  constructor(platform) {
    this.platform = platform;
  }

  /** Starts an engine; resolves when it listens and its entry is written. */
  async start({service, zone, version = 'v1', ...settings}) {
    const born = Date.now();
    const child = spawn(
      process.execPath,
      [PROGRAM, JSON.stringify({...settings, version, born})],
      {stdio: ['ignore', 'pipe', 'inherit'], env: {PATH: process.env.PATH}},
    );
    const engine = {id: settings.id, child, lines: [], address: undefined};
    this.engines.set(settings.id, engine);
    let rest = '';
    await new Promise((resolve, reject) => {
      child.once('exit', () => reject(new Error('an engine has ended')));
      child.stdout.on('data', part => {
        const texts = (rest + part).split('\n');
        rest = texts.pop();
        for (const text of texts) {
          const line = JSON.parse(text);
          if (line.event === 'listening') {
            engine.address = line.address;
            resolve();
            continue;
          }
          engine.lines.push(line);
          this.onLine(line, engine);
        }
      });
    });
    engine.entry = {
      service,
      address: engine.address,
      zone,
      version,
      slots: settings.slots ?? 6,
      state: 'ready',
      coldLeftMs: 0,
      sequence: 1,
      born,
    };
    this.platform.put('keyed.servers', settings.id, engine.entry);
    return engine;
  }

  /** Ends all engines. */
  async stop() {
    const ends = [...this.engines.values()].map(({child}) => {
      if (child.exitCode !== null || child.signalCode !== null)
        return undefined;
      const ended = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      return ended;
    });
    await Promise.all(ends);
  }
}

/** A configuration with one route of each kind, as the operator writes it. */
export function configuration(version = 3, changes = {}) {
  const route = (name, kind, more = {}) => ({
    name,
    host: 'register.example',
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs: 6000,
    sloMs: 600,
    priority: 1,
    service: 'register',
    maxAttempts: 2,
    public: false,
    sticky: false,
    resumable: false,
    ...more,
  });
  return {
    version,
    routes: [
      route('read', 'idempotent'),
      route('record', 'non_idempotent', {maxAttempts: 1}),
      route('draft', 'streaming', {resumable: true, gapSloMs: 500}),
    ],
    services: [
      {
        name: 'register',
        healthPath: '/health',
        maxConns: 96,
        protocol: 'h1',
        tls: false,
        coldS: 0,
        coldPerS: 0,
      },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{name: 'guides', apiKeys: ['key-of-guides'], priority: 1}],
    ...changes,
  };
}
