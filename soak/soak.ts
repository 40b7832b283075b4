/**
 * One soak: real host processes before stand-ins, callers that never rest,
 * faults from outside by signals and proxies, and a ledger that is checked all
 * the while. Everything that is random comes from the seed; processes are ended
 * by their own ids.
 */
import {Agent} from 'node:http';

import {seededRandom, type RandomSource} from '../source/random/index.js';
import {EdgeFleet, statusOf, until} from '../test/support/edgeprocess.js';
import {openDeafCallers} from './burdens.js';
import {askHost, MAX_BODY_BYTES} from './caller.js';
import {SoakEndpoints, type Sender} from './endpoints.js';
import type {CommonStart, Fault, PlannedFault, SoakSize} from './faults.js';
import {SoakHosts} from './hosts.js';
import {Ledger, type Asked, type Got, type Violation} from './ledger.js';
import {commonStartOf, machinePlanOf} from './machineplan.js';
import {keepOutput} from './output.js';
import {deadlyPlanOf, loadPlanOf, planOf, restorePlanOf} from './plan.js';
import type {FaultyProxy} from './proxy.js';
import {queuedOf, readDuties} from './reading.js';
import {StoreCopies} from './restore.js';
import type {Station} from './station.js';

/** What a soak is. */
export interface SoakOptions extends SoakSize {
  readonly seed: number;
  /** Callers of each host. */
  readonly callers: number;
  /** Whether the machine and its neighbours do wrong as well. */
  readonly hasMachineFaults?: boolean;
  /** Path of the program of the hosts; that of the build where it is absent. */
  readonly program?: string;
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
  /** Path of what is kept of it where a promise was broken. */
  readonly output?: string;
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
/** Keeps the machine's faults apart from the plan of the others. */
const MACHINE_SEED = 5_000_003;
/** Keeps the first start apart from the plan of the faults. */
const START_SEED = 6_000_003;
const DEADLY_INTERVAL_MILLISECONDS = 120;
/** Deadly requests in the calm at the end, and crashes that they may cause. */
const LAST_DEADLY_REQUESTS = 24;
const LAST_CRASHES_MOST = 6;
const SCRAPE_MILLISECONDS = 1_000;
const WORK_MILLISECONDS = 20;
const OVERLOAD_WORK_MILLISECONDS = 150;
/** Callers that an overload adds for each host. */
const OVERLOAD_CALLERS = 16;
/** Callers that send large bodies to one host. */
const LARGE_CALLERS = 40;
/** Bodies of at least this share of the most that the configuration allows. */
const LARGE_SHARE_LEAST = 0.25;
const RETRY_MILLISECONDS = 40;
const PAUSE_MILLISECONDS_MOST = 60;
/** Within which everything is served again once the faults are over. */
const RECOVERY_MILLISECONDS = 60_000;

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

type Question = Pick<
  Asked,
  'key' | 'route' | 'work' | 'isDeadly' | 'bodyBytes'
>;
type RestoreFault = Extract<Fault, {kind: 'store-restored'}>;

/** Plays one soak to its end. */
export class Soak {
  private readonly fleet = new EdgeFleet();
  private readonly ledger = new Ledger();
  private readonly random: RandomSource;
  private readonly hosts: SoakHosts;
  private copies: StoreCopies | undefined;
  private readonly endpoints: SoakEndpoints;
  private readonly faults: string[] = [];
  private readonly repairs: Promise<void>[] = [];
  private keys: string[] = ['key-0'];
  private keyCount = 1;
  private over = false;
  private attempts = 0;
  private scrapes = 0;
  /** Disturbances of the whole deployment, and how many have ended. */
  private troubles = 0;
  private calmed = 0;

  constructor(private readonly options: SoakOptions) {
    this.random = seededRandom(options.seed + CALLERS_SEED);
    const {program} = options;
    if (program) this.fleet.program = program;
    this.hosts = new SoakHosts(this.fleet, this.ledger);
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
    const {seed} = this.options;
    let output: string | undefined;
    try {
      await this.begin();
      await this.playFaults();
    } catch (error) {
      this.keepOutput();
      throw error;
    } finally {
      this.end();
    }
    const {ledger, faults, scrapes} = this;
    const {asked, served, turnedAway, violations} = ledger;
    if (violations.length > 0) output = this.keepOutput();
    return {
      seed,
      faults,
      asked,
      served,
      turnedAway,
      queued: queuedOf(this.fleet),
      scrapes,
      violations,
      ...(output && {output}),
    };
  }

  /** Writes what is known so far into a file, and returns its path. */
  keepOutput(): string {
    const {seed} = this.options;
    const {violations} = this.ledger;
    const {faults} = this;
    return keepOutput({seed, faults, violations, processes: this.fleet.hosts});
  }

  private async begin(): Promise<void> {
    const {hosts, endpoints} = this.options;
    await this.fleet.site.start();
    this.copies = new StoreCopies(this.fleet.site);
    this.fleet.configure(this.keys);
    await this.endpoints.start(endpoints);
    const start = this.firstStart();
    this.faults.push(`0 ${JSON.stringify(start)}`);
    await this.hosts.start(hosts, start);
  }

  private firstStart(): CommonStart {
    const {seed, hosts, hasMachineFaults} = this.options;
    if (!hasMachineFaults) return {delays: [], storeAway: 0};
    return commonStartOf(seededRandom(seed + START_SEED), hosts);
  }

