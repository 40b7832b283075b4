/**
 * What a host does with the other hosts: the links, and the desks that share
 * the log, the leases, the endpoints and the usage.
 */
import type {Admission} from '../admission/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {HeldGrants} from '../credits/index.js';
import type {EndpointAdapter} from '../engine/index.js';
import {
  CreditCoordinator,
  EndpointMonitor,
  GrantedSlotQuotas,
  LeaseManager,
  Membership,
  HostDiscovery,
  UsageTracker,
  zoneLeaseName,
  type Member,
} from '../fleet/index.js';
import type {LogState} from '../log/index.js';
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
  readonly changed: (before: LogState, after: LogState) => void;
  /** Called when the host may have come to know all of the log. */
  readonly caughtUp: () => void;
  readonly state: () => HostEntry['state'];
}

/** The part of a host that deals with the others. */
export class ZonePlane {
  readonly endpoints: EndpointTable;
  readonly membership: Membership;
  readonly leases: LeaseManager;
  readonly record: RecordPlane;
  readonly usage: UsageTracker;
  private readonly split: EqualSplitQuotas;
  private readonly holding = new HeldGrants();
  private readonly mesh: Mesh;
  private readonly roster: HostDiscovery;
  private readonly hello: Hello;
  private watch!: EndpointMonitor;
  private credits!: CreditCoordinator;
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
    const allowances = new GrantedSlotQuotas(this.holding, this.split, clock);
    this.endpoints = new EndpointTable(zone, clock, allowances);
    this.record = this.createRecord();
    this.mesh = this.createMesh();
    this.roster = this.createRoster();
    this.leases = new LeaseManager({
      clock,
      logger,
      metrics,
      incarnation,
      append: record => platform.append([record]),
      readAt: () => this.record.follower.lastCaughtUpAt,
    });
    this.usage = this.createUsage();
  }

  /** Joins the fleet; the request plane’s parts are given here. */
  start(admission: Admission, adapter: EndpointAdapter): void {
    const {settings, clock} = this.options;
    this.watch = this.createWatch(adapter);
    this.credits = this.createCredits(admission);
    this.mesh.start(settings.peers);
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

  get fold(): LogState {
    return this.record.fold;
  }

  get logInReach(): boolean {
    return this.record.follower.isReachable;
  }

  /** The hosts that a link leads to. */
  peers(): Peer[] {
    return this.mesh.list();
  }

  /** Notes that what waits or runs has changed. */
  noteChange(): void {
    this.credits?.scheduleDemands();
  }

  /** Notes what an answer said of its endpoint. */
  noteAnswer(endpoint: string, state: 'cold' | 'warm' | 'leaving'): void {
    this.watch.recordResponseState(endpoint, state);
  }

  /** Enters this host in the platform’s list and reads the list. */
  announce(): Promise<void> {
    return this.roster.announce();
  }

  /** Hands over everything that others need; resolves when they can have it. */
  async leave(bound: number): Promise<void> {
    const {platform, metrics, clock} = this.options;
    this.membership.setReachable({...this.self(), leaving: true});
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
    const zoneRank = this.membership.preferenceRank(zone, 'lease');
    this.leases.contend(zoneLeaseName(zone), patienceOf(zoneRank));
    const names = this.membership.live().map(({incarnation}) => incarnation);
    const regionRank = names.sort().indexOf(this.options.incarnation);
    this.leases.contend(usageLeaseName(region), patienceOf(regionRank));
  }

  /** Asks a host that has applied more for the entries, if the log is away. */
  private askForEntries(): void {
    if (this.record.follower.isReachable) return;
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
        this.membership.setReachable({name, incarnation, zone, leaving});
        this.askForEntries();
        return;
      }
      case 'demand':
        return this.credits.handleDemand(hello.incarnation, message);
      case 'grant':
        return this.credits.applyGrant(message);
      case 'endpoint-state':
        return this.watch.recordReport(message);
      case 'usage':
        return this.usage.applyUpdates(message.sheets);
      case 'log-request': {
        const answer = this.record.log.answer(message.from);
        if (answer) this.mesh.get(hello.incarnation)?.link.send(answer);
        return;
      }
      case 'log-entries':
        return this.record.log.applyAnswer(message);
      default:
        return;
    }
  }

  private linkUp({hello, link}: Peer): void {
    const {name, incarnation, zone} = hello;
    this.membership.setReachable({name, incarnation, zone, leaving: false});
    for (const message of this.watch.recentReports()) link.send(message);
    link.send(this.usage.createFullUpdate());
    this.credits.scheduleDemands();
  }

  private linkDown({incarnation}: Hello): void {
    this.membership.setUnreachable(incarnation);
    this.credits.clearDemandOf(incarnation);
    this.credits.scheduleDemands();
  }

  private createRecord(): RecordPlane {
    const {changed, settings, caughtUp} = this.options;
    return new RecordPlane({
      ...this.options,
      snapshotRecords: settings.snapshotRecords,
      caughtUp: () => caughtUp(),
      sheets: sheets => this.usage.applyUpdates(sheets),
      changed: (before, after) => {
        this.leases.updateRoles(after.leases);
        if (after.usage !== before.usage) this.usage.carryOver();
        changed(before, after);
      },
    });
  }

  private createMesh(): Mesh {
    const {clock, logger, settings, metrics} = this.options;
    return new Mesh({
      clock,
      logger,
      metrics,
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

  private createRoster(): HostDiscovery {
    const {platform, metrics, settings, incarnation} = this.options;
    const {name, zone, callers, operators, peers} = settings;
    const addresses = {callers, operators, peers};
    return new HostDiscovery({
      clock: this.options.clock,
      platform,
      metrics,
      membership: this.membership,
      equalSplit: this.split,
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

  private createUsage(): UsageTracker {
    const {clock, metrics, platform, settings, incarnation} = this.options;
    return new UsageTracker({
      clock,
      metrics,
      platform,
      leases: this.leases,
      region: settings.region,
      incarnation,
      window: settings.usageWindowMilliseconds,
      ledger: () => this.fold.usage,
      activeIncarnations: () => this.membership.incarnations(),
      broadcast: message => this.mesh.broadcast(message),
    });
  }

  private createWatch(adapter: EndpointAdapter): EndpointMonitor {
    const {clock, metrics} = this.options;
    const {endpoints, membership} = this;
    return new EndpointMonitor({
      clock,
      adapter,
      endpoints,
      membership,
      metrics,
      broadcast: message => this.mesh.broadcast(message),
      holdsZoneLease: zone => this.leases.mayAct(zoneLeaseName(zone)),
      changed: () => this.credits?.scheduleDemands(),
    });
  }

  private createCredits(admission: Admission): CreditCoordinator {
    const {clock, metrics, incarnation, settings} = this.options;
    const {endpoints, membership, watch, leases, holding} = this;
    return new CreditCoordinator({
      clock,
      metrics,
      incarnation,
      zone: settings.zone,
      admission,
      endpoints,
      membership,
      watch,
      leases,
      heldGrants: holding,
      configuration: () => this.fold.configuration,
      leaseStatuses: () => this.fold.leases,
      send: (to, message) => this.mesh.get(to)?.link.send(message),
    });
  }
}

function patienceOf(rank: number): number {
  return Math.max(rank, 0) * RANK_PATIENCE_MILLISECONDS;
}
