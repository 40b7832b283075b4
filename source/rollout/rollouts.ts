/**
 * The roll-outs of a host: connects its own part in each, and that of the leader, to
 * the orders, the directory, the store and the other hosts. Without an order it has
 * no timer and sends nothing.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {Directory} from '../directory/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RandomSource} from '../random/index.js';
import type {RecordStore} from '../store/index.js';
import {
  AttemptVersions,
  resultOf,
  type EndAttempt,
  type VersionedAttempt,
  type VersionedRequest,
  type VersionRequirements,
} from './attempts.js';
import {
  RolloutControl,
  type KnownOrder,
  type RolloutLeader,
} from './control.js';
import type {RolloutBounds} from './decide.js';
import {EndpointVersions} from './endpointversions.js';
import type {RolloutReport, RolloutShare} from './message.js';
import {OutcomeReader} from './outcomereader.js';
import {hasSameContent, isSameOrder, type PlacedOrder} from './order.js';
import {RolloutParticipant, type RunningAttempt} from './participant.js';
import {RolloutRecords, type RolloutStatusFormat} from './records.js';
import type {RolloutState} from './state.js';

/** Time between two reports, and between two decisions of the leader. */
const MIN_INTERVAL_MILLISECONDS = 250;
/** With many hosts each reports less often, so that the leader gets 170 a second. */
const INTERVAL_PER_HOST_MILLISECONDS = 6;
const NONE: ReadonlySet<string> = new Set();

/** A host, as the roll-outs address it. */
export interface RolloutHost {
  readonly name: string;
  readonly incarnation: string;
}

/** What the roll-outs of a host are created from. */
export interface RolloutsOptions {
  readonly self: RolloutHost;
  readonly store: RecordStore;
  /** How the platform is told. */
  readonly format: RolloutStatusFormat;
  readonly bounds: RolloutBounds;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** The other hosts that are alive. */
  readonly hosts: () => readonly RolloutHost[];
  readonly sendShare: (host: string, share: RolloutShare) => void;
  readonly sendReport: (host: string, report: RolloutReport) => void;
  /** Called when other versions may be used than before. */
  readonly onChange: () => void;
}

interface Part {
  readonly participant: RolloutParticipant;
  isWithdrawn: boolean;
  /** The host whose shares arrive. */
  leader: string | undefined;
  versions: EndpointVersions | undefined;
  /** What was last logged of its state. */
  logged: string;
}

/** The roll-outs in which a host takes part. */
export class Rollouts extends AttemptVersions {
  private readonly parts = new Map<string, Part>();
  /** Attempts in progress, whether there is an order or not. */
  private readonly running = new Map<string, Set<RunningAttempt>>();
  private readonly control: RolloutControl;
  private readonly reader: OutcomeReader;
  private directory: Directory = new Map();
  private stopTimer: Cancel | undefined;

  constructor(private readonly options: RolloutsOptions) {
    super();
    const {store, bounds, clock, logger, metrics} = options;
    const records = new RolloutRecords(options);
    this.reader = new OutcomeReader({...options, records}, (service, state) =>
      this.finish(service, state),
    );
    this.control = new RolloutControl({
      records,
      restores: store.restores,
      bounds,
      clock,
      logger,
      metrics,
      orders: () => this.orders(),
      endpoints: (service, to) => this.endpointCounts(service, to),
      hosts: () => this.incarnations(),
      send: (host, share) => this.sendShare(host, share),
    });
  }

  stop(): void {
    this.stopTimer?.();
  }

  /**
   * Takes over an operator's order, or its removal. A removal that only shows in an
   * older copy of the store is to be left out.
   */
  setOrder(service: string, order: PlacedOrder | undefined): void {
    const {logger, clock, metrics} = this.options;
    const known = this.parts.get(service);
    if (!order) {
      if (!known) return;
      logger.info('rollout-order', {service, state: 'removed'});
      // A reverted version, or one that was being tried, stays excluded.
      if (known.participant.outcome === 'completed') this.parts.delete(service);
      else known.isWithdrawn = true;
      return this.options.onChange();
    }
    const isRepeated =
      known !== undefined &&
      (known.participant.outcome
        ? isSameOrder(known.participant.order, order)
        : hasSameContent(known.participant.order, order));
    logger.info('rollout-order', {...order, isRepeated});
    if (isRepeated) {
      known.isWithdrawn = false;
      return known.participant.repeat(order);
    }
    const participant = new RolloutParticipant(order, clock.monotonic(), {
      rollback: this.options.bounds.rollbackMilliseconds,
      before: known?.participant,
    });
    if (!known) {
      const tags = {service};
      metrics.gauge('rollout-share', tags, () => this.shareOf(service));
    }
    this.parts.set(service, {
      participant,
      isWithdrawn: false,
      leader: undefined,
      versions: undefined,
      logged: '',
    });
    this.run();
    this.options.onChange();
  }