  private async playFaults(): Promise<void> {
    const {callers} = this.options;
    const {stations} = this;
    const asking = stations.flatMap((_, index) =>
      Array.from({length: callers}, () => this.call(index)),
    );
    const watching = stations.flatMap(station => [
      this.scrape(station),
      this.hosts.watchMemory(station),
    ]);
    await this.disturb();
    await Promise.all(this.repairs);
    await this.recover();
    await this.checkDeadly();
    await this.recover();
    this.over = true;
    this.copies?.stop();
    this.hosts.end();
    await Promise.all([...asking, ...watching]);
    readDuties(this.fleet.site.duties, this.ledger);
  }

  private async disturb(): Promise<void> {
    const began = performance.now();
    const {seed} = this.options;
    const plan = [
      ...planOf(seededRandom(seed), this.options),
      ...loadPlanOf(seededRandom(seed + LOAD_SEED), this.options),
      ...restorePlanOf(seededRandom(seed + RESTORE_SEED), this.options),
      ...deadlyPlanOf(seededRandom(seed + DEADLY_SEED), this.options),
      ...this.machinePlan(),
    ].sort((one, other) => one.at - other.at);
    for (const {at, fault} of plan) {
      await wait(Math.max(began + at - performance.now(), 0));
      this.faults.push(`${Math.round(at)} ${JSON.stringify(fault)}`);
      this.repairs.push(this.carryOut(fault));
    }
  }

  private machinePlan(): PlannedFault[] {
    const {seed, hasMachineFaults} = this.options;
    if (!hasMachineFaults) return [];
    return machinePlanOf(seededRandom(seed + MACHINE_SEED), this.options);
  }

  private async carryOut(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'kill':
      case 'stop':
        return this.hosts.restart(this.station(fault.host), fault.kind);
      case 'stop-twice':
        return this.hosts.restart(this.station(fault.host), 'stop', fault.gap);
      case 'overload':
        return this.overload(fault.lasts);
      case 'deadly':
        return this.sendDeadly(fault.lasts / DEADLY_INTERVAL_MILLISECONDS);
      case 'reload':
        return this.hosts.reload(this.station(fault.host));
      case 'freeze':
        return this.hosts.freeze(this.station(fault.host), fault.lasts);
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
      case 'all-started':
        return this.hosts.startAll(fault.start);
      case 'port-held':
        return this.hosts.restartHeld(fault);
      case 'early-successor':
        return this.hosts.succeed(this.station(fault.host));
      case 'signal-at-start':
        return this.hosts.signalAtStart(fault);
      case 'large-bodies':
        return this.sendLarge(fault.host, fault.lasts);
      case 'deaf-callers':
        return this.openDeaf(fault.host, fault.lasts);
      case 'deaf-endpoint': {
        const proxy = this.endpoints.proxy(fault.endpoint);
        return this.cut(proxy, 'deaf', fault.lasts);
      }
    }
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

  /** Many callers send large bodies to one host. */
  private async sendLarge(host: number, lasts: number): Promise<void> {
    this.troubles++;
    const end = performance.now() + lasts;
    const isOver = () => this.over || performance.now() > end;
    const send = async () => {
      const agent = new Agent({keepAlive: true, maxSockets: 1});
      while (!isOver()) {
        const share = this.random.next() * (1 - LARGE_SHARE_LEAST);
        const bodyBytes = Math.round((1 - share) * MAX_BODY_BYTES);
        const route = this.random.next() < 1 / 2 ? 'read' : 'record';
        const {newestKey: key} = this;
        const asked = {key, route, work: WORK_MILLISECONDS, bodyBytes} as const;
        await this.askFor(host, asked, agent);
      }
      agent.destroy();
    };
    await Promise.all(Array.from({length: LARGE_CALLERS}, send));
    this.calmed++;
  }

  /** Callers ask a host for large answers and read none. */
  private async openDeaf(host: number, lasts: number): Promise<void> {
    this.troubles++;
    const {callers} = this.station(host).process;
    const {newestKey: key} = this;
    const close = openDeafCallers(callers, () => {
      const asked = {key, route: 'read', work: 0} as const;
      return {key, id: this.enter(host, asked).id};
    });
    await wait(lasts);
    close();
    this.calmed++;
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
    spec: Question,
    agent: Agent,
  ): Promise<Got> {
    const asked = this.enter(index, spec);
    const got = await this.ask(this.station(index), asked, agent);
    this.ledger.get(asked, got);
    return got;
  }

  /** Enters a request in the ledger before it is sent. */
  private enter(index: number, spec: Question): Asked {
    const station = this.station(index);
    const {key} = spec;
    const asked = {
      ...spec,
      id: `${index}.${this.attempts++}.${this.options.seed}`,
      host: station.process.name,
      withdrawn: !this.keys.includes(key) && this.isCurrent(station),
    };
    this.ledger.ask(asked);
    return asked;
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
    const excused = reply.overdue || this.hosts.wasKilled(process);
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

  /** The host that sends a request. */
  private senderOf(request: string): Sender {
    const [host = ''] = request.split('.');
    const station = this.station(Number(host));
    const {process} = station;
    return {process, disturbances: this.disturbancesOf(station)};
  }

  private get stations(): readonly Station[] {
    return this.hosts.stations;
  }

  private station(index: number): Station {
    return this.hosts.at(index);
  }

  /** Ends everything that this soak has started. */
  end(): void {
    this.over = true;
    this.hosts.end();
    this.fleet.stop();
    this.endpoints.stop();
  }
}
