/**
 * One soak: real host processes before stand-ins, callers that never rest,
 * faults from outside by signals and proxies, and a ledger that is checked all
 * the while. Everything that is random comes from the seed; processes are ended
 * by their own ids.
 */
import {Agent} from 'node:http';

import {seededRandom, type RandomSource} from '../source/random/index.js';
import {
  EdgeFleet,
  statusOf,
  until,
  type HostProcess,
  type Line,
} from '../test/support/edgeprocess.js';
import {askHost} from './caller.js';
import {SoakEndpoints, type Sender} from './endpoints.js';
import {Ledger, TEAM, type Asked, type Got, type Violation} from './ledger.js';
import {
  deadlyPlanOf,
  loadPlanOf,
  planOf,
  restorePlanOf,
  type Fault,
  type SoakSize,
} from './plan.js';
import {StoreCopies} from './restore.js';
import {FaultyProxy} from './proxy.js';
import type {Station} from './station.js';

/** What a soak is. */
export interface SoakOptions extends SoakSize {
  readonly seed: number;
  /** Callers of each host. */
  readonly callers: number;
}

/** What came of it. */
export interface SoakReport {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly asked: number;
  readonly served: number;
  /** Requests that were turned away with the promise not to run. */
  readonly turnedAway: number;
  /** Requests that hosts say they have queued; a host logs not all of them. */
  readonly queued: number;
  /** Answers of the hosts with their metrics. */
  readonly scrapes: number;
  readonly violations: readonly Violation[];
}

const ROUTES = ['read', 'record', 'draft'] as const;
/** Share of requests that bear a key which may be withdrawn. */
const OLD_KEY_SHARE = 0.2;
/** Keeps what callers do apart from the plan of the faults. */
const CALLERS_SEED = 1_000_003;
/** Keeps the phases of overload apart from the plan of the faults. */
const LOAD_SEED = 2_000_003;
/** Keeps the restores of the store apart from the plan of the faults. */
const RESTORE_SEED = 3_000_000;
/** Keeps the deadly requests apart from the plan of the faults. */
const DEADLY_SEED = 4_000_003;
const DEADLY_INTERVAL_MILLISECONDS = 120;
/** Deadly requests in the calm at the end, and crashes that they may cause. */
const LAST_DEADLY_REQUESTS = 24;
const LAST_CRASHES_MOST = 6;
const SCRAPE_MILLISECONDS = 1_000;
const WORK_MILLISECONDS = 20;
const OVERLOAD_WORK_MILLISECONDS = 150;
/** Callers that an overload adds for each host. */
const OVERLOAD_CALLERS = 16;
const ERROR_LENGTH = 400;
const BOOT_MILLISECONDS = 300;
/** A request that waited longer before it was sent had been queued. */
const QUEUED_MILLISECONDS = 100;
const RESTART_MILLISECONDS = 300;
const RETRY_MILLISECONDS = 40;
const PAUSE_MILLISECONDS_MOST = 60;
/** Within which everything is served again once the faults are over. */
const RECOVERY_MILLISECONDS = 60_000;

const UNDISTURBED = {disturbed: 0, calmed: 0, up: true, stopping: false};

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

type RestoreFault = Extract<Fault, {kind: 'store-restored'}>;

/** Plays one soak to its end. */
export class Soak {
  private readonly fleet = new EdgeFleet();
  private readonly ledger = new Ledger();
  private readonly random: RandomSource;
  private readonly stations: Station[] = [];
  private copies: StoreCopies | undefined;
  private readonly endpoints: SoakEndpoints;
  private readonly faults: string[] = [];
  private readonly repairs: Promise<void>[] = [];
  private keys: string[] = ['key-0'];
  private keyCount = 1;
  private over = false;
  private attempts = 0;
  private scrapes = 0;
  /** Host processes that were told to end, and by which signal. */
  private readonly told = new Map<HostProcess, 'SIGKILL' | 'SIGTERM'>();
  /** Disturbances of the whole deployment, and how many have ended. */
  private troubles = 0;
  private calmed = 0;

  constructor(private readonly options: SoakOptions) {
    this.random = seededRandom(options.seed + CALLERS_SEED);
    this.endpoints = new SoakEndpoints({
      fleet: this.fleet,
      ledger: this.ledger,
      senderOf: request => this.senderOf(request),
      onTrouble: () => this.troubles++,
      onCalm: () => this.calmed++,
      onRepair: repair => this.repairs.push(repair),
    });
  }

