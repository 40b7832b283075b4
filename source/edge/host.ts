/** One host on a platform: its parts, and its life from start to drain. */
import {createServer, type Server} from 'node:http';

import {Admission} from '../admission/index.js';
import {EndpointSelector} from '../balance/index.js';
import {hostChart} from '../charts/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {
  LeaderElector,
  Autoscaler,
  isLeaderCandidate,
  UsageMeter,
} from '../leader/index.js';
import {ConnectionPool, Forwarder} from '../forward/index.js';
import {
  Feeder,
  GossipDesk,
  startOf,
  type HostAddress,
  type Pulse,
} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Random} from '../random/index.js';
import {listen} from '../wire/index.js';
import {Knowledge} from './knowledge.js';
import type {PlatformParts} from './platform.js';
import {Prober} from './prober.js';
import {createMetricsPort, createReadinessPort} from './readiness.js';
import type {EdgeSettings} from './settings.js';

/** Requests that may wait in the host. */
const WAITING_MOST = 2_000;
/** Milliseconds for which the balancer may still send new connections. */
const ROTATION_MILLISECONDS = 2_600;
const IDLE_CLOSE_MILLISECONDS = 50;
/** Milliseconds before the process is killed at which it ends by itself. */
const END_MARGIN_MILLISECONDS = 700;
/** Milliseconds between two looks at a line that waits for others' answers. */
const POKE_MILLISECONDS = 25;
const HEADER_CHECK_MILLISECONDS = 500;
/** Milliseconds for which the pulses of other hosts are gathered. */
const PULSES_MILLISECONDS = 50;

/** What a host is made from. */
export interface EdgeHostParts {
  readonly settings: EdgeSettings;
  readonly platform: PlatformParts;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: Random;
}

/** One host of the system. */
export class EdgeHost {
  /** Names this start of the host. */
  private readonly address: HostAddress;
  private readonly knowledge: Knowledge;
  private readonly book: EndpointSelector;
  private readonly admission: Admission;
  private readonly forwarder: Forwarder;
  private readonly prober: Prober;
  private readonly usage: UsageMeter | undefined;
  private readonly orders: Autoscaler | undefined;
  private readonly duties: LeaderElector | undefined;
  private readonly gossip: GossipDesk | undefined;
  private readonly feeder: Feeder | undefined;
  private readonly callers: Server;
  private readonly readiness: Server;
  private readonly metricsPort: Server;
  private state = hostChart.initial;
  private stopAdopting: Cancel | undefined;
  private stopPoking: Cancel | undefined;

  constructor(private readonly parts: EdgeHostParts) {
    const {settings, platform, clock, logger, metrics, random} = parts;
    const {name: host, zone} = settings;
    const started = clock.now().getTime();
    this.address = {name: host, started, address: settings.hosts ?? '', zone};
    const {regions} = settings;
    this.book = new EndpointSelector({host, zone, clock, regions});
    this.admission = new Admission({
      clock,
      capacity: this.book,
      maxQueued: WAITING_MOST,
      onChange: () => this.pokeSoon(),
    });
    const {protocol} = platform;
    const connections = new ConnectionPool(clock);
    const {book} = this;
    this.prober = new Prober({book, connections, protocol, clock, logger});
    this.forwarder = new Forwarder({
      protocol,
      connections,
      admission: this.admission,
      book: this.book,
      clock,
      logger,
      metrics,
      random,
      retryBudget: settings.repeats,
      onRunStarted: team => this.usage?.countRequest(team),
    });
    this.knowledge = new Knowledge({
      ...platform,
      clock,
      logger,
      metrics,
      random,
      drain: settings.drainMilliseconds,
      changed: () => this.adopt(),
      fed: () => this.feeder?.fed ?? false,
      feeds: () => this.feeder?.hasFed ?? false,
    });
    this.usage = this.createUsage();
    this.orders = this.createOrders();
    this.duties = this.createDuties();
    this.gossip = this.createGossip();
    this.feeder = this.gossip && this.createFeeder(this.gossip);
    this.callers = this.createCallerPort();
    this.readiness = createReadinessPort(() => this.state === 'serving');
    this.metricsPort = createMetricsPort(metrics);
  }

