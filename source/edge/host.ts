/**
 * One host on a platform: creates its components, connects them to each other,
 * and takes the host from start through drain to stop.
 */
import type {ServerResponse} from 'node:http';

import {Admission} from '../admission/index.js';
import {
  EndpointSelector,
  type LimitChange,
  type WithholdingChange,
} from '../balance/index.js';
import {hostChart} from '../charts/index.js';
import {CorrectedClock, type Cancel, type Clock} from '../clock/index.js';
import {
  LeaderElector,
  Autoscaler,
  isLeaderCandidate,
  UsageMeter,
} from '../leader/index.js';
import {ConnectionPool, Forwarder} from '../forward/index.js';
import {
  Feeder,
  GossipNode,
  incarnationOf,
  type HostAddress,
  type Pulse,
} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
import {MemoryAccount, memoryBudgetOf} from '../memory/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Load} from '../process/index.js';
import {BlockedRecords, Quarantine} from '../quarantine/index.js';
import type {RandomSource} from '../random/index.js';
import {StreamVersions} from '../versions/index.js';
import {CallerServer} from './callers.js';
import {PlatformView} from './platformview.js';
import type {PlatformParts} from './platform.js';
import {EdgePorts} from './ports.js';
import {Prober} from './prober.js';
import {createOperatorServer, createReadinessServer} from './servers.js';
import type {EdgeSettings} from './settings.js';
import {ZoneRecorder} from './zonerecorder.js';

/** Requests that may wait in the admission queue of this host. */
const MAX_QUEUED_REQUESTS = 2_000;
/**
 * Milliseconds after the start of the drain for which the load balancer may
 * still open new connections.
 */
const BALANCER_DEREGISTRATION_MILLISECONDS = 2_600;
/** Milliseconds before the platform kills the process at which a drain ends. */
const EXIT_MARGIN_MILLISECONDS = 700;
/**
 * Milliseconds between two dispatches while requests are queued, since a
 * response to another host frees capacity without an event on this one.
 */
const REDISPATCH_DELAY_MILLISECONDS = 25;
/**
 * Milliseconds within which the last responses of a drain that has reached its
 * time limit must have left the process.
 */
const LAST_RESPONSES_MILLISECONDS = 400;
/** Milliseconds for which pulses of other hosts are batched. */
const PULSE_BATCH_MILLISECONDS = 50;

/** Dependencies and settings of a host. */
export interface EdgeHostParts {
  readonly settings: EdgeSettings;
  readonly platform: PlatformParts;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: RandomSource;
}

/** One host: accepts callers' requests and forwards them to endpoints. */
export class EdgeHost {
  /** The clock of all parts, whose time of day does not jump. */
  private readonly clock: CorrectedClock;
  /** Identifies this incarnation of the host to the others. */
  private readonly address: HostAddress;
  private readonly recorder: ZoneRecorder;
  private readonly platformView: PlatformView;
  private readonly selector: EndpointSelector;
  private readonly admission: Admission;
  private readonly quarantine: Quarantine;
  private readonly blockedRecords: BlockedRecords;
  private readonly versions: StreamVersions;
  private readonly forwarder: Forwarder;
  private readonly prober: Prober;
  private readonly usage: UsageMeter | undefined;
  private readonly autoscaler: Autoscaler | undefined;
  private readonly leaderElector: LeaderElector | undefined;
  private readonly gossip: GossipNode | undefined;
  private readonly feeder: Feeder | undefined;
  private readonly callers: CallerServer;
  private readonly ports: EdgePorts;
  private state = hostChart.initial;
  private draining: Promise<void> = Promise.resolve();
  private cancelPulseBatch: Cancel | undefined;
  private cancelRedispatch: Cancel | undefined;

