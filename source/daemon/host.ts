/**
 * One host: its request plane, its zone plane, its ports, and its life from
 * start to drain.
 */
import {randomUUID} from 'node:crypto';
import type {Server} from 'node:http';

import {Admission} from '../admission/index.js';
import {RetryTokenBucket} from '../attempt/index.js';
import {hostChart} from '../charts/index.js';
import type {Clock} from '../clock/index.js';
import {
  difference,
  type Configuration,
  type Route,
} from '../configuration/index.js';
import {HttpEndpointAdapter} from '../engine/index.js';
import {Refusal} from '../errors/index.js';
import {
  ExchangeRegistry,
  RouteTable,
  type ServingResources,
} from '../exchange/index.js';
import {Authenticator} from '../identity/index.js';
import {isComplete, type LogState} from '../log/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Platform} from '../platform/index.js';
import {Port} from '../ports/index.js';
import type {Load} from '../process/index.js';
import type {Settings} from '../settings/index.js';
import {createListener} from './listener.js';
import {createOperatorPort} from './operators.js';
import {UnusedConnections} from './unused.js';
import {ZonePlane} from './zone.js';

/** Milliseconds without news of the log after which a host counts as cut off. */
const CUT_OFF_MILLISECONDS = 3_000;
/** Period at which a leaving host closes idle connections, in milliseconds. */
const IDLE_CLOSE_MILLISECONDS = 50;
/** Milliseconds that a leaving host waits for what it hands over. */
const HAND_OVER_MILLISECONDS = 5_000;

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
  readonly exchanges = new ExchangeRegistry();
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly zone: ZonePlane;
  readonly plane: ServingResources;
  routes: RouteTable;
  identities: Authenticator;

  private readonly callers: Server;
  private readonly unused: UnusedConnections;
  private readonly callersPort: Port;
  private readonly operators: Server;
  private readonly operatorsPort: Port;
  private state = hostChart.initial;
  private leaving: Promise<void> | undefined;

  constructor(parts: HostParts) {
    const {settings, clock, logger, metrics} = parts;
    this.settings = settings;
    this.clock = clock;
    this.logger = logger;
    this.metrics = metrics;
    this.zone = new ZonePlane({
      ...parts,
      incarnation: this.incarnation,
      changed: (before, after) => this.adopt(before, after),
      caughtUp: () => this.becomeReady(),
      state: () => (this.isDraining ? 'leaving' : 'live'),
    });
    this.routes = new RouteTable(this.configuration);
    this.identities = new Authenticator(this.configuration);
    this.plane = this.createPlane();
    this.callers = createListener(this);
    this.unused = new UnusedConnections(this.callers);
    this.operators = createOperatorPort(this);
    this.callersPort = new Port({
      role: 'callers',
      address: settings.callers,
      server: this.callers,
      isRequired: true,
      ...parts,
    });
    this.operatorsPort = new Port({
      role: 'operators',
      address: settings.operators,
      server: this.operators,
      isRequired: false,
      ...parts,
    });
  }

  /**
   * Opens the ports and joins the fleet once that of the callers is open, for
   * which it waits if it is taken. Throws a PortError if waiting does not open it.
   */
  async start(): Promise<void> {
    void this.operatorsPort.open();
    const isOpen = await this.callersPort.open();
    if (!isOpen || this.leaving !== undefined) return;
    this.zone.start(this.plane.admission, this.plane.adapter);
    this.move('listen');
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

  /** The requests that this host holds. */
  get load(): Load {
    return {
      active: this.exchanges.size,
      queued: this.plane.admission.waiting,
    };
  }

  get fold(): LogState {
    return this.zone.fold;
  }

  get configuration(): Configuration {
    return this.zone.fold.configuration;
  }

  /** Notes what a request has used. */
  noteUsage(team: string, tokens: number): void {
    this.zone.usage.add(team, tokens);
  }

  /** Throws a Refusal on a route that refuses while withdrawals may be missed. */
  refuseWhenCutOff({whenCutOff, name}: Route): void {
    if (this.zone.record.age < CUT_OFF_MILLISECONDS) return;
    this.metrics.count('cut-off', {route: name, did: whenCutOff});
    if (whenCutOff === 'serve') return;
    throw new Refusal(
      'cut-off',
      'not-run',
      'the host may have missed a withdrawal',
    );
  }

  /**
   * Leaves without cutting a request; resolves when all have ended and, within
   * the time that a request may take to arrive, all connections are closed.
   * Asked again, it is still the same leaving.
   */
  drain(): Promise<void> {
    this.leaving ??= this.leave();
    return this.leaving;
  }

  private async leave(): Promise<void> {
    if (this.state === hostChart.initial) return this.stop();
    if (hostChart.allows(this.state, 'drain')) this.move('drain');
    await this.zone.announce();
    await this.wait(this.settings.drainMilliseconds);
    const closed = new Promise(resolve => this.callers.once('close', resolve));
    this.callersPort.close();
    this.callers.closeIdleConnections();
    await this.exchanges.whenEmpty();
    const stopClosing = this.clock.every(IDLE_CLOSE_MILLISECONDS, () => {
      this.callers.closeIdleConnections();
      this.unused.close();
    });
    const {requestBoundMilliseconds} = this.settings;
    await Promise.race([closed, this.wait(requestBoundMilliseconds)]);
    await this.exchanges.whenEmpty();
    stopClosing();
    await this.zone.leave(HAND_OVER_MILLISECONDS);
    this.stop();
  }

  private stop(): void {
    this.move('stop');
    this.zone.stop();
    this.callersPort.close();
    this.operatorsPort.close();
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

  private createPlane(): ServingResources {
    const {settings, clock, logger, metrics, zone} = this;
    return {
      admission: new Admission({
        clock,
        capacity: zone.endpoints,
        maxQueued: settings.queuePlaces,
        onChange: () => zone.noteChange(),
      }),
      endpoints: zone.endpoints,
      adapter: new HttpEndpointAdapter({
        connect: settings.connectBoundMilliseconds,
        firstByte: settings.firstByteBoundMilliseconds,
        silence: settings.betweenEventsBoundMilliseconds,
      }),
      clock,
      logger,
      metrics,
      settings,
      onEndpointState: (endpoint, state) => zone.noteAnswer(endpoint, state),
      retryBudget: RetryTokenBucket.full(),
    };
  }

  /** Puts a new configuration in force, in one turn. */
  private adopt(
    {configuration: before}: LogState,
    {configuration: after}: LogState,
  ): void {
    if (after === before) return;
    this.routes = new RouteTable(after);
    this.identities = new Authenticator(after);
    this.zone.endpoints.configure(after);
    const ended = this.exchanges.endAffected(difference(before, after));
    if (ended > 0) this.metrics.count('withdrawn-under-way', {}, ended);
    this.plane.admission.dispatch();
  }

  private becomeReady(): void {
    if (this.state !== 'catching-up' || !isComplete(this.fold)) return;
    const known = this.zone.logInReach || this.configuration.offset >= 0;
    if (known) this.move('ready');
  }
}
