/**
 * Starts many host processes at once, with the command of the deploy file, and
 * starts each anew that ends by itself, as the platform does; then counts what
 * came of them. It may hold ports that they want, and send them signals while
 * they start.
 */
import {readFileSync} from 'node:fs';
import {Agent} from 'node:http';

import {seededRandom, type RandomSource} from '../source/random/index.js';
import {
  EdgeFleet,
  sealed,
  statusOf,
  type HostPlace,
  type HostProcess,
} from '../test/support/edgeprocess.js';
import {askHost} from '../soak/caller.js';
import {deployNodeFlags} from '../soak/deployfile.js';
import {answerTo} from '../soak/ledger.js';
import {
  AddressDrawer,
  holdAddress,
  PORT_NAMES,
  type Draw,
  type PortName,
} from '../soak/ports.js';
import {wait} from '../soak/wait.js';

/** What is started, and what is done to it. */
export interface StartsOptions {
  readonly program: string;
  readonly hosts: number;
  /** Milliseconds after the first start at which requests are asked. */
  readonly lasts: number;
  readonly requests: number;
  readonly seed: number;
  readonly draw: Draw;
  /** The port that a stranger holds at the first start of every host. */
  readonly held?: PortName;
  /** Milliseconds for which it is held; as long as the run where it is absent. */
  readonly heldFor?: number;
  /** The signal that each process gets while it starts. */
  readonly signal?: NodeJS.Signals;
  /** Milliseconds after each start within which the signal comes. */
  readonly signalWithin: number;
  /** Requests in progress at the first host when it is told to stop at the end. */
  readonly stopsWith: number;
}

/** An end of a process that nobody had told to end. */
export interface UntoldEnd {
  readonly host: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Milliseconds after its start. */
  readonly age: number;
  /** Milliseconds after its start at which it got its signal, if it got one. */
  readonly signalledAt: number | undefined;
  readonly error: string;
}

/** A port that a process found taken. */
export interface TakenPort {
  readonly host: string;
  readonly port: PortName | 'unknown';
  /** What the kernel says has it just after, by its table of connections. */
  readonly holders: readonly string[];
}

/** What came of the starts. */
export interface StartsReport {
  /** Addresses that were drawn more than once. */
  readonly repeated: number;
  readonly ready: number;
  readonly neverReady: readonly string[];
  readonly readyAfter: readonly number[];
  readonly starts: number;
  readonly ends: readonly UntoldEnd[];
  readonly taken: readonly TakenPort[];
  readonly asked: number;
  readonly unanswered: number;
  /** Hosts whose process lives and answers no request. */
  readonly aliveNotServing: readonly string[];
  readonly cutAtStop: number;
  /** Milliseconds from the order to stop to the end. */
  readonly stoppedAfter: number | undefined;
  /** Times after the start at which signals came that ended no process. */
  readonly signalsKept: readonly number[];
}

const SPREAD_MILLISECONDS = 300;
const RESTART_MILLISECONDS = 500;
const POLL_MILLISECONDS = 50;
/** What a process that a signal left alone lives on before it is started anew. */
const SIGNALLED_LIFE_MILLISECONDS = 700;
const SHARED_ENDPOINTS = 4;
const SHORT_WORK_MILLISECONDS = 5;
const LONG_WORK_MILLISECONDS = 1_000;
const STOP_DELAY_MILLISECONDS = 200;
const STOP_MILLISECONDS_MOST = 12_000;
const ERROR_LENGTH = 300;
const KEY = 'key-0';

interface Start {
  readonly place: HostPlace;
  process: HostProcess | undefined;
  readyAfter: number | undefined;
}

/** Plays one round of starts. */
export class Starts {
  private readonly fleet = new EdgeFleet();
  private readonly random: RandomSource;
  private readonly drawer: AddressDrawer;
  private readonly starts: Start[] = [];
  private readonly ends: UntoldEnd[] = [];
  private readonly taken: TakenPort[] = [];
  private readonly signalsKept: number[] = [];
  private readonly told = new Set<HostProcess>();
  private launched = 0;
  private over = false;