  setDirectory(directory: Directory): void {
    if (directory === this.directory) return;
    this.directory = directory;
    for (const part of this.parts.values()) part.versions = undefined;
  }

  /** Lets this host lead the roll-outs. */
  lead(leader: RolloutLeader): Promise<void> {
    this.control.lead(leader);
    return Promise.resolve();
  }

  /** Whether an order of a service is being carried out. */
  isRunning(service: string): boolean {
    const part = this.parts.get(service);
    return part !== undefined && part.participant.outcome === undefined;
  }

  /** Versions of a service whose endpoints are no capacity for new requests. */
  excludedVersions(service: string): ReadonlySet<string> {
    const part = this.parts.get(service);
    if (!part) return NONE;
    const now = this.options.clock.monotonic();
    const {participant} = part;
    const versions = this.versionsOf(service, part);
    const {to} = participant.order;
    if (participant.isClosing(now) && versions.count > 0)
      return new Set([...participant.excluded, ...versions.otherVersions]);
    if (participant.shareAt(now) === 1 || this.isOnly(participant, versions))
      return new Set(participant.excluded);
    return new Set([...participant.excluded, to]);
  }

  override choose(
    request: VersionedRequest,
  ): readonly VersionRequirements[] | undefined {
    const {service, streamVersion, failedVersions} = request;
    const part = this.parts.get(service);
    if (!part) return undefined;
    const {participant} = part;
    const {clock, random} = this.options;
    const now = clock.monotonic();
    const versions = this.versionsOf(service, part);
    const {to} = participant.order;
    if (this.isOnly(participant, versions) && versions.count > 0) {
      const excluded = new Set(participant.excluded);
      return [{excluded, version: streamVersion, endpoints: undefined}];
    }
    const choice = participant.choose(
      streamVersion,
      failedVersions.has(to),
      random.next(),
      now,
    );
    const isGone = choice.version === to && versions.count === 0;
    const isFallback = streamVersion === undefined && choice.version === to;
    const requirements = versions.requirementsOf(choice);
    const others = {
      excluded: new Set([...participant.excluded, to]),
      version: undefined,
      endpoints: undefined,
    };
    if (isGone) return [others];
    if (!isFallback || participant.isClosing(now)) return [requirements];
    return [requirements, others];
  }

  override begin(attempt: VersionedAttempt): EndAttempt {
    const {service, route, target, version, endpoint, isFirst} = attempt;
    const {clock, metrics} = this.options;
    const part = this.parts.get(service);
    const sentAt = clock.monotonic();
    const running: RunningAttempt = {
      route,
      target,
      version,
      group: part
        ? this.versionsOf(service, part).groupOf(endpoint, version)
        : 'old',
      sentAt,
      hasBegun: attempt.hasBegun,
      isCounted: false,
    };
    this.runningAt(service).add(running);
    part?.participant.recordSent(version, isFirst);
    return end => {
      this.runningAt(service).delete(running);
      const now = this.parts.get(service);
      // What was sent before the order is no evidence for it.
      if (!end || !part || now?.participant !== part.participant) return;
      part.participant.recordResult(
        running,
        resultOf(running.group, attempt, end),
      );
      if (part.participant.outcome) return;
      const kind = end.isFailure ? 'failed' : 'answered';
      const tags = {service, version: version ?? '', kind};
      metrics.count('rollout-answer', tags);
    };
  }