  /** Plays it; everything that it started has ended when it resolves. */
  async play(): Promise<SoakReport> {
    const {seed, callers} = this.options;
    try {
      await this.begin();
      const asking = this.stations.flatMap((_, index) =>
        Array.from({length: callers}, () => this.call(index)),
      );
      const scraping = this.stations.map(station => this.scrape(station));
      await this.disturb();
      await Promise.all(this.repairs);
      await this.recover();
      await this.checkDeadly();
      await this.recover();
      this.over = true;
      this.copies?.stop();
      await Promise.all([...asking, ...scraping]);
      this.readDuties();
    } finally {
      this.end();
    }
    const {ledger, faults, scrapes} = this;
    const {asked, served, turnedAway, violations} = ledger;
    const {queued} = this;
    return {
      seed,
      faults,
      asked,
      served,
      turnedAway,
      queued,
      scrapes,
      violations,
    };
  }

  private async begin(): Promise<void> {
    const {hosts, endpoints} = this.options;
    await this.fleet.site.start();
    this.copies = new StoreCopies(this.fleet.site);
    this.fleet.configure(this.keys);
    await this.endpoints.start(endpoints);
    for (let index = 0; index < hosts; index++) {
      const store = new FaultyProxy(this.fleet.site.address);
      await store.start();
      const name = `host-${index}`;
      const process = await this.fleet.host(name, undefined, store.address);
      const station = {process, store, ...UNDISTURBED};
      this.stations.push(station);
      this.watch(station);
    }
    for (const {process} of this.stations) await this.fleet.ready(process);
  }

  private async disturb(): Promise<void> {
    const began = performance.now();
    const {seed} = this.options;
    const plan = [
      ...planOf(seededRandom(seed), this.options),
      ...loadPlanOf(seededRandom(seed + LOAD_SEED), this.options),
      ...restorePlanOf(seededRandom(seed + RESTORE_SEED), this.options),
      ...deadlyPlanOf(seededRandom(seed + DEADLY_SEED), this.options),
    ].sort((one, other) => one.at - other.at);
    for (const {at, fault} of plan) {
      await wait(Math.max(began + at - performance.now(), 0));
      this.faults.push(`${Math.round(at)} ${JSON.stringify(fault)}`);
      this.repairs.push(this.carryOut(fault));
    }
  }