  constructor(private readonly options: StartsOptions) {
    this.random = seededRandom(options.seed);
    this.drawer = new AddressDrawer(options.draw, this.random);
    this.fleet.program = options.program;
    this.fleet.freeAddress = () => this.drawer.draw();
  }

  /** Everything that it started has ended when it resolves. */
  async play(): Promise<StartsReport> {
    try {
      await this.begin();
      const release = await this.hold();
      const {heldFor, lasts} = this.options;
      const began = performance.now();
      for (const start of this.starts) {
        const delay = this.random.next() * SPREAD_MILLISECONDS;
        setTimeout(() => this.launch(start), delay);
        void this.awaitReady(start);
      }
      if (heldFor !== undefined) setTimeout(release, heldFor);
      await wait(began + lasts - performance.now());
      return await this.report();
    } finally {
      this.end();
    }
  }

  /** Ends everything that it has started. */
  end(): void {
    this.over = true;
    this.fleet.stop();
  }

  private async begin(): Promise<void> {
    const {fleet} = this;
    await fleet.site.start();
    fleet.configure([KEY]);
    for (let index = 0; index < SHARED_ENDPOINTS; index++) {
      await fleet.endpoint(`register-${index}`, (message, response) => {
        const {searchParams} = new URL(message.url ?? '', 'http://endpoint');
        response.writeHead(200, sealed(message));
        const id = String(message.headers['x-attempt-id']);
        const body = answerTo({id, route: 'read'});
        setTimeout(() => response.end(body), Number(searchParams.get('work')));
      });
    }
    const node = deployNodeFlags();
    for (let index = 0; index < this.options.hosts; index++) {
      const name = `host-${index}`;
      const place = await fleet.place(name, undefined, undefined, {node});
      this.starts.push({place, process: undefined, readyAfter: undefined});
    }
  }

  private async hold(): Promise<() => void> {
    const {held} = this.options;
    if (!held) return () => {};
    const releases = await Promise.all(
      this.starts.map(({place}) => holdAddress(place[held])),
    );
    return () => releases.forEach(release => release());
  }

  private launch(start: Start): void {
    if (this.over) return;
    const process = this.fleet.launch(start.place);
    const {child} = process;
    start.process = process;
    this.launched++;
    const began = performance.now();
    let signalledAt: number | undefined;
    const {signal, signalWithin} = this.options;
    if (signal) {
      setTimeout(() => {
        signalledAt = performance.now() - began;
        child.kill(signal);
        setTimeout(() => {
          if (child.exitCode !== null || child.signalCode !== null) return;
          this.signalsKept.push(Math.round(signalledAt ?? 0));
          this.told.add(process);
          child.kill('SIGKILL');
        }, SIGNALLED_LIFE_MILLISECONDS);
      }, this.random.next() * signalWithin);
    }
    child.stderr?.on('data', (part: Buffer) =>
      this.noteTaken(start.place, part.toString()),
    );
    void process.ended.then(code => {
      if (this.over) return;
      const error = process.errors.join('').trim().slice(-ERROR_LENGTH);
      const age = Math.round(performance.now() - began);
      const {name: host} = start.place;
      const {signalCode} = child;
      if (!this.told.has(process))
        this.ends.push({
          host,
          code,
          signal: signalCode,
          age,
          signalledAt,
          error,
        });
      setTimeout(() => this.launch(start), RESTART_MILLISECONDS);
    });
  }

  private noteTaken(place: HostPlace, text: string): void {
    const [, address] = /EADDRINUSE[^\n]*?([\d.]+:\d+)/.exec(text) ?? [];
    if (!address) return;
    const port =
      PORT_NAMES.find(name => portOf(place[name]) === portOf(address)) ??
      'unknown';
    const holders = holdersOf(portOf(address));
    this.taken.push({host: place.name, port, holders});
  }

