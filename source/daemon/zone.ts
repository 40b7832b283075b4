/**
 * What a host does with the other hosts: the links, and the desks that share
 * the log, the leases, the endpoints and the usage.
 */
import type {Admission} from '../admission/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {HeldGrants} from '../credits/index.js';
import type {EndpointAdapter} from '../engine/index.js';
import {
  CreditDesk,
  EndpointWatch,
  GrantedAllowances,
  LeaseDesk,
  Membership,
  Roster,
  UsageDesk,
  zoneLeaseOf,
  type Member,
} from '../fleet/index.js';
import type {Fold} from '../log/index.js';
import type {Logger} from '../logging/index.js';
import {PROTOCOL_VERSION, type Hello, type Message} from '../messages/index.js';
import type {Metrics} from '../metrics/index.js';
import {Mesh, type Peer} from '../peers/index.js';
import {EndpointTable, EqualSplitQuotas} from '../placement/index.js';
import type {HostEntry, Platform} from '../platform/index.js';
import type {Settings} from '../settings/index.js';
import {usageLeaseName} from '../usage/index.js';
import {RecordPlane} from './record.js';

const TICK_MILLISECONDS = 1_000;
const ANNOUNCE_MILLISECONDS = 2_000;
const LEASE_TICK_MILLISECONDS = 500;
/** Milliseconds by which each host waits longer for a lease than the one before. */
const RANK_PATIENCE_MILLISECONDS = 150;

/** What the zone plane is made from. */
export interface ZonePlaneOptions {
  readonly settings: Settings;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platform: Platform;
  /** Called when the log's state has changed. */
  readonly changed: (before: Fold, after: Fold) => void;
  /** Called when the host may have come to know all of the log. */
  readonly caughtUp: () => void;
  readonly state: () => HostEntry['state'];
}

/** The part of a host that deals with the others. */
export class ZonePlane {
  readonly endpoints: EndpointTable;
  readonly membership: Membership;
  readonly leases: LeaseDesk;
  readonly record: RecordPlane;
  readonly usage: UsageDesk;
  private readonly split: EqualSplitQuotas;
  private readonly holding = new HeldGrants();
  private readonly mesh: Mesh;
  private readonly roster: Roster;
  private readonly hello: Hello;
  private watch!: EndpointWatch;
  private credits!: CreditDesk;
  private timers: Cancel[] = [];

  constructor(private readonly options: ZonePlaneOptions) {
    const {settings, clock, metrics, logger, platform, incarnation} = options;
    const {name, zone} = settings;
    this.hello = {
      kind: 'hello',
      version: PROTOCOL_VERSION,
      name,
      incarnation,
      zone,
    };
    this.membership = new Membership({name, incarnation, zone, leaving: false});
    this.split = new EqualSplitQuotas(name);
    const allowances = new GrantedAllowances(this.holding, this.split, clock);
    this.endpoints = new EndpointTable(zone, clock, allowances);
    this.record = this.createRecord();
    this.mesh = this.createMesh();
    this.roster = this.createRoster();
    this.leases = new LeaseDesk({
      clock,
      logger,
      metrics,
      incarnation,
      append: record => platform.append([record]),
      readAt: () => this.record.follower.atEnd,
    });
    this.usage = this.createUsage();
  }

  /** Joins the fleet; the request plane’s parts are given here. */
  async start(admission: Admission, adapter: EndpointAdapter): Promise<void> {
    const {settings, clock} = this.options;
    this.watch = this.createWatch(adapter);
    this.credits = this.createCredits(admission);
    await this.mesh.start(settings.peers);
    this.contend();
    void this.record.follower.run();
    void this.announce();
    this.timers = [
      clock.every(TICK_MILLISECONDS, () => this.tick()),
      clock.every(ANNOUNCE_MILLISECONDS, () => void this.announce()),
      clock.every(LEASE_TICK_MILLISECONDS, () => this.leases.tick()),
      clock.every(settings.loadPollMilliseconds, () => this.watch.poll()),
    ];
  }

  get fold(): Fold {
    return this.record.fold;
  }

  get logInReach(): boolean {
    return this.record.follower.inReach;
  }

  /** The hosts that a link leads to. */
  peers(): Peer[] {
    return this.mesh.list();
  }

  /** Notes that what waits or runs has changed. */
  noteChange(): void {
    this.credits?.noteChange();
  }

  /** Notes what an answer said of its endpoint. */
  noteAnswer(endpoint: string, state: 'cold' | 'warm' | 'leaving'): void {
    this.watch.noteAnswer(endpoint, state);
  }

  /** Enters this host in the platform’s list and reads the list. */
  announce(): Promise<void> {
    return this.roster.announce();
  }

  /** Hands over everything that others need; resolves when they can have it. */
  async leave(bound: number): Promise<void> {
    const {platform, metrics, clock} = this.options;
    this.membership.join({...this.self(), leaving: true});
    this.leases.leave();
    const sheets = this.usage.seal();
    this.mesh.broadcast({kind: 'usage', sheets});
    const late = new Promise<void>(resolve => clock.after(bound, resolve));
    const settled = this.record.writer.whenSettled();
    const kept = platform
      .append([{kind: 'usage-sheets', sheets}])
      .catch(() => metrics.count('append-failed', {kind: 'usage-sheets'}));
    await Promise.race([late, Promise.all([settled, kept])]);
  }

  stop(): void {
    this.record.follower.stop();
    this.mesh.stop();
    for (const cancel of this.timers) cancel();
  }

  private self(): Member {
    const {name, incarnation, zone} = this.hello;
    return {name, incarnation, zone, leaving: false};
  }

  private tick(): void {
    this.contend();
    this.credits.tick();
    this.usage.tick();
    const lease = usageLeaseName(this.options.settings.region);
    this.record.snapshotIfDue(() => this.leases.mayAct(lease));
    this.askForEntries();
  }

