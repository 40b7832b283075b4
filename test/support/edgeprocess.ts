/** Host processes on a stand-in of the users' platform, as scenarios need them. */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {
  createServer,
  request,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import type {ExecutionContext} from 'ava';

import {partsOf} from '../../source/wire/index.js';
import {freeAddress, listenOnFreeAddress} from '../../tools/ports.js';
import {Site} from '../../standins/site.js';
import {routeOf} from './edgeroute.js';
import {keepOnFailure} from './failures.js';

const PROGRAM = 'dist/arbutusslip-edge.js';
const POLL_MILLISECONDS = 20;

/** A line of a host's log. */
export interface Line {
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** How a host is started, beside its settings. */
export interface LaunchFlags {
  readonly node?: readonly string[];
  readonly program?: readonly string[];
  /** Files and sockets that it may have open, in place of the fleet's limit. */
  readonly descriptors?: number;
}

/** Where a host can be found, over all its starts. */
export interface HostPlace {
  readonly name: string;
  readonly callers: string;
  readonly readiness: string;
  readonly control: string;
  readonly metrics: string;
  /** Path of the settings file. */
  readonly settings: string;
  readonly flags: LaunchFlags;
}

/** The content of a settings file, in sections. */
export type HostSettings = Readonly<Record<string, unknown>> & {
  readonly bounds: Readonly<Record<string, unknown>>;
  readonly listen: Readonly<Record<string, unknown>>;
  readonly limits: Readonly<Record<string, unknown>>;
};

/** One host process. */
export interface HostProcess extends HostPlace {
  readonly child: ChildProcess;
  readonly lines: Line[];
  /** What it has written to standard error. */
  readonly errors: string[];
  /** Resolves with the exit code, when all that was written has been read. */
  readonly ended: Promise<number | null>;
}

/** Answers one request as an endpoint. */
export type EndpointAnswer = (
  message: IncomingMessage,
  response: ServerResponse,
) => void;

/** Answers with a text after a delay in milliseconds. */
function answerAfter(delay: number, text: string): EndpointAnswer {
  return (message, response) => {
    response.writeHead(200, sealed(message));
    setTimeout(() => response.end(text), delay);
  };
}

/** A platform with endpoints and hosts. */
export class EdgeFleet {
  readonly site = new Site();
  readonly hosts: HostProcess[] = [];
  /** Requests that endpoints got, by endpoint. */
  readonly seen = new Map<string, number>();
  /** Addresses of the endpoints that were started here. */
  readonly addresses = new Map<string, string>();
  private readonly servers: Server[] = [];
  private readonly seeds: string[] = [];
  /** The version of the newest configuration. */
  configured = 0;
  /** Timeout of every route, in the next configuration. */
  routeTimeoutMilliseconds = 2_000;
  /** Time for which callers may keep a connection, in the next configuration. */
  idleTimeoutMilliseconds = 15_000;
  /** Unix milliseconds of the start of endpoints that are entered next. */
  born = 1_000;
  /** Files and sockets that a host may have open; undefined for no limit. */
  openFilesLimit: number | undefined;
  /** Whether the entries of endpoints that are entered next state a version. */
  statesVersions = true;
  /** Whether hosts that are started next know of the others. */
  knowsOthers = true;
  /** Seconds between SIGTERM and the kill, for hosts that are started next. */
  graceSeconds = 8;
  /** Memory that hosts which are started next are told they may take. */
  memoryMegabytes = 200;
  /** Path of the program that hosts run which are started next. */
  program = PROGRAM;
  /** Finds the addresses of hosts that are placed next. */
  freeAddress = freeAddress;
  /** Changes the settings of hosts that are started next. */
  changeSettings: (settings: HostSettings) => object = settings => settings;

  static async start(t: ExecutionContext): Promise<EdgeFleet> {
    const fleet = new EdgeFleet();
    t.teardown(() => fleet.stop());
    keepOnFailure(t, () => fleet.written());
    await fleet.site.start();
    return fleet;
  }

  /**
   * Starts an endpoint and enters it in the store. It answers with its id after
   * a delay in milliseconds, or as it is told to.
   */
  async endpoint(
    id: string,
    answer: EndpointAnswer | number = 0,
    version = 'v1',
  ): Promise<void> {
    const respond =
      typeof answer === 'number' ? answerAfter(answer, id) : answer;
    const server = createServer((message, response) => {
      message.resume();
      message.on('end', () => {
        this.seen.set(id, (this.seen.get(id) ?? 0) + 1);
        respond(message, response);
      });
    });
    this.servers.push(server);
    const address = await listenOnFreeAddress(server);
    this.addresses.set(id, address);
    this.enter(id, address, 'ready', version);
  }

  /** Enters what an endpoint says of itself. */
  enter(
    id: string,
    address: string,
    state: string,
    version = 'v1',
    sequence = 1,
  ): void {
    this.site.put('keyed.servers', id, {
      service: 'register',
      address,
      zone: 'palermo',
      version: this.statesVersions ? version : undefined,
      slots: 6,
      state,
      coldLeftMs: 0,
      sequence,
      born: this.born,
    });
  }

  /**
   * Publishes a configuration with these keys of the one team, and its homes.
   * Changes may replace whole sections of it.
   */
  configure(
    keys: readonly string[],
    homes: readonly string[] = [],
    changes: object = {},
  ): void {
    this.configured += 3;
    this.site.put('keyed.op', 'config', {
      version: this.configured,
      routes: [
        routeOf('read', 'idempotent', this.routeTimeoutMilliseconds),
        routeOf('record', 'non_idempotent', this.routeTimeoutMilliseconds),
        routeOf('draft', 'streaming', this.routeTimeoutMilliseconds),
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
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: this.idleTimeoutMilliseconds,
      },
      tenants: [
        {name: 'guides', apiKeys: keys, priority: 1, allowedRegions: homes},
      ],
      ...changes,
    });
  }

  /** Removes the entry of an endpoint. */
  remove(id: string): void {
    this.site.put('keyed.servers', id, undefined);
  }

  /** Starts a host; its settings file may be given instead, or its store. */
  async host(
    name: string,
    file?: string,
    store = this.site.address,
    flags: LaunchFlags = {},
  ): Promise<HostProcess> {
    return this.launch(await this.place(name, file, store, flags));
  }

  /** Chooses the ports of a host and writes its settings; starts nothing. */
  async place(
    name: string,
    file?: string,
    store = this.site.address,
    flags: LaunchFlags = {},
  ): Promise<HostPlace> {
    const [callers, readiness, control, metrics] = await Promise.all(
      [0, 1, 2, 3].map(() => this.freeAddress()),
    );
    if (!callers || !readiness || !control || !metrics)
      throw new Error('no free ports');
    const folder = mkdtempSync(join(tmpdir(), 'arbutusslip-'));
    const path = join(folder, 'settings.json');
    const settings = this.changeSettings(
      this.settingsOf(name, callers, readiness, control, store),
    );
    writeFileSync(path, file ?? JSON.stringify(settings));
    this.seeds.push(control);
    return {
      name,
      callers,
      readiness,
      control,
      metrics,
      settings: path,
      flags,
    };
  }

  /** Starts a host anew on the settings that it had. */
  restart(host: HostProcess): HostProcess {
    return this.launch(host);
  }

  /** Starts a host at a place. */
  launch(place: HostPlace): HostProcess {
    const [program = '', ...flags] = this.commandOf(place);
    const child = spawn(program, flags, {
      env: {PATH: process.env['PATH'], ARBUTUSSLIP_BOOT: place.settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const lines: Line[] = [];
    let rest = '';
    child.stdout?.on('data', (part: Buffer) => {
      const texts = (rest + part.toString()).split('\n');
      rest = texts.pop() ?? '';
      for (const text of texts) lines.push(JSON.parse(text) as Line);
    });
    const errors: string[] = [];
    child.stderr?.on('data', (part: Buffer) => errors.push(part.toString()));
    const ended = new Promise<number | null>(resolve => {
      child.once('close', code => resolve(code));
    });
    const host = {...place, child, lines, errors, ended};
    this.hosts.push(host);
    return host;
  }

  private commandOf({metrics, flags}: HostPlace): string[] {
    const {node = [], program = []} = flags;
    const port = `--metrics-port=${partsOf(metrics).port}`;
    const command = [process.execPath, ...node, this.program, port, ...program];
    const limit = flags.descriptors ?? this.openFilesLimit;
    if (limit === undefined) return command;
    return ['/bin/sh', '-c', `ulimit -n ${limit}; exec "$0" "$@"`, ...command];
  }

  /** Resolves when a host says that it is ready. */
  async ready(host: HostProcess): Promise<void> {
    await until(async () => (await statusOf(host.readiness, '/')) === 200);
  }

  /** The status and body of a read through a host. */
  read(host: HostProcess, key: string): Promise<[number, string]> {
    return new Promise(resolve => {
      const sent = request(
        `http://${host.callers}/read/1`,
        {
          agent: false,
          headers: {
            host: 'register.example',
            authorization: `Bearer ${key}`,
            'x-attempt-id': 'reader',
            'x-deadline-ms': '2000',
          },
        },
        message => {
          let text = '';
          message.on('data', (part: Buffer) => (text += part.toString()));
          message.on('end', () => resolve([message.statusCode ?? 0, text]));
        },
      );
      sent.on('error', () => resolve([0, '']));
      sent.end();
    });
  }

  private settingsOf(
    name: string,
    front: string,
    readiness: string,
    control: string,
    store: string,
  ): HostSettings {
    return {
      nodeId: name,
      zone: 'palermo',
      zones: {palermo: 'sicilia'},
      listen: {front, readiness, control},
      seedNodes: this.knowsOthers ? this.seeds.slice(0, 3) : [],
      limits: {memoryMb: this.memoryMegabytes},
      bounds: {
        graceS: this.graceSeconds,
        drainMs: 2_000,
        retryRatio: 0.2,
        retryWindowS: 10,
        retrySlack: 52,
        leaseMs: 1_000,
        usageWindowS: 1,
        usageLateS: 10,
      },
      platform: {address: store},
      cloudApi: {address: this.site.address, duties: ['usage_report']},
      unknown: {field: 'is passed over'},
    };
  }

  /** What the hosts have written, each line with its process. */
  written(): object[] {
    return this.hosts.flatMap(({name, child: {pid}, errors, lines}) => [
      {name, pid, errors: errors.join('')},
      ...lines.map(line => ({name, pid, ...line})),
    ]);
  }

  /** Ends everything that was started. */
  stop(): void {
    for (const {child} of this.hosts) child.kill('SIGKILL');
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
    this.site.stop();
  }
}

/** The headers of an endpoint's own answer to a request. */
export function sealed({headers}: IncomingMessage): Record<string, string> {
  return {
    'x-attempt-id': String(headers['x-attempt-id']),
    'x-response-seal': 'seal',
  };
}

/** Resolves when something holds. */
export async function until(
  holds: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!(await holds())) {
    await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
  }
}

/** Whether something comes to hold within a time in milliseconds. */
export async function holdsWithin(
  milliseconds: number,
  holds: () => boolean,
): Promise<boolean> {
  const end = performance.now() + milliseconds;
  while (!holds() && performance.now() < end) {
    await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
  }
  return holds();
}

/** Status of a GET; 0 where the connection ends without an answer. */
export function statusOf(address: string, path: string): Promise<number> {
  return new Promise(resolve => {
    const sent = request(`http://${address}${path}`, message => {
      message.resume();
      resolve(message.statusCode ?? 0);
    });
    sent.on('error', () => resolve(0));
    sent.end();
  });
}
