/**
 * One soak: real host processes before stand-ins, callers that never rest,
 * faults from outside by signals and proxies, and a ledger that is checked all
 * the while. Everything that is random comes from the seed; processes are ended
 * by their own ids.
 */
import {Agent} from 'node:http';

import {seededRandom} from '../source/random/index.js';
import {EdgeFleet, statusOf, until} from '../test/support/edgeprocess.js';
import {SoakCallers} from './callers.js';
import {SoakEndpoints} from './endpoints.js';
import type {CommonStart, Fault, PlannedFault, SoakSize} from './faults.js';
import {SoakHosts} from './hosts.js';
import {Ledger, type Violation} from './ledger.js';
import {descriptorPlanOf} from './descriptorplan.js';
import {commonStartOf, machinePlanOf, machineRandomOf} from './machineplan.js';
import {keepOutput} from './output.js';
import {deadlyPlanOf, loadPlanOf, planOf, restorePlanOf} from './plan.js';
import type {FaultyProxy} from './proxy.js';
import {queuedOf, readDuties} from './reading.js';
import {StoreCopies} from './restore.js';
import type {Station} from './station.js';
import {Troubles} from './troubles.js';
import {wait} from './wait.js';

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
  /** The most that a host process has taken of memory. */
  readonly peakMegabytes: number;
  readonly violations: readonly Violation[];
  /** Path of what is kept of it where a promise was broken. */
  readonly output?: string;
}

/** Keeps the phases of overload apart from the plan of the faults. */
const LOAD_SEED = 2_000_003;
/** Keeps the restores of the store apart from the plan of the faults. */
const RESTORE_SEED = 3_000_000;
/** Keeps the deadly requests apart from the plan of the faults. */
const DEADLY_SEED = 4_000_003;
/** Keeps the machine's faults apart from the plan of the others. */
const MACHINE_SEED = 5_000_003;
/** Keeps connections that never finish apart from the machine's other faults. */
const DESCRIPTOR_SEED = 7_000_003;
/** Keeps the first start apart from the plan of the faults. */
const START_SEED = 6_000_003;
/** Deadly requests in the calm at the end, and crashes that they may cause. */
const LAST_DEADLY_REQUESTS = 24;
const LAST_CRASHES_MOST = 6;
const SCRAPE_MILLISECONDS = 1_000;
/** Within which everything is served again once the faults are over. */
const RECOVERY_MILLISECONDS = 60_000;

type LargeBodies = Extract<Fault, {kind: 'large-bodies'}>;
type RestoreFault = Extract<Fault, {kind: 'store-restored'}>;

/** Plays one soak to its end. */
export class Soak {
  private readonly fleet = new EdgeFleet();
  private readonly ledger = new Ledger();
  private readonly hosts: SoakHosts;
  private readonly callers: SoakCallers;
  private copies: StoreCopies | undefined;
  private readonly endpoints: SoakEndpoints;
  private readonly faults: string[] = [];
  private readonly repairs: Promise<void>[] = [];
  private over = false;
  private scrapes = 0;
  private readonly troubles = new Troubles();