  constructor(private readonly parts: EdgeHostParts) {
    const {settings, platform, logger, metrics, random} = parts;
    const {name: host, zone} = settings;
    const clock = new CorrectedClock(parts.clock, correction =>
      logger.warn('clock-corrected', {...correction}),
    );
    this.clock = clock;
    const started = parts.clock.now().getTime();
    this.address = {name: host, started, address: settings.hosts ?? '', zone};
    this.recorder = new ZoneRecorder({
      self: this.address,
      hosts: () => this.gossip?.activeHosts ?? [],
      send: (name, message) => this.gossip?.send(name, message),
    });
    const {regions} = settings;
    this.selector = new EndpointSelector({
      host,
      zone,
      clock,
      regions,
      onLimitChange: change => this.handleLimitChange(change),
      onWithholdingChange: change => this.logWithholding(change),
    });
    this.admission = new Admission({
      clock,
      capacity: this.selector,
      maxQueued: MAX_QUEUED_REQUESTS,
      onChange: () => this.redispatchSoon(),
    });
    const {protocol} = platform;
    const connections = new ConnectionPool(clock);
    const {selector} = this;
    this.prober = new Prober({
      selector,
      connections,
      protocol,
      clock,
      logger,
    });
    this.quarantine = this.createQuarantine();
    this.blockedRecords = this.createBlockedRecords();
    this.versions = this.createStreamVersions();
    const memory = new MemoryAccount({
      budget: memoryBudgetOf(settings.memoryMegabytes),
      clock,
      logger,
      metrics,
    });
    this.forwarder = new Forwarder({
      memory,
      protocol,
      connections,
      admission: this.admission,
      book: this.selector,
      quarantine: this.quarantine,
      versions: this.versions,
      clock,
      logger,
      metrics,
      random,
      retryBudget: settings.repeats,
      onRunStarted: team => this.usage?.countRequest(team),
    });
    this.platformView = new PlatformView({
      ...platform,
      clock,
      logger,
      metrics,
      random,
      drain: settings.drainMilliseconds,
      changed: () => this.applyPlatformView(),
      onEntries: changes => this.versions.recordEntries(changes),
      onEntriesMissed: () => this.versions.recordMissedEntries(),
      isFed: () => this.feeder?.isFed ?? false,
      isFeeder: () => this.feeder?.isFeeding ?? false,
    });
    this.usage = this.createUsage();
    this.autoscaler = this.createAutoscaler();
    this.leaderElector = this.createLeaderElector();
    this.gossip = this.createGossip();
    this.feeder = this.gossip && this.createFeeder(this.gossip);
    this.callers = new CallerServer(
      {address: settings.callers, clock, logger, metrics},
      (message, response) => {
        this.forwarder
          .serve(message, response)
          .catch((error: unknown) => this.abandon(response, error));
      },
    );
    this.ports = this.createPorts();
  }

  /**
   * Starts to follow the store, and opens the ports as soon as they are free.
   * Resolves when all are open but the one for the metrics, or tries have ended
   * because the host stops. Rejects with a PortError if waiting does not open one.
   */
  async start(): Promise<void> {
    this.platformView.start();
    this.prober.start();
    this.blockedRecords.start();
    this.usage?.start();
    this.leaderElector?.start();
    this.feeder?.start();
    const control = this.gossip?.start();
    const serving = this.ports.open().then(canServe => {
      if (canServe && this.isStarting) this.handleListening();
    });
    await Promise.all([control, serving]);
  }

  /** Whether this host still waits for ports that it cannot serve without. */
  get isStarting(): boolean {
    return this.state === hostChart.initial;
  }

  /** The requests that this host holds. */
  get load(): Load {
    return {
      active: this.forwarder.activeCount,
      queued: this.admission.waiting,
    };
  }

  /** Applies the settings that can change at run time: the retry budget. */
  reload({repeats}: EdgeSettings): void {
    this.forwarder.retryBudget = repeats;
  }

  /**
   * Stops the host. Keeps accepting connections until the load balancer sends
   * no more, then waits for the requests in progress, seals the usage and
   * leaves the leader election. Resolves when that is done. Shortly before the
   * platform kills the process, requests that are still in progress get a final
   * response.
   * Further calls resolve with the first. A host that is still starting has never
   * said that it is ready, so it does not wait for the load balancer.
   */
  drain(): Promise<void> {
    if (hostChart.allows(this.state, 'drain')) {
      this.draining = this.drainAndStop();
    }
    return this.draining;
  }