  private async awaitReady(start: Start): Promise<void> {
    const began = performance.now();
    while (!this.over && start.readyAfter === undefined) {
      if ((await statusOf(start.place.readiness, '/-/readyz')) === 200)
        start.readyAfter = Math.round(performance.now() - began);
      await wait(POLL_MILLISECONDS);
    }
  }

  private async report(): Promise<StartsReport> {
    const {starts, ends, taken, launched, signalsKept} = this;
    const neverReady = starts.filter(({readyAfter}) => !readyAfter);
    const readyAfter = starts.flatMap(start => start.readyAfter ?? []);
    const {requests} = this.options;
    const statuses = await Promise.all(
      Array.from({length: requests}, async (_, number) => {
        const start = this.at(number % starts.length);
        return {start, status: await this.ask(start.place, number)};
      }),
    );
    const unanswered = statuses.filter(({status}) => status === 0);
    const silent = new Set(unanswered.map(({start}) => start));
    const aliveNotServing = [...silent].filter(
      ({process}) => process?.child.exitCode === null,
    );
    const stop = await this.stopFirst();
    return {
      repeated: this.drawer.repeated,
      ready: readyAfter.length,
      neverReady: neverReady.map(({place}) => place.name),
      readyAfter: readyAfter.sort((one, other) => one - other),
      starts: launched,
      ends: [...ends],
      taken: [...taken],
      asked: requests,
      unanswered: unanswered.length,
      aliveNotServing: aliveNotServing.map(({place}) => place.name),
      ...stop,
      signalsKept: signalsKept.sort((one, other) => one - other),
    };
  }

  /** Tells the first host to stop with requests in progress. */
  private async stopFirst(): Promise<
    Pick<StartsReport, 'cutAtStop' | 'stoppedAfter'>
  > {
    const {stopsWith} = this.options;
    const {place, process} = this.at(0);
    if (stopsWith === 0 || !process)
      return {cutAtStop: 0, stoppedAfter: undefined};
    const asking = Array.from({length: stopsWith}, (_, number) =>
      this.ask(place, number, LONG_WORK_MILLISECONDS),
    );
    await wait(STOP_DELAY_MILLISECONDS);
    const began = performance.now();
    this.told.add(process);
    this.over = true;
    process.child.kill('SIGTERM');
    await Promise.race([process.ended, wait(STOP_MILLISECONDS_MOST)]);
    const stoppedAfter = Math.round(performance.now() - began);
    const statuses = await Promise.all(asking);
    const cutAtStop = statuses.filter(status => status === 0).length;
    return {cutAtStop, stoppedAfter};
  }

  private async ask(
    place: HostPlace,
    number: number,
    work = SHORT_WORK_MILLISECONDS,
  ): Promise<number> {
    const agent = new Agent({keepAlive: false});
    const id = `${place.name}.${number}`;
    const {name: host} = place;
    const asked = {id, host, route: 'read', key: KEY, work, withdrawn: false};
    const {status} = await askHost(
      place.callers,
      {...asked, route: 'read'},
      agent,
    );
    return status;
  }

  private at(index: number): Start {
    const start = this.starts[index];
    if (!start) throw new RangeError(`no host ${index}`);
    return start;
  }
}

function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}

/** The kernel's states of connections by their numbers. */
const STATES: Readonly<Record<string, string>> = {
  '01': 'established',
  '02': 'connecting',
  '06': 'time-wait',
  '08': 'close-wait',
  '0A': 'listening',
};

/** What uses a port, as `state to port`. */
function holdersOf(port: number): string[] {
  const lines = readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1);
  return lines.flatMap(line => {
    const [, local = '', remote = '', state = ''] = line.trim().split(/\s+/);
    if (parseInt(local.split(':')[1] ?? '', 16) !== port) return [];
    const other = parseInt(remote.split(':')[1] ?? '', 16);
    return [`${STATES[state] ?? state} to ${other}`];
  });
}