  /** Takes what the leader allows. */
  handleShare(leader: string, share: RolloutShare): void {
    const {service} = share.order;
    const part = this.parts.get(service);
    if (!part) return;
    const now = this.options.clock.monotonic();
    const isFirst = part.leader !== leader;
    part.leader = leader;
    const before = part.participant.shareAt(now);
    const isKnown = part.participant.handleShare(share, now);
    this.logState(service, part, now);
    // The leader of a restored store may not know the end.
    if (isFirst || !isKnown) this.report(service, part, now);
    if (before !== part.participant.shareAt(now)) this.options.onChange();
  }

  /** Takes a host's report. */
  handleReport(incarnation: string, report: RolloutReport): void {
    this.control.handleReport(incarnation, report);
  }

  private orders(): ReadonlyMap<string, KnownOrder> {
    const orders = new Map<string, KnownOrder>();
    for (const [service, {participant, isWithdrawn}] of this.parts) {
      const {order, knownAt} = participant;
      orders.set(service, {order, knownAt, isWithdrawn});
    }
    return orders;
  }

  private incarnations(): ReadonlyMap<string, string> {
    const {hosts, self} = this.options;
    const all = [self, ...hosts()];
    return new Map(all.map(({name, incarnation}) => [name, incarnation]));
  }

  private endpointCounts(service: string, to: string) {
    const part = this.parts.get(service);
    if (!part || part.participant.order.to !== to) return {to: 0, others: 0};
    const {count, others} = this.versionsOf(service, part);
    return {to: count, others};
  }

  private versionsOf(service: string, part: Part): EndpointVersions {
    const {order, excluded} = part.participant;
    return (part.versions ??= new EndpointVersions(
      this.directory,
      service,
      order.to,
      excluded,
    ));
  }

  /** Whether the new version may serve alone where there is no other. */
  private isOnly(
    {outcome}: RolloutParticipant,
    {others}: EndpointVersions,
  ): boolean {
    return others === 0 && outcome !== 'reverted';
  }

  private runningAt(service: string): Set<RunningAttempt> {
    let running = this.running.get(service);
    if (!running) this.running.set(service, (running = new Set()));
    return running;
  }

  private shareOf(service: string): number {
    const now = this.options.clock.monotonic();
    return this.parts.get(service)?.participant.shareAt(now) ?? 0;
  }

  private sendShare(host: string, share: RolloutShare): void {
    const {self, sendShare} = this.options;
    if (host === self.name) this.handleShare(host, share);
    else sendShare(host, share);
  }

  private get interval(): number {
    const hosts = this.options.hosts().length;
    return Math.max(
      MIN_INTERVAL_MILLISECONDS,
      hosts * INTERVAL_PER_HOST_MILLISECONDS,
    );
  }

  /** Reports and decides while there is an order. */
  private run(): void {
    if (this.stopTimer) return;
    const tick = () => {
      this.stopTimer = this.options.clock.after(this.interval, tick);
      const now = this.options.clock.monotonic();
      for (const [service, part] of this.parts) {
        if (part.participant.outcome) continue;
        this.logState(service, part, now);
        this.report(service, part, now);
      }
      this.control.tick();
      this.reader.readIfUnheard(
        [...this.parts.values()].map(({participant}) => participant),
        this.options.hosts().length,
      );
    };
    this.stopTimer = this.options.clock.after(0, tick);
  }

  private report(service: string, {participant, leader}: Part, now: number) {
    if (leader === undefined) return;
    const {self, sendReport} = this.options;
    const report = participant.report(this.runningAt(service), now);
    if (leader === self.name) this.handleReport(self.incarnation, report);
    else sendReport(leader, report);
  }

  /** Takes over how a roll-out has ended, as the store has it. */
  private finish(service: string, state: RolloutState): void {
    const part = this.parts.get(service);
    const {phase, excluded} = state;
    if (!part || part.participant.outcome) return;
    if (!isSameOrder(state.order, part.participant.order)) return;
    if (phase !== 'completed' && phase !== 'reverted') return;
    part.participant.finish(phase, excluded);
    this.logState(service, part, this.options.clock.monotonic());
    this.options.onChange();
  }

  private logState(service: string, part: Part, now: number): void {
    const {participant} = part;
    const share = participant.shareAt(now);
    const text = `${participant.describe(now)} ${share}`;
    if (text === part.logged) return;
    part.logged = text;
    part.versions = undefined;
    const {to} = participant.order;
    const state = participant.describe(now);
    this.options.logger.info('rollout-share', {service, to, state, share});
  }
}