  private async drainAndStop(): Promise<void> {
    const wasStarting = this.isStarting;
    this.transition('drain');
    this.ports.stopTrying();
    this.callers.announceClose();
    this.gossip?.sendPulses();
    const {settings} = this.parts;
    const maxDrainMilliseconds =
      settings.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
    const stopAt = this.clock.monotonic() + maxDrainMilliseconds;
    this.forwarder.announceStop(stopAt);
    const drainTimeout = this.wait(maxDrainMilliseconds);
    if (!wasStarting) await this.wait(BALANCER_DEREGISTRATION_MILLISECONDS);
    this.callers.closeIdle();
    await Promise.race([this.forwarder.whenIdle(), drainTimeout]);
    this.forwarder.stop();
    await Promise.race([this.storeLastRecords(), drainTimeout]);
    const lastResponses = this.wait(LAST_RESPONSES_MILLISECONDS);
    await Promise.race([this.forwarder.whenIdle(), lastResponses]);
    await Promise.race([this.callers.flush(), drainTimeout]);
    this.platformView.stop();
    this.prober.stop();
    this.blockedRecords.stop();
    this.feeder?.stop();
    this.gossip?.stop();
    this.ports.close();
    this.transition('stop');
  }

  /** Stores what other hosts need of this one, and leaves the election. */
  private async storeLastRecords(): Promise<void> {
    await Promise.all([
      this.usage?.seal(),
      this.versions.stop(),
      this.leaderElector?.leave(),
    ]);
  }

  private createPorts(): EdgePorts {
    const {settings, logger, metrics} = this.parts;
    const {clock, quarantine} = this;
    return new EdgePorts({
      settings,
      clock,
      logger,
      metrics,
      front: this.callers.port,
      control: this.gossip?.port,
      readiness: createReadinessServer(() => this.state === 'serving'),
      operators: createOperatorServer({metrics, quarantine, logger}),
    });
  }

  private createUsage(): UsageMeter | undefined {
    const {settings, platform, logger, metrics, random} = this.parts;
    const {clock, recorder} = this;
    if (!platform.leaderClient) return undefined;
    return new UsageMeter({
      incarnation: incarnationOf(this.address),
      hosts: () => this.gossip?.activeHosts ?? [],
      relay: {
        recorder: () => recorder.name,
        deliver: (name, delivery) => recorder.sendSheets(name, delivery),
        confirm: (name, number) => recorder.confirmSheets(name, number),
      },
      window: settings.usage.windowMilliseconds,
      reportDeadline: settings.usage.lateMilliseconds,
      store: platform.store,
      client: platform.leaderClient,
      clock,
      random,
      logger,
      metrics,
    });
  }

  private createAutoscaler(): Autoscaler | undefined {
    const {platform, logger} = this.parts;
    const {clock} = this;
    if (!platform.leaderClient) return undefined;
    return new Autoscaler({
      client: platform.leaderClient,
      clock,
      logger,
      view: () => ({
        services: this.platformView.routingTable?.services ?? new Map(),
        directory: this.platformView.directory,
        zonesOut: this.platformView.zonesOut,
        busy: service => this.selector.busyEngineCount(service),
        hosts: this.selector.hostCount,
      }),
    });
  }

  private createLeaderElector(): LeaderElector | undefined {
    const {settings, platform, logger, metrics} = this.parts;
    const {clock} = this;
    const {usage, autoscaler} = this;
    if (!usage || !autoscaler) return undefined;
    return new LeaderElector({
      name: settings.name,
      member: incarnationOf(this.address),
      isCandidate: () =>
        isLeaderCandidate(
          settings.name,
          this.gossip?.hostsSharingLimits ?? [settings.name],
        ),
      lease: settings.leaseMilliseconds,
      store: platform.store,
      clock,
      logger,
      metrics,
      tasks: [
        leader => usage.freezeAndReport(leader),
        leader => autoscaler.reconcile(leader),
      ],
      heard: answered => this.platformView.recordStoreCall(answered),
    });
  }

  private createQuarantine(): Quarantine {
    const {settings, logger, metrics, random} = this.parts;
    const {clock} = this;
    const from = this.address;
    return new Quarantine({
      host: settings.name,
      hosts: () => this.gossip?.hostsSharingLimits ?? [settings.name],
      clock,
      logger,
      metrics,
      random,
      sendCrash: report =>
        this.gossip?.broadcast({kind: 'crash', from, report}),
      sendBegun: begun =>
        this.gossip?.broadcast({kind: 'begun', from, parts: [...begun]}),
      onChange: suspect => this.blockedRecords.noteChange(suspect),
      onBlocked: suspect => this.forwarder.endRequestsWith(suspect),
      onEndpointCrashed: incarnation => this.selector.markCrashed(incarnation),
    });
  }