  private contend(): void {
    const {zone, region} = this.options.settings;
    const zoneRank = this.membership.rank(zone, 'lease');
    this.leases.contend(zoneLeaseOf(zone), patienceOf(zoneRank));
    const names = this.membership.live().map(({incarnation}) => incarnation);
    const regionRank = names.sort().indexOf(this.options.incarnation);
    this.leases.contend(usageLeaseName(region), patienceOf(regionRank));
  }

  /** Asks a host that has applied more for the entries, if the log is away. */
  private askForEntries(): void {
    if (this.record.follower.inReach) return;
    const {wanted: from} = this.record;
    for (const {heartbeat, link} of this.mesh.list()) {
      if (!heartbeat) continue;
      if (heartbeat.logInReach && heartbeat.applied < this.fold.next) {
        this.record.noteRelayed();
      }
      if (heartbeat.applied >= this.fold.next) {
        link.send({kind: 'log-request', from});
        return;
      }
    }
    this.options.caughtUp();
  }

  private takeMessage(hello: Hello, message: Message): void {
    switch (message.kind) {
      case 'heartbeat': {
        const {name, incarnation, zone} = hello;
        const {leaving} = message;
        this.membership.join({name, incarnation, zone, leaving});
        this.askForEntries();
        return;
      }
      case 'demand':
        return this.credits.takeDemand(hello.incarnation, message);
      case 'grant':
        return this.credits.takeGrant(message);
      case 'endpoint-state':
        return this.watch.noteMessage(message);
      case 'usage':
        return this.usage.receive(message.sheets);
      case 'log-request': {
        const answer = this.record.log.answer(message.from);
        if (answer) this.mesh.get(hello.incarnation)?.link.send(answer);
        return;
      }
      case 'log-entries':
        return this.record.log.takeAnswer(message);
      default:
        return;
    }
  }

  private linkUp({hello, link}: Peer): void {
    const {name, incarnation, zone} = hello;
    this.membership.join({name, incarnation, zone, leaving: false});
    for (const message of this.watch.messages()) link.send(message);
    link.send(this.usage.everything());
    this.credits.noteChange();
  }

  private linkDown({incarnation}: Hello): void {
    this.membership.leave(incarnation);
    this.credits.drop(incarnation);
    this.credits.noteChange();
  }

  private createRecord(): RecordPlane {
    const {changed, settings, caughtUp} = this.options;
    return new RecordPlane({
      ...this.options,
      snapshotRecords: settings.snapshotRecords,
      caughtUp: () => caughtUp(),
      sheets: sheets => this.usage.receive(sheets),
      changed: (before, after) => {
        this.leases.read(after.leases);
        if (after.usage !== before.usage) this.usage.settle();
        changed(before, after);
      },
    });
  }

  private createMesh(): Mesh {
    const {clock, settings, metrics} = this.options;
    return new Mesh({
      clock,
      self: this.hello,
      secrets: settings.peerSecret.split(','),
      pulse: () => ({
        applied: this.fold.next - 1,
        logInReach: this.logInReach,
        leaving: this.options.state() === 'leaving',
      }),
      up: peer => this.linkUp(peer),
      down: hello => this.linkDown(hello),
      message: (hello, message) => this.takeMessage(hello, message),
      fault: reason => metrics.count('link-fault', {reason}),
    });
  }

  private createRoster(): Roster {
    const {platform, metrics, settings, incarnation} = this.options;
    const {name, zone, callers, operators, peers} = settings;
    const addresses = {callers, operators, peers};
    return new Roster({
      clock: this.options.clock,
      platform,
      metrics,
      membership: this.membership,
      split: this.split,
      entry: () => {
        const state = this.options.state();
        return {name, incarnation, zone, state, ...addresses};
      },
      listed: others =>
        this.mesh.setListed(others.filter(host => this.isNear(host.zone))),
    });
  }

  /** Links lead to the hosts of the region; a zone not yet known may be in it. */
  private isNear(zone: string): boolean {
    const known = this.fold.configuration.tables.zones.get(zone)?.object;
    return known === undefined || known.region === this.options.settings.region;
  }

  private createUsage(): UsageDesk {
    const {clock, metrics, platform, settings, incarnation} = this.options;
    return new UsageDesk({
      clock,
      metrics,
      platform,
      leases: this.leases,
      region: settings.region,
      incarnation,
      window: settings.usageWindowMilliseconds,
      ledger: () => this.fold.usage,
      alive: () => this.membership.incarnations(),
      broadcast: message => this.mesh.broadcast(message),
    });
  }

  private createWatch(adapter: EndpointAdapter): EndpointWatch {
    const {clock, metrics} = this.options;
    const {endpoints, membership} = this;
    return new EndpointWatch({
      clock,
      adapter,
      endpoints,
      membership,
      metrics,
      broadcast: message => this.mesh.broadcast(message),
      guards: zone => this.leases.mayAct(zoneLeaseOf(zone)),
      changed: () => this.credits?.noteChange(),
    });
  }

  private createCredits(admission: Admission): CreditDesk {
    const {clock, metrics, incarnation, settings} = this.options;
    const {endpoints, membership, watch, leases, holding} = this;
    return new CreditDesk({
      clock,
      metrics,
      incarnation,
      zone: settings.zone,
      admission,
      endpoints,
      membership,
      watch,
      leases,
      holding,
      configuration: () => this.fold.configuration,
      standings: () => this.fold.leases,
      send: (to, message) => this.mesh.get(to)?.link.send(message),
    });
  }
}

function patienceOf(rank: number): number {
  return Math.max(rank, 0) * RANK_PATIENCE_MILLISECONDS;
}
