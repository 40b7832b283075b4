/**
 * One host: the state that its parts share, and the edge at which the effects
 * of their decisions are carried out.
 */
import {randomUUID} from 'node:crypto';
import type {Server} from 'node:http';

import {Admission} from '../admission/index.js';
import {RetryBudget} from '../attempt/index.js';
import {hostChart} from '../charts/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {
  difference,
  type Configuration,
  type Route,
} from '../configuration/index.js';
import {HttpEndpointAdapter} from '../engine/index.js';
import {Refusal} from '../errors/index.js';
import {ExchangeRegister, RouteTable, type Plane} from '../exchange/index.js';
import {Identities} from '../identity/index.js';
import {
  emptyFold,
  foldEntry,
  isComplete,
  LogFollower,
  type Fold,
} from '../log/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {EndpointTable, FixedSplit} from '../placement/index.js';
import type {HostEntry, LogEntry, Platform} from '../platform/index.js';
import type {Settings} from '../settings/index.js';
import {listen} from '../wire/index.js';
import {createListener} from './listener.js';
import {createOperatorPort} from './operators.js';

/** Milliseconds without news of the log after which a host counts as cut off. */
const CUT_OFF_MILLISECONDS = 3_000;
const ANNOUNCE_MILLISECONDS = 1_000;

/** What a host is made from. */
export interface HostParts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platform: Platform;
}

/** One host of the system. */
export class Host {
  readonly incarnation = randomUUID();
  readonly exchanges = new ExchangeRegister();
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly plane: Plane;
  routes: RouteTable;
  identities: Identities;
  /** Requests that are being read or served. */
  arrivals = 0;
  fold: Fold = emptyFold(0);

  private readonly platform: Platform;
  private readonly endpoints: EndpointTable;
  private readonly split: FixedSplit;
  private readonly follower: LogFollower;
  private readonly callers: Server;
  private readonly operators: Server;
  private readonly timers: Cancel[] = [];
  private state = hostChart.initial;

  constructor(parts: HostParts) {
    const {settings, clock, logger, metrics, platform} = parts;
    this.settings = settings;
    this.clock = clock;
    this.logger = logger;
    this.metrics = metrics;
    this.platform = platform;
    this.routes = new RouteTable(this.fold.configuration);
    this.identities = new Identities(this.fold.configuration);
    this.split = new FixedSplit(settings.name);
    this.endpoints = new EndpointTable(settings.zone, clock, this.split);
    this.plane = this.createPlane();
    this.follower = this.createFollower();
    this.callers = createListener(this);
    this.operators = createOperatorPort(this);
  }

  /** Opens the ports and begins to follow the log. */
  async start(): Promise<void> {
    await listen(this.operators, this.settings.operators);
    await listen(this.callers, this.settings.callers);
    this.move('listen');
    void this.follower.run();
    const {clock, settings} = this;
    this.timers.push(
      clock.every(settings.loadPollMilliseconds, () => this.pollLoads()),
      clock.every(ANNOUNCE_MILLISECONDS, () => void this.announce()),
    );
    void this.announce();
  }

  get stateName(): string {
    return this.state;
  }

  get isReady(): boolean {
    return this.state === 'serving' || this.state === 'draining';
  }

  get isDraining(): boolean {
    return this.state === 'draining';
  }

  get configuration(): Configuration {
    return this.fold.configuration;
  }

  get logInReach(): boolean {
    return this.follower.inReach;
  }

  listEndpoints() {
    return this.endpoints.list();
  }

  /** Milliseconds since this host knew that it had all of the log. */
  get logAge(): number {
    return this.follower.age;
  }

  noteUsage(team: string, tokens: number): void {
    this.metrics.count('tokens', {team}, tokens);
  }

  /** Throws a Refusal on a route that refuses while withdrawals may be missed. */
  refuseWhenCutOff(route: Route): void {
    if (route.whenCutOff === 'serve' || this.logAge < CUT_OFF_MILLISECONDS)
      return;
    throw new Refusal(
      'cut-off',
      'not-run',
      'the host may have missed a withdrawal',
    );
  }

