/**
 * One host on a platform: creates its components, connects them to each other,
 * and takes the host from start through drain to stop.
 */
import type {ServerResponse} from 'node:http';

import {Admission} from '../admission/index.js';
import {EndpointSelector} from '../balance/index.js';
import {hostChart} from '../charts/index.js';
import {CorrectedClock} from '../clock/index.js';
import {HostDescriptors} from '../descriptors/index.js';
import {ConnectionPool, Forwarder} from '../forward/index.js';
import type {Feeder, GossipNode} from '../gossip/index.js';
import type {HostRegistry} from '../hostregistry/index.js';
import {MemoryAccount, memoryBudgetOf} from '../memory/index.js';
import type {Load} from '../process/index.js';
import type {BlockedRecords, Quarantine} from '../quarantine/index.js';
import type {Rollouts} from '../rollout/index.js';
import {StreamVersions} from '../versions/index.js';
import {createBlocking} from './blocking.js';
import {CallerServer} from './callers.js';
import type {EdgeHostParts, HostContext} from './context.js';
import {endRequests} from './drain.js';
import {handleLimitChange, logWithholding} from './endpointnotices.js';
import {createFeeder, createGossip, createRegistry} from './gossiping.js';
import {IncarnationWatch} from './incarnationwatch.js';
import {createLeadership, type Leadership} from './leadership.js';
import {PlatformView} from './platformview.js';
import {EdgePorts} from './ports.js';
import {Prober} from './prober.js';
import {PulseExchange} from './pulses.js';
import {RatesNotices} from './ratesnotices.js';
import {Redispatcher} from './redispatcher.js';
import {planReload, type ReloadPlan} from './reload.js';
import {createRollouts, handleRolloutOrder} from './rollingout.js';
import {createOperatorServer, createReadinessServer} from './servers.js';
import type {EdgeSettings} from './settings.js';
import {StartReports} from './startreports.js';
import {ZoneRecorder} from './zonerecorder.js';

/** Requests that may wait in the admission queue of this host. */
const MAX_QUEUED_REQUESTS = 2_000;
/** One host: accepts callers' requests and forwards them to endpoints. */
export class EdgeHost {
  private readonly context: HostContext;
  private readonly descriptors: HostDescriptors;
  private readonly recorder: ZoneRecorder;
  private readonly platformView: PlatformView;
  private readonly selector: EndpointSelector;
  private readonly admission: Admission;
  private readonly redispatcher: Redispatcher;
  private readonly quarantine: Quarantine;
  private readonly blockedRecords: BlockedRecords;
  private readonly versions: StreamVersions;
  private readonly rollouts: Rollouts;
  private readonly forwarder: Forwarder;
  private readonly prober: Prober;
  private readonly incarnations: IncarnationWatch;
  private readonly leadership: Leadership | undefined;
  private readonly pulses: PulseExchange;
  private readonly gossip: GossipNode | undefined;
  private readonly feeder: Feeder | undefined;
  private readonly registry: HostRegistry | undefined;
  private readonly callers: CallerServer;
  private readonly ports: EdgePorts;
  /** The settings in force. */
  private settings: EdgeSettings;
  private state = hostChart.initial;
  private draining: Promise<void> = Promise.resolve();