  private async carryOut(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'kill':
      case 'stop':
        return this.restart(this.station(fault.host), fault.kind);
      case 'stop-twice':
        return this.restart(this.station(fault.host), 'stop', fault.gap);
      case 'overload':
        return this.overload(fault.lasts);
      case 'deadly':
        return this.sendDeadly(fault.lasts / DEADLY_INTERVAL_MILLISECONDS);
      case 'reload':
        return void this.signal(this.station(fault.host), 'SIGHUP');
      case 'freeze':
        return this.freeze(this.station(fault.host), fault.lasts);
      case 'store-cut': {
        const station = this.station(fault.host);
        return this.cut(station.store, fault.mode, fault.lasts);
      }
      case 'endpoint-cut': {
        const proxy = this.endpoints.proxy(fault.endpoint);
        return this.cut(proxy, fault.mode, fault.lasts);
      }
      case 'store-away':
        return this.whileTrue('away', fault.lasts);
      case 'store-busy':
        return this.whileTrue('busy', fault.lasts);
      case 'store-loses':
        this.fleet.site.faults.loseAppends += fault.answers;
        return;
      case 'store-forgets':
        return this.fleet.site.forget('keyed.op');
      case 'store-restored':
        return this.restoreStore(fault);
      case 'endpoint-leaves':
        return this.endpoints.leave(fault.endpoint);
      case 'endpoint-crashes':
        return this.endpoints.crash(fault.endpoint);
      case 'keys-change':
        return this.changeKeys();
    }
  }

  private async restart(
    station: Station,
    how: 'kill' | 'stop',
    /** Milliseconds after which it is told a second time. */
    gap?: number,
  ): Promise<void> {
    if (!station.up) return;
    station.up = false;
    if (how === 'kill') station.disturbed++;
    else station.stopping = true;
    const signal = how === 'kill' ? 'SIGKILL' : 'SIGTERM';
    const {child, ended} = station.process;
    this.told.set(station.process, signal);
    child.kill(signal);
    if (gap !== undefined) {
      await Promise.race([wait(gap), ended]);
      child.kill(signal);
    }
    // A host that is frozen as well ends when it wakes.
    await ended;
    await wait(RESTART_MILLISECONDS);
    this.launch(station);
    await this.fleet.ready(station.process);
    if (how === 'kill') station.calmed++;
  }

  private launch(station: Station): void {
    station.process = this.fleet.restart(station.process);
    station.up = true;
    station.stopping = false;
    this.watch(station);
  }

  /** Checks how a process ends, and starts one anew that ended by itself. */
  private watch(station: Station): void {
    const {process} = station;
    const started = performance.now();
    void process.ended.then(async code => {
      if (this.over) return;
      const {signalCode} = process.child;
      const signal = this.told.get(process);
      const isLoading = signalCode === 'SIGTERM';
      const isStopped = signal === 'SIGTERM' && (code === 0 || isLoading);
      if (signal === 'SIGKILL' || isStopped) return;
      // Node itself is still starting, so the program has no listener yet.
      const age = performance.now() - started;
      const isBooting = signalCode === 'SIGHUP' && age < BOOT_MILLISECONDS;
      const error = process.errors.join('').slice(-ERROR_LENGTH);
      if (!isBooting)
        this.ledger.ended(
          process.name,
          `${code} ${signalCode} after ${Math.round(age)} ms, ` +
            `${process.lines.length} lines ${error}`,
        );
      if (signal) return;
      await wait(RESTART_MILLISECONDS);
      if (station.process === process && station.up) this.launch(station);
    });
  }

  /** Reads the metrics of a host once a second. */
  private async scrape(station: Station): Promise<void> {
    while (!this.over) {
      void statusOf(station.process.metrics, '/metrics').then(status => {
        if (status === 200) this.scrapes++;
      });
      await wait(SCRAPE_MILLISECONDS);
    }
  }

  /** More requests at once than the endpoints have slots. */
  private async overload(lasts: number): Promise<void> {
    const end = performance.now() + lasts;
    const isOver = () => this.over || performance.now() > end;
    const asking = this.stations.flatMap((_, index) =>
      Array.from({length: OVERLOAD_CALLERS}, () =>
        this.callUntil(index, isOver, OVERLOAD_WORK_MILLISECONDS),
      ),
    );
    await Promise.all(asking);
  }

  private signal({process: {child}, up}: Station, name: NodeJS.Signals): void {
    if (up) child.kill(name);
  }

  private async freeze(station: Station, lasts: number): Promise<void> {
    const {child} = station.process;
    station.disturbed++;
    child.kill('SIGSTOP');
    await wait(lasts);
    child.kill('SIGCONT');
    station.calmed++;
  }

  private async cut(
    proxy: FaultyProxy,
    mode: Parameters<FaultyProxy['set']>[0],
    lasts: number,
  ): Promise<void> {
    this.troubles++;
    proxy.set(mode);
    await wait(lasts);
    proxy.set('pass');
    this.calmed++;
  }

  private async whileTrue(
    fault: 'away' | 'busy',
    lasts: number,
  ): Promise<void> {
    const {faults} = this.fleet.site;
    faults[fault] = true;
    await wait(lasts);
    faults[fault] = false;
  }

  /** The store is away and comes back from an older copy. */
  private async restoreStore({
    age,
    lasts,
    rewrittenAfter,
  }: RestoreFault): Promise<void> {
    await this.whileTrue('away', lasts);
    const rewrite = this.copies?.restore(age);
    await wait(rewrittenAfter);
    rewrite?.();
  }

  /** Sends a request on which endpoints crash so many times, to each host in turn. */
  private async sendDeadly(count: number): Promise<void> {
    const agent = new Agent({keepAlive: false});
    const asked = {
      route: 'read',
      work: WORK_MILLISECONDS,
      isDeadly: true,
    } as const;
    for (let number = 0; number < count; number++) {
      const index = number % this.stations.length;
      void this.askFor(index, {...asked, key: this.newestKey}, agent);
      await wait(DEADLY_INTERVAL_MILLISECONDS);
    }
  }

  /** Checks that a deadly request stops to crash endpoints, in the calm. */
  private async checkDeadly(): Promise<void> {
    const before = this.endpoints.crashes;
    await this.sendDeadly(LAST_DEADLY_REQUESTS);
    const crashes = this.endpoints.crashes - before;
    if (crashes > LAST_CRASHES_MOST)
      this.ledger.broken('crashing-request-stops', `${crashes} crashes`);
  }

  private changeKeys(): void {
    this.keys = [...this.keys, `key-${this.keyCount++}`].slice(-2);
    this.fleet.configure(this.keys);
  }

  /** Whether a host has said that it knows the newest configuration. */
  private isCurrent({process: {lines}}: Station): boolean {
    const known = lines.findLast(({event}) => event === 'configuration');
    return known?.fields['version'] === this.fleet.configured;
  }

  private call(index: number): Promise<void> {
    return this.callUntil(index, () => this.over, WORK_MILLISECONDS);
  }

  /** Asks on one kept connection, again and again. */
  private async callUntil(
    index: number,
    isOver: () => boolean,
    work: number,
  ): Promise<void> {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    while (!isOver()) {
      const known = Math.floor(this.random.next() * this.keyCount);
      const old = this.random.next() < OLD_KEY_SHARE;
      const key = old ? `key-${known}` : this.newestKey;
      const route = ROUTES[Math.floor(this.random.next() * ROUTES.length)];
      const asked = {key, route: route ?? 'read', work};
      const got = await this.askFor(index, asked, agent);
      const pause = this.random.next() * PAUSE_MILLISECONDS_MOST;
      await wait(got.status === 0 ? RETRY_MILLISECONDS : pause);
    }
    agent.destroy();
  }

  private get newestKey(): string {
    return this.keys.at(-1) ?? '';
  }

  private async askFor(
    index: number,
    spec: Pick<Asked, 'key' | 'route' | 'work' | 'isDeadly'>,
    agent: Agent,
  ): Promise<Got> {
    const station = this.station(index);
    const {key} = spec;
    const asked = {
      ...spec,
      id: `${index}.${this.attempts++}.${this.options.seed}`,
      host: station.process.name,
      withdrawn: !this.keys.includes(key) && this.isCurrent(station),
    };
    this.ledger.ask(asked);
    const got = await this.ask(station, asked, agent);
    this.ledger.get(asked, got);
    return got;
  }

  /** Asks, and notes whether anything but a planned stop can have cut it. */
  private async ask(
    station: Station,
    asked: Asked,
    agent: Agent,
  ): Promise<Got> {
    const {process} = station;
    const before = this.disturbancesOf(station);
    const calmBefore = this.isCalm(station);
    const reply = await askHost(process.callers, asked, agent);
    const stopped = station.stopping || process !== station.process;
    const undisturbed =
      calmBefore &&
      this.isCalm(station) &&
      this.disturbancesOf(station) === before;
    const plannedOnly = stopped && undisturbed && !reply.overdue;
    const excused = reply.overdue || this.told.get(process) === 'SIGKILL';
    return {...reply, plannedOnly, excused};
  }

  private disturbancesOf({disturbed}: Station): number {
    return disturbed + this.troubles;
  }

  private isCalm({calmed, disturbed}: Station): boolean {
    return calmed === disturbed && this.calmed === this.troubles;
  }

  /** Waits until every host serves every route again. */
  private async recover(): Promise<void> {
    const {site} = this.fleet;
    site.faults.loseAppends = 0;
    const end = performance.now() + RECOVERY_MILLISECONDS;
    const agent = new Agent({keepAlive: false});
    for (const index of this.stations.keys()) {
      await until(async () => {
        const {newestKey: key} = this;
        const work = WORK_MILLISECONDS;
        const asked = {key, route: 'read', work} as const;
        const got = await this.askFor(index, asked, agent);
        return got.status === 200 || performance.now() > end;
      });
    }
    if (performance.now() <= end) return;
    this.ledger.broken('served-again', 'not within a minute of the last fault');
  }

  private get queued(): number {
    const lines = this.fleet.hosts.flatMap(host => host.lines);
    const isQueued = ({event, fields}: Line) =>
      event === 'request-sent' &&
      Number(fields['waited']) > QUEUED_MILLISECONDS;
    return lines.filter(isQueued).length;
  }

  private readDuties(): void {
    const runs = new Map<number, number>();
    for (const {path, fence, body} of this.fleet.site.duties) {
      this.ledger.fence(path, fence);
      if (path !== '/usage') continue;
      const window = Number(body['windowId']);
      this.ledger.report(window, JSON.stringify(body['counts']));
      const counts = body['counts'] as Record<string, number>;
      runs.set(window, counts[TEAM] ?? 0);
    }
    this.ledger.checkUsage([...runs.values()].reduce((a, b) => a + b, 0));
  }

  /** The host that sends a request. */
  private senderOf(request: string): Sender {
    const [host = ''] = request.split('.');
    const station = this.station(Number(host));
    const {process} = station;
    return {process, disturbances: this.disturbancesOf(station)};
  }

  private station(index: number): Station {
    const station = this.stations[index];
    if (!station) throw new RangeError(`no host ${index}`);
    return station;
  }

  /** Ends everything that this soak has started. */
  end(): void {
    this.over = true;
    for (const {store} of this.stations) store.stop();
    this.fleet.stop();
    this.endpoints.stop();
  }
}