  constructor(private readonly options: SoakOptions) {
    const {program, seed} = options;
    if (program) this.fleet.program = program;
    const {fleet, ledger, troubles} = this;
    this.hosts = new SoakHosts(fleet, ledger);
    const {hosts} = this;
    this.callers = new SoakCallers({fleet, ledger, hosts, troubles, seed});
    this.endpoints = new SoakEndpoints({
      fleet,
      ledger,
      senderOf: request => this.callers.senderOf(request),
      onTrouble: () => troubles.begin(),
      onCalm: () => troubles.end(),
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
      peakMegabytes: this.hosts.peakMegabytes,
      violations,
      ...(output && {output}),
    };
  }

  /** Writes what is known so far into a file, and returns its path. */
  keepOutput(): string {
    const {seed} = this.options;
    const {violations} = this.ledger;
    const {faults} = this;
    return keepOutput({
      seed,
      faults,
      violations,
      written: this.fleet.written(),
    });
  }

  private async begin(): Promise<void> {
    const {hosts, endpoints} = this.options;
    await this.fleet.site.start();
    this.copies = new StoreCopies(this.fleet.site);
    this.fleet.configure(this.callers.keys);
    await this.endpoints.start(endpoints);
    const start = this.firstStart();
    this.faults.push(`0 ${JSON.stringify(start)}`);
    await this.hosts.start(hosts, start);
  }

  private firstStart(): CommonStart {
    const {seed, hosts, hasMachineFaults} = this.options;
    if (!hasMachineFaults) return {delays: [], storeAway: 0};
    return commonStartOf(machineRandomOf(seed + START_SEED), hosts);
  }

  private async playFaults(): Promise<void> {
    const {callers} = this.options;
    const {stations} = this;
    const asking = stations.flatMap((_, index) =>
      Array.from({length: callers}, () => this.callers.call(index)),
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
    this.callers.stop();
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
    const random = machineRandomOf(seed + DESCRIPTOR_SEED);
    return [
      ...machinePlanOf(machineRandomOf(seed + MACHINE_SEED), this.options),
      ...descriptorPlanOf(random, this.options),
    ];
  }

  private async carryOut(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'kill':
      case 'stop':
        return this.hosts.restart(this.station(fault.host), fault.kind);
      case 'stop-twice':
        return this.hosts.restart(this.station(fault.host), 'stop', fault.gap);
      case 'overload':
        return this.callers.overload(fault.lasts);
      case 'deadly':
        return this.callers.sendDeadlyFor(fault.lasts);
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
        return this.callers.changeKeys();
      case 'all-started':
        return this.hosts.startAll(fault.start);
      case 'port-held':
        return this.hosts.restartHeld(fault);
      case 'early-successor':
        return this.hosts.succeed(this.station(fault.host));
      case 'signal-at-start':
        return this.hosts.signalAtStart(fault);
      case 'large-bodies':
        return this.sendLarge(fault);
      case 'deaf-callers':
        return this.callers.openDeaf(fault.host, fault.lasts);
      case 'unfinished-heads':
        return this.callers.openUnfinished(fault.host, fault.lasts);
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

  private async cut(
    proxy: FaultyProxy,
    mode: Parameters<FaultyProxy['set']>[0],
    lasts: number,
  ): Promise<void> {
    this.troubles.begin();
    proxy.set(mode);
    await wait(lasts);
    proxy.set('pass');
    this.troubles.end();
  }

  private async sendLarge({host, lasts, isUnread}: LargeBodies): Promise<void> {
    const {endpoints} = this.options;
    const count = isUnread ? endpoints : 0;
    const cuts = Array.from({length: count}, (_, index) =>
      this.cut(this.endpoints.proxy(index), 'deaf', lasts),
    );
    await Promise.all([this.callers.sendLarge(host, lasts), ...cuts]);
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

  /** Checks that a deadly request stops to crash endpoints, in the calm. */
  private async checkDeadly(): Promise<void> {
    const before = this.endpoints.crashes;
    await this.callers.sendDeadly(LAST_DEADLY_REQUESTS);
    const crashes = this.endpoints.crashes - before;
    if (crashes > LAST_CRASHES_MOST)
      this.ledger.broken('crashing-request-stops', `${crashes} crashes`);
  }

  /** Waits until every host serves every route again. */
  private async recover(): Promise<void> {
    const {site} = this.fleet;
    site.faults.loseAppends = 0;
    const end = performance.now() + RECOVERY_MILLISECONDS;
    const agent = new Agent({keepAlive: false});
    for (const index of this.stations.keys()) {
      await until(
        async () =>
          (await this.callers.isServed(index, agent)) ||
          performance.now() > end,
      );
    }
    if (performance.now() <= end) return;
    this.ledger.broken('served-again', 'not within a minute of the last fault');
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
    this.callers.stop();
    this.hosts.end();
    this.fleet.stop();
    this.endpoints.stop();
  }
}