  constructor(parts: EdgeHostParts) {
    const {settings, platform, logger, metrics, random} = parts;
    this.settings = settings;
    const {name: host, zone} = settings;
    const clock = new CorrectedClock(parts.clock, correction =>
      logger.warn('clock-corrected', {...correction}),
    );
    const started = parts.clock.now().getTime();
    const address = {name: host, started, address: settings.hosts ?? '', zone};
    const context = {...parts, clock, address, gossip: () => this.gossip};
    this.context = context;
    this.recorder = new ZoneRecorder({
      self: address,
      clock,
      logger,
      hosts: () => this.gossip?.stayingHosts ?? [],
      send: (name, message) => this.gossip?.send(name, message),
    });
    const {regions} = settings;
    const rates = () => this.selector.rates;
    const ratesNotices = new RatesNotices({...context, rates});
    this.selector = new EndpointSelector({
      host,
      zone,
      clock,
      regions,
      random,
      balancesByRates: settings.balancesByRates,
      onLimitChange: change => handleLimitChange(context, change),
      onWithholdingChange: change => logWithholding(context, change),
      onRatesChange: change => ratesNotices.handle(change),
      excludedVersions: service => this.rollouts.excludedVersions(service),
    });
    this.rollouts = createRollouts(context, () => this.admission.dispatch());
    this.admission = new Admission({
      clock,
      capacity: this.selector,
      maxQueued: MAX_QUEUED_REQUESTS,
      onChange: () => this.redispatcher.redispatchSoon(),
    });
    this.redispatcher = new Redispatcher(this.admission, clock);
    const {protocol} = platform;
    const limit = settings.maxDescriptors;
    this.descriptors = new HostDescriptors({limit, clock, logger, metrics});
    const {descriptors} = this;
    const connections = new ConnectionPool(
      clock,
      descriptors.endpoints,
      address => this.incarnations.noteIdleClosed(address),
    );
    const {selector} = this;
    const directory = () => this.platformView.directory;
    const reports = new StartReports({protocol, clock, logger, directory});
    this.prober = new Prober({
      reports,
      selector,
      connections,
      protocol,
      clock,
      logger,
    });
    const {quarantine, blockedRecords} = createBlocking(context, {
      selector,
      endRequestsWith: suspect => this.forwarder.endRequestsWith(suspect),
      reports,
    });
    this.quarantine = quarantine;
    this.incarnations = new IncarnationWatch({
      clock,
      reports,
      quarantine,
      endpointsAt: address => selector.reachableAt(address),
    });
    this.blockedRecords = blockedRecords;
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
      quarantine,
      versions: this.versions,
      rollouts: this.rollouts,
      clock,
      logger,
      metrics,
      random,
      retryBudget: settings.repeats,
      onRunStarted: team => this.leadership?.usage.countRequest(team),
      hasCrashed: entry => reports.hasCrashed(entry),
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
      onRolloutOrder: (change, offset) =>
        handleRolloutOrder(context, this.rollouts, change, offset),
      isFed: () => this.feeder?.isFed ?? false,
      isFeeder: () => this.feeder?.isFeeding ?? false,
    });
    const {recorder, platformView, rollouts} = this;
    this.leadership = createLeadership(context, {
      recorder,
      selector,
      platformView,
      rollouts,
    });
    this.pulses = new PulseExchange(context, {
      selector,
      quarantine,
      platformView,
      usage: this.leadership?.usage,
      isLeaving: () => this.state === 'draining',
    });
    this.gossip = createGossip(context, {
      selector,
      platformView,
      quarantine,
      versions: this.versions,
      rollouts,
      pulses: this.pulses,
      usage: this.leadership?.usage,
      descriptors: descriptors.budget,
      feeder: () => this.feeder,
      registry: () => this.registry,
    });
    this.feeder =
      this.gossip && createFeeder(context, this.gossip, platformView);
    this.registry = this.gossip && createRegistry(context, this.gossip);
    this.callers = new CallerServer(
      {address: settings.callers, clock, logger, metrics, descriptors},
      (message, response, refusal) => {
        this.forwarder
          .serve(message, response, refusal)
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
    this.leadership?.usage.start();
    this.leadership?.leaderElector.start();
    this.feeder?.start();
    const control = this.gossip?.start().then(() => this.registry?.start());
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

  /**
   * Applies the settings that can change at run time. Returns which have, and
   * which others have changed in vain.
   */
  reload(read: EdgeSettings): ReloadPlan {
    const plan = planReload(this.settings, read);
    this.settings = plan.settings;
    this.forwarder.retryBudget = plan.settings.repeats;
    this.gossip?.setSeeds(plan.settings.seeds);
    return plan;
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
    const {forwarder, callers} = this;
    const {clock} = this.context;
    await endRequests({
      clock,
      forwarder,
      callers,
      graceMilliseconds: this.settings.graceMilliseconds,
      isBalanced: !wasStarting,
      storeLastRecords: () => this.storeLastRecords(),
    });
    this.platformView.stop();
    this.prober.stop();
    this.blockedRecords.stop();
    this.rollouts.stop();
    this.feeder?.stop();
    this.gossip?.stop();
    this.ports.close();
    this.transition('stop');
  }

  /** Stores what other hosts need of this one, and leaves the election. */
  private async storeLastRecords(): Promise<void> {
    await Promise.all([
      this.leadership?.usage.seal(),
      this.versions.stop(),
      this.leadership?.leaderElector.leave(),
      this.registry?.leave(),
    ]);
  }

  private createPorts(): EdgePorts {
    const {settings, clock, logger, metrics} = this.context;
    const {quarantine} = this;
    return new EdgePorts({
      settings,
      clock,
      logger,
      metrics,
      front: this.callers.port,
      control: this.gossip?.port,
      readiness: createReadinessServer(() => this.state === 'serving'),
      operators: createOperatorServer({metrics, quarantine, logger}),
      descriptors: this.descriptors.budget,
    });
  }

  private createStreamVersions(): StreamVersions {
    const {platform, clock, logger, metrics} = this.context;
    const {recorder} = this;
    return new StreamVersions({
      store: platform.store,
      clock,
      logger,
      metrics,
      catchUpWithEndpoints: () => this.platformView.catchUpWithEndpoints(),
      link: {
        recorder: () => recorder.name,
        deliver: (name, delivery) => recorder.sendStreams(name, delivery),
        confirm: (name, number) => recorder.confirmStreams(name, number),
        onMissed: name => recorder.noteMissed(name),
      },
    });
  }

  /** Closes the connection of a request that could not even be refused. */
  private abandon(response: ServerResponse, error: unknown): void {
    const detail = error instanceof Error ? (error.stack ?? '') : 'unknown';
    this.context.logger.error('request-abandoned', {detail});
    response.destroy();
  }

  private applyPlatformView(): void {
    const {routingTable: table, directory, zonesOut} = this.platformView;
    this.selector.setDirectory(directory);
    this.versions.setDirectory(directory);
    this.rollouts.setDirectory(directory);
    this.selector.setZonesOut(zonesOut);
    if (table) {
      this.selector.setServices(table.services);
      const {idleMilliseconds: idle, headerMilliseconds: header} = table.limits;
      this.callers.setTimeouts({idle, header});
      this.forwarder.routingTable = table;
    }
    this.feeder?.handleNewRecords();
    this.leadership?.autoscaler.recordBaselines();
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

  private transition(event: string): void {
    this.state = hostChart.next(this.state, event);
    this.context.logger.info('host-state', {state: this.state});
  }
}