  /** Opens the ports and follows the store. Throws a SettingsError. */
  async start(): Promise<void> {
    const {settings} = this.parts;
    await listen(this.readiness, settings.readiness);
    await listen(this.callers, settings.callers);
    if (settings.metrics !== undefined) {
      await listen(this.metricsPort, settings.metrics);
    }
    this.move('listen');
    this.knowledge.start();
    this.prober.start();
    this.usage?.start();
    this.duties?.start();
    await this.gossip?.start();
    this.feeder?.start();
  }

  /** Takes over settings that may change while the host runs. */
  reload({repeats}: EdgeSettings): void {
    this.forwarder.retryBudget = repeats;
  }

  /** Leaves without cutting a request; resolves when all have ended. */
  async drain(): Promise<void> {
    if (!hostChart.allows(this.state, 'drain')) return;
    this.move('drain');
    this.gossip?.tell();
    const {settings, clock} = this.parts;
    const killed = settings.graceMilliseconds - END_MARGIN_MILLISECONDS;
    const tooLate = this.wait(killed);
    await this.wait(ROTATION_MILLISECONDS);
    this.callers.close();
    const stopClosing = clock.every(IDLE_CLOSE_MILLISECONDS, () =>
      this.callers.closeIdleConnections(),
    );
    await Promise.race([this.forwarder.whenIdle(), tooLate]);
    stopClosing();
    await Promise.race([this.handOver(), tooLate]);
    this.knowledge.stop();
    this.prober.stop();
    this.feeder?.stop();
    this.gossip?.stop();
    this.move('stop');
  }

  private async handOver(): Promise<void> {
    await Promise.all([this.usage?.seal(), this.duties?.leave()]);
  }

  private createUsage(): UsageMeter | undefined {
    const {settings, platform, clock, logger, metrics, random} = this.parts;
    if (!platform.duties) return undefined;
    return new UsageMeter({
      incarnation: startOf(this.address),
      hosts: () => this.gossip?.others ?? [],
      window: settings.usage.windowMilliseconds,
      reportDeadline: settings.usage.lateMilliseconds,
      store: platform.store,
      client: platform.duties,
      clock,
      random,
      logger,
      metrics,
    });
  }

  private createOrders(): Autoscaler | undefined {
    const {platform, clock, logger} = this.parts;
    if (!platform.duties) return undefined;
    return new Autoscaler({
      client: platform.duties,
      clock,
      logger,
      view: () => ({
        services: this.knowledge.table?.services ?? new Map(),
        directory: this.knowledge.directory,
        zonesOut: this.knowledge.zonesOut,
        busy: service => this.book.busyEngineCount(service),
        hosts: this.book.hostCount,
      }),
    });
  }

  private createDuties(): LeaderElector | undefined {
    const {settings, platform, clock, logger, metrics} = this.parts;
    const {usage, orders} = this;
    if (!usage || !orders) return undefined;
    return new LeaderElector({
      name: settings.name,
      member: startOf(this.address),
      isCandidate: () =>
        isLeaderCandidate(
          settings.name,
          this.gossip?.sharers ?? [settings.name],
        ),
      lease: settings.leaseMilliseconds,
      store: platform.store,
      clock,
      logger,
      metrics,
      tasks: [
        holder => usage.freezeAndReport(holder),
        holder => orders.reconcile(holder),
      ],
      heard: answered => this.knowledge.heard(answered),
    });
  }