  private createBlockedRecords(): BlockedRecords {
    const {settings, platform, logger} = this.parts;
    const {clock, quarantine} = this;
    return new BlockedRecords({
      store: platform.store,
      host: settings.name,
      hosts: () => this.gossip?.hostsSharingLimits ?? [settings.name],
      clock,
      logger,
      entries: () => quarantine.entries,
      onLoaded: entries => quarantine.handleEntries(entries),
    });
  }

  private createStreamVersions(): StreamVersions {
    const {platform, logger, metrics} = this.parts;
    const {clock, recorder} = this;
    return new StreamVersions({
      store: platform.store,
      clock,
      logger,
      metrics,
      catchUpWithEndpoints: () => this.platformView.catchUpWithEndpoints(),
      recorder: () => recorder.name,
      sendToRecorder: (name, groups) => recorder.sendStreams(name, groups),
    });
  }

  private createGossip(): GossipNode | undefined {
    const {settings, logger, metrics} = this.parts;
    const {clock} = this;
    if (settings.hosts === undefined) return undefined;
    return new GossipNode({
      self: this.address,
      seeds: settings.seeds,
      clock,
      logger,
      metrics,
      state: period => ({
        leaving: this.state === 'draining',
        positions: this.platformView.positions,
        uses: this.selector.loadReports(),
        work: this.selector.ownDemands(),
        unreachable: this.selector
          .unreachableEndpoints()
          .map(({entry}) => entry.id),
        kept: this.selector.prefixCache.prefillsSince(
          clock.monotonic() - period,
        ),
        blocked: this.quarantine.takeEntriesForPulse(),
        limits: this.selector.limitStatementsSince(clock.monotonic() - period),
        certainUsage: this.usage?.freezes.certainWindow,
      }),
      sheets: () => this.usage?.unstoredSheets() ?? [],
      records: (topic, position) =>
        this.platformView.recordsFrom(topic, position),
      onRecords: (topic, page) => this.platformView.applyRecords(topic, page),
      onFeedReport: feed => this.feeder?.handleReport(feed),
      onPulse: pulse => this.receivePulse(pulse),
      onCrashReport: report => this.quarantine.handleCrashReport(report),
      onBegunSuspects: begun => this.quarantine.handleBegun(begun),
      onLimits: limits => this.selector.setLimitReports(limits),
      onBegunStreams: groups => this.versions.appendFor(groups),
      onSheets: ({name}, delivery) =>
        this.usage?.relay.handleDelivery(name, delivery),
      onSheetsStored: number => this.usage?.relay.handleConfirmation(number),
      onHostFound: found => this.informNewHost(found),
      onHostLost: lost => void this.usage?.appendReplicaOf(incarnationOf(lost)),
    });
  }

  /** Tells a host that has turned up of the crashes that it has missed. */
  private informNewHost({name}: HostAddress): void {
    const from = this.address;
    for (const report of this.quarantine.reportsForNewHost(name))
      this.gossip?.send(name, {kind: 'crash', from, report});
  }

  private createFeeder(gossip: GossipNode): Feeder {
    const {platformView} = this;
    return new Feeder({
      self: this.address,
      clock: this.clock,
      hosts: () =>
        gossip.reachableMembers
          .filter(({pulse}) => !pulse?.leaving)
          .map(({host}) => host),
      send: (name, message) => gossip.send(name, message),
      positions: () => platformView.positions,
      records: (topic, position) => platformView.recordsFrom(topic, position),
      answeredAt: () => platformView.storeAnsweredAt,
      storeLostAt: () => platformView.storeLostAt,
      onStoreLost: at => platformView.recordStoreLoss(at),
    });
  }