  /** Leaves without cutting a request; resolves when all have ended. */
  async drain(): Promise<void> {
    if (!hostChart.allows(this.state, 'drain')) return;
    this.move('drain');
    await this.announce();
    await this.wait(this.settings.drainMilliseconds);
    const closed = new Promise(resolve => this.callers.close(resolve));
    this.callers.closeIdleConnections();
    await this.exchanges.whenEmpty();
    await closed;
    this.stop();
  }

  private stop(): void {
    this.move('stop');
    this.follower.stop();
    for (const cancel of this.timers) cancel();
    this.operators.close();
    this.operators.closeAllConnections();
    this.metrics.close();
  }

  private wait(duration: number): Promise<void> {
    return new Promise(resolve => this.clock.after(duration, resolve));
  }

  private move(event: string): void {
    this.state = hostChart.next(this.state, event);
    this.logger.info('host-state', {state: this.state});
  }

  private createPlane(): Plane {
    const {settings, clock, logger, metrics, endpoints} = this;
    return {
      admission: new Admission({
        clock,
        room: endpoints,
        places: settings.queuePlaces,
      }),
      endpoints,
      adapter: new HttpEndpointAdapter({
        connect: settings.connectBoundMilliseconds,
        firstByte: settings.firstByteBoundMilliseconds,
        silence: settings.betweenEventsBoundMilliseconds,
      }),
      clock,
      logger,
      metrics,
      settings,
      retryBudget: RetryBudget.full(),
    };
  }

  private createFollower(): LogFollower {
    return new LogFollower({
      platform: this.platform,
      clock: this.clock,
      started: first => (this.fold = emptyFold(first)),
      entries: entries => this.takeEntries(entries),
      next: () => this.fold.next,
      reach: reachable => {
        this.logger.warn('log-reach', {reachable});
        if (reachable) this.becomeReady();
      },
    });
  }

  private takeEntries(entries: readonly LogEntry[]): void {
    const before = this.fold.configuration;
    for (const entry of entries) this.takeEntry(entry);
    const after = this.fold.configuration;
    if (after !== before) this.adopt(before, after);
    if (this.follower.inReach) this.becomeReady();
  }

  private takeEntry(entry: LogEntry): void {
    const {fold, record, verdict} = foldEntry(this.fold, entry);
    if (!record && fold.malformed > this.fold.malformed) {
      this.metrics.count('record-malformed');
      this.logger.warn('record-malformed', {offset: entry.offset});
    }
    this.fold = fold;
    if (!verdict || record?.kind !== 'release-note') return;
    this.metrics.count('release-note', {verdict: verdict.kind});
    const {id} = record.note;
    this.logger.info('release-note', {
      id,
      offset: entry.offset,
      verdict: verdict.kind,
    });
  }

  private adopt(before: Configuration, after: Configuration): void {
    this.routes = new RouteTable(after);
    this.identities = new Identities(after, this.identities);
    this.endpoints.configure(after);
    const ended = this.exchanges.withdraw(difference(before, after));
    if (ended > 0) this.metrics.count('withdrawn-running', {}, ended);
    this.plane.admission.poke();
  }

  private becomeReady(): void {
    if (this.state !== 'catching-up' || !isComplete(this.fold)) return;
    this.move('ready');
  }

  private pollLoads(): void {
    for (const {endpoint} of this.endpoints.list()) {
      this.plane.adapter.load(endpoint).then(
        ({state}) => {
          this.endpoints.update(endpoint.name, {kind: 'reported', state});
          this.plane.admission.poke();
        },
        () => {
          const now = this.clock.monotonic();
          this.endpoints.update(endpoint.name, {kind: 'failed', now});
        },
      );
    }
  }

  private async announce(): Promise<void> {
    try {
      await this.platform.announce(this.entry());
      const hosts = await this.platform.hosts();
      const live = hosts.filter(({state}) => state === 'live');
      this.split.setHosts(live.map(({name}) => name));
    } catch {
      this.metrics.count('announce-failed');
    }
  }

  private entry(): HostEntry {
    const {name, zone, callers, operators, peers} = this.settings;
    const state = this.isDraining ? 'leaving' : 'live';
    const {incarnation} = this;
    return {name, incarnation, zone, state, callers, operators, peers};
  }
}