  private createGossip(): GossipDesk | undefined {
    const {settings, clock, logger, metrics} = this.parts;
    if (settings.hosts === undefined) return undefined;
    return new GossipDesk({
      self: this.address,
      seeds: settings.seeds,
      clock,
      logger,
      metrics,
      state: period => ({
        leaving: this.state === 'draining',
        positions: this.knowledge.positions,
        uses: this.book.loadReports(),
        work: this.book.ownDemands(),
        unreachable: this.book
          .unreachableEndpoints()
          .map(({entry}) => entry.id),
        kept: this.book.prefixCache.prefillsSince(clock.monotonic() - period),
      }),
      sheets: () => this.usage?.unstoredSheets() ?? [],
      records: (topic, position) => this.knowledge.records(topic, position),
      received: (topic, page) => this.knowledge.take(topic, page),
      fed: feed => this.feeder?.take(feed),
      changed: pulse => this.takePulse(pulse),
      lost: lost => void this.usage?.appendReplicaOf(startOf(lost)),
    });
  }

  private createFeeder(gossip: GossipDesk): Feeder {
    const {knowledge} = this;
    return new Feeder({
      self: this.address,
      clock: this.parts.clock,
      hosts: () =>
        gossip.reached
          .filter(({pulse}) => !pulse?.leaving)
          .map(({host}) => host),
      send: (name, message) => gossip.send(name, message),
      positions: () => knowledge.positions,
      records: (topic, position) => knowledge.records(topic, position),
      answeredAt: () => knowledge.answeredAt,
      lostAt: () => knowledge.lostAt,
      lost: at => knowledge.noteLost(at),
    });
  }

  private takePulse({kept, from, sheets}: Pulse): void {
    const {clock} = this.parts;
    if (sheets.length > 0) this.usage?.keepReplica(startOf(from), sheets);
    this.book.prefixCache.addReports(kept, clock.monotonic());
    this.stopAdopting ??= clock.after(PULSES_MILLISECONDS, () => {
      this.stopAdopting = undefined;
      this.adoptPulses();
    });
  }

  private adoptPulses(): void {
    if (!this.gossip) return;
    const pulses = this.gossip.reached.flatMap(({pulse}) => pulse ?? []);
    this.book.setHosts(this.gossip.sharers);
    this.book.setUnreachableReports(
      pulses.flatMap(({unreachable}) => unreachable),
    );
    this.book.setHostReports(
      pulses.flatMap(({uses}) => uses),
      pulses.flatMap(({work}) => work),
    );
  }

  private createCallerPort(): Server {
    const server = createServer(
      {connectionsCheckingInterval: HEADER_CHECK_MILLISECONDS},
      (message, response) => {
        if (this.state === 'draining') response.shouldKeepAlive = false;
        void this.forwarder.serve(message, response);
      },
    );
    server.requestTimeout = 0;
    return server;
  }

  private adopt(): void {
    const {table, directory, zonesOut} = this.knowledge;
    this.book.setDirectory(directory);
    this.book.setZonesOut(zonesOut);
    if (table) {
      this.book.setServices(table.services);
      this.callers.keepAliveTimeout = table.limits.idleMilliseconds;
      this.callers.headersTimeout = table.limits.headerMilliseconds;
      this.forwarder.routingTable = table;
    }
    this.feeder?.changed();
    this.orders?.recordBaselines();
    const ready = this.knowledge.complete;
    if (ready && this.state === 'catching-up') this.move('ready');
    this.admission.dispatch();
  }

  /** Looks at the line again soon, for room that no answer here brings. */
  private pokeSoon(): void {
    if (this.stopPoking || this.admission.waiting === 0) return;
    this.stopPoking = this.parts.clock.after(POKE_MILLISECONDS, () => {
      this.stopPoking = undefined;
      this.admission.dispatch();
      this.pokeSoon();
    });
  }

  private wait(duration: number): Promise<void> {
    return new Promise(resolve => this.parts.clock.after(duration, resolve));
  }

  private move(event: string): void {
    this.state = hostChart.next(this.state, event);
    this.parts.logger.info('host-state', {state: this.state});
  }
}