  private receivePulse(pulse: Pulse): void {
    const {kept, from, sheets, blocked, limits, certainUsage} = pulse;
    const {clock} = this;
    if (pulse.time !== undefined) clock.recordPeerTime(from.name, pulse.time);
    this.quarantine.handleEntries(blocked);
    this.selector.setLimitReports(limits);
    if (certainUsage) this.usage?.freezes.handleCertainWindow(certainUsage);
    if (sheets.length > 0) this.usage?.keepReplica(incarnationOf(from), sheets);
    this.selector.prefixCache.addReports(kept, clock.monotonic());
    this.cancelPulseBatch ??= clock.after(PULSE_BATCH_MILLISECONDS, () => {
      this.cancelPulseBatch = undefined;
      this.applyPulses();
    });
  }

  private applyPulses(): void {
    if (!this.gossip) return;
    const pulses = this.gossip.reachableMembers.flatMap(
      ({pulse}) => pulse ?? [],
    );
    this.selector.setHosts(this.gossip.hostsSharingLimits);
    this.selector.setUnreachableReports(
      pulses.flatMap(({unreachable}) => unreachable),
    );
    this.selector.setHostReports(
      pulses.flatMap(({uses}) => uses),
      pulses.flatMap(({work}) => work),
    );
  }

  /** Logs that an endpoint has told this host to send it nothing. */
  private logWithholding(change: WithholdingChange): void {
    const {logger, metrics} = this.parts;
    const {kind, id: endpoint} = change;
    metrics.count('endpoint-withheld', {reason: kind});
    if (kind === 'leaving') logger.info('endpoint-leaving', {endpoint});
    else logger.info('endpoint-backoff', {endpoint, duration: change.duration});
  }

  /**
   * Logs the limit of an endpoint. If this host was told by the endpoint, tells
   * the others at once that a limit has begun or ended; its changes are left to
   * the pulses.
   */
  private handleLimitChange({id, before, rate, isOwn}: LimitChange): void {
    const {logger, metrics} = this.parts;
    const source = isOwn ? 'response' : 'another-host';
    if (rate === undefined) logger.info('limit-ended', {endpoint: id, source});
    else logger.info('limit-named', {endpoint: id, rate, source});
    metrics.count('limit-change', {source});
    const hasBegunOrEnded = before === undefined || rate === undefined;
    if (!isOwn || !hasBegunOrEnded) return;
    const limits = [{id, rate, ago: 0}];
    this.gossip?.broadcast({kind: 'limits', from: this.address, limits});
  }

  /** Closes the connection of a request that could not even be refused. */
  private abandon(response: ServerResponse, error: unknown): void {
    const detail = error instanceof Error ? (error.stack ?? '') : 'unknown';
    this.parts.logger.error('request-abandoned', {detail});
    response.destroy();
  }

  private applyPlatformView(): void {
    const {routingTable: table, directory, zonesOut} = this.platformView;
    this.selector.setDirectory(directory);
    this.versions.setDirectory(directory);
    this.selector.setZonesOut(zonesOut);
    if (table) {
      this.selector.setServices(table.services);
      const {idleMilliseconds: idle, headerMilliseconds: header} = table.limits;
      this.callers.setTimeouts({idle, header});
      this.forwarder.routingTable = table;
    }
    this.feeder?.handleNewRecords();
    this.autoscaler?.recordBaselines();
    this.becomeReady();
    this.admission.dispatch();
  }

  private handleListening(): void {
    this.transition('listen');
    this.becomeReady();
  }

  /** Says that this host is ready, if it is. */
  private becomeReady(): void {
    const isComplete = this.platformView.isComplete;
    if (isComplete && this.state === 'catching-up') this.transition('ready');
  }

  /**
   * Dispatches queued requests periodically while there are any, for capacity
   * that becomes free without a response on this host.
   */
  private redispatchSoon(): void {
    if (this.cancelRedispatch || this.admission.waiting === 0) return;
    this.cancelRedispatch = this.clock.after(
      REDISPATCH_DELAY_MILLISECONDS,
      () => {
        this.cancelRedispatch = undefined;
        this.admission.dispatch();
        this.redispatchSoon();
      },
    );
  }

  private wait(duration: number): Promise<void> {
    return new Promise(resolve => this.clock.after(duration, resolve));
  }

  private transition(event: string): void {
    this.state = hostChart.next(this.state, event);
    this.parts.logger.info('host-state', {state: this.state});
  }
}
