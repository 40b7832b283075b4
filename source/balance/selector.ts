/**
 * Selects an endpoint for each request of this host. It combines what the
 * configuration, the store, the endpoints' responses and the reports of other
 * hosts say about the endpoints, and counts the requests that are sent to each.
 */
import {
  CapacityProvider,
  type CapacityShortage,
  type SchedulingGroup,
} from '../admission/index.js';
import {
  endpointIncarnation,
  type Directory,
  type KnownEndpoint,
} from '../directory/index.js';
import type {SharingHosts} from '../membership/index.js';
import type {AllowedRegions, Service} from '../routing/index.js';
import {ServiceRates} from '../servicerates/index.js';
import {chooseEngine, chooseLeastBusy, type Candidate} from './choose.js';
import {DemandTracker, type ServiceDemand} from './demand.js';
import {PrefixCacheIndex} from './prefixcache.js';
import {expectedRequests} from './load.js';
import {EligibleEndpoints} from './eligible.js';
import type {EligibleSet} from './eligibleset.js';
import {EndpointLoads} from './endpointloads.js';
import {NamedLimits, type LimitStatement} from './namedlimits.js';
import type {HostContext} from './hostcontext.js';
import {OwnLoads} from './ownloads.js';
import {UnreachableSignals} from './unreachable.js';
import {WithheldEndpoints} from './withheld.js';
import {
  continuationShortage,
  engineShortage,
  plainShortage,
} from './capacity.js';
import type {EndpointRequirements, Reservation} from './reservation.js';
import type {HostLimitInput} from './share.js';
import {busyEngineCount, totalDemand} from './partition.js';
import {
  applyLoadReports,
  loadReports,
  type EndpointLoadReport,
} from './loadreports.js';
import type {Prompt} from './prompt.js';
import {PauseRoom} from './pauseroom.js';
import {PromptRanker, type PromptSize} from './promptranker.js';
import {RatedSelection} from './ratedselection.js';
import {sentPrompt, SlotReserver} from './slotreserver.js';

/** Slots of an engine whose service does not state them. */
const DEFAULT_ENGINE_SLOTS = 64;

/**
 * The endpoints that this host knows, with their loads. Tells admission whether
 * they have capacity, and reserves an endpoint for each request.
 */
export class EndpointSelector extends CapacityProvider {
  private readonly endpoints: EligibleEndpoints;
  private readonly limits: NamedLimits;
  private readonly withheld: WithheldEndpoints;
  private readonly loads = new EndpointLoads(() => this.endpoints.invalidate());
  private readonly ownLoads = new OwnLoads();
  private readonly demand: DemandTracker;
  private readonly unreachable = new UnreachableSignals();
  /** Requests so far; rotates the endpoints so that equal ones alternate. */
  private rotation = 0;
  readonly prefixCache = new PrefixCacheIndex();
  /** How fast each endpoint serves requests. */
  readonly rates: ServiceRates;
  private readonly rated: RatedSelection;
  private readonly room: PauseRoom;
  private readonly promptRanker: PromptRanker;
  private readonly slotReserver: SlotReserver;

  constructor(private readonly context: HostContext) {
    super();
    this.limits = new NamedLimits(change => {
      this.endpoints.invalidate();
      context.onLimitChange?.(change);
    });
    this.withheld = new WithheldEndpoints(change => {
      this.endpoints.invalidate();
      context.onWithholdingChange?.(change);
    });
    this.endpoints = new EligibleEndpoints(context, this.limits, this.withheld);
    this.rates = context.rates ?? new ServiceRates(context.onRatesChange);
    const demandRates = context.balancesByRates ? this.rates : undefined;
    this.demand = new DemandTracker(context.clock, demandRates);
    this.room = new PauseRoom(this.rates);
    this.rated = new RatedSelection({
      room: this.room,
      host: context.host,
      rates: this.rates,
      demand: this.demand,
      hostCount: () => this.hostCount,
      random: context.random,
    });
    this.promptRanker = new PromptRanker(this.demand, this.prefixCache);
    this.slotReserver = new SlotReserver({
      endpoints: this.endpoints,
      loads: this.loads,
      ownLoads: this.ownLoads,
      limits: this.limits,
      withheld: this.withheld,
      rates: this.rates,
      clock: context.clock,
    });
  }

  setServices(services: ReadonlyMap<string, Service>): void {
    this.endpoints.setServices(services);
    this.room.retainServices(services);
  }

  /** Sets the zones that operators have taken out of service. */
  setZonesOut(zones: ReadonlySet<string>): void {
    this.endpoints.setZonesOut(zones);
  }

  /** Sets the hosts that share the limits, including this one, as known for sure. */
  setHosts(hosts: readonly string[]): void {
    this.setSharing({hosts, confidence: 'confirmed'});
  }

  /** Sets the hosts that share the limits, and how sure this host is of them. */
  setSharing(sharing: SharingHosts): void {
    this.endpoints.setSharing(sharing);
  }

  /** The number of hosts among which a limit is divided. */
  get assumedHosts(): number {
    return this.endpoints.assumedHosts;
  }

  get hostCount(): number {
    return this.endpoints.hosts.length;
  }

  /**
   * Replaces the directory; drops what is known of removed or restarted
   * endpoints.
   */
  setDirectory(directory: Directory): void {
    const ended = this.endpoints.setDirectory(directory);
    this.rates.setDirectory(directory, ended);
    for (const id of ended) {
      this.loads.remove(id);
      this.ownLoads.remove(id);
      this.room.pauses.removeEndpoint(id);
      this.prefixCache.removeEndpoint(id);
    }
  }

  override hasCapacity(group: SchedulingGroup): boolean {
    return this.shortage(group) === undefined;
  }

  override shortage(group: SchedulingGroup): CapacityShortage | undefined {
    const now = this.now();
    const eligible = this.capacity(group.pool, now, group.homes);
    if (eligible.size === 0) return 'no-endpoint';
    const isEngine =
      this.endpoints.services.get(group.pool)?.engine !== undefined;
    const rated = this.isBalancedByRates(group.pool)
      ? this.rated.requestsAt(isEngine, now)
      : undefined;
    const requestsAt = (id: string) =>
      rated
        ? rated(id, this.loads.get(id))
        : expectedRequests(this.loads.get(id), now);
    if (!isEngine) return plainShortage(eligible, requestsAt);
    const {continuation} = group;
    if (continuation)
      return this.endpoints.hasVersion(group.pool, continuation)
        ? continuationShortage(eligible, continuation, requestsAt)
        : undefined;
    const own = this.ownLoads.upToTier(group.tier, eligible, now);
    const demand = this.hostLimitInput(group.pool);
    const shortage = engineShortage(eligible, {own, demand, requestsAt});
    if (shortage || !rated || own.moreUrgentRequests === 0) return shortage;
    const isForLarge = this.promptRanker.isForLarge(group.pool, eligible);
    const loadOf = (id: string) => this.loads.get(id);
    const waiting = {...group, engines: eligible, isForLarge, loadOf};
    return this.rated.mustWait(waiting, now) ? 'host-prefill' : undefined;
  }

  /** This host’s equal share of the slots of a pool’s eligible endpoints. */
  override slotCount(pool: string): number {
    const {slots} = this.capacity(pool, this.now());
    return slots / Math.max(this.hostCount, 1);
  }

  /**
   * Counts a request towards its service’s demand, which decides how many
   * engines are set aside for large prompts. Called once, on arrival.
   */
  recordArrival(service: string, prompt: Prompt): void {
    const slots =
      this.endpoints.services.get(service)?.engine?.slots ??
      DEFAULT_ENGINE_SLOTS;
    const isLarge = this.room.isLarge(service, prompt, this.now());
    this.demand.recordArrival(service, prompt, slots, isLarge);
  }

  /** The mean number of engines that requests of all hosts keep busy. */
  busyEngineCount(service: string): number {
    return busyEngineCount(this.demand.fleetDemand(service));
  }

  /** The load of this host’s requests at each endpoint, for the other hosts. */
  loadReports(): EndpointLoadReport[] {
    return loadReports(this.loads);
  }

  /** The endpoints that this host cannot reach. */
  unreachableEndpoints(): KnownEndpoint[] {
    const {unreachableIds} = this.loads;
    if (unreachableIds.size === 0) return [];
    return [...this.endpoints.directory.values()].filter(({entry}) =>
      unreachableIds.has(entry.id),
    );
  }

  /** Applies what other hosts have been told about the limits of endpoints. */
  setLimitReports(statements: readonly LimitStatement[]): void {
    const now = this.now();
    for (const statement of statements) {
      if (!this.endpoints.directory.has(statement.id)) continue;
      this.limits.recordReport(statement, now);
    }
  }

  /** What endpoints have told this host about their limits since a time. */
  limitStatementsSince(time: number): LimitStatement[] {
    return this.limits.statementsSince(time, this.now());
  }

  /**
   * Whether an endpoint wants requests of this host and its limit allows a health
   * check, which counts towards it like a request. Counts it if so.
   */
  reserveProbe(endpoint: KnownEndpoint): boolean {
    const now = this.now();
    if (this.withheld.isWithheld(endpoint.entry, now)) return false;
    if (!this.endpoints.isWithinLimit(endpoint, now)) return false;
    this.endpoints.recordSend(endpoint, now);
    return true;
  }

  /** Records that an endpoint has told in a health check that it leaves. */
  markLeaving({entry}: KnownEndpoint): void {
    this.withheld.recordLeaving(entry);
  }

  /**
   * Records that an endpoint has told in a health check that it wants nothing of
   * this host for some milliseconds.
   */
  markBackoff({entry}: KnownEndpoint, duration: number): void {
    this.withheld.recordBackoff(entry, duration, this.now());
  }

  /**
   * Records that an incarnation of an endpoint has crashed: nothing is sent there
   * until a health check finds that it lives, or another incarnation is known.
   */
  markCrashed(incarnation: string): void {
    const crashed = [...this.endpoints.directory.values()].find(
      ({entry}) => endpointIncarnation(entry) === incarnation,
    );
    if (!crashed) return;
    this.slotReserver.recordEvent(crashed.entry.id, {
      kind: 'unreachable',
      now: this.now(),
    });
  }

  /** The endpoints at an address that can be reached and do not leave, as far as is known. */
  reachableAt(address: string): KnownEndpoint[] {
    const {unreachableIds} = this.loads;
    return [...this.endpoints.directory.values()].filter(
      ({entry}) =>
        entry.address === address &&
        !entry.leaving &&
        !unreachableIds.has(entry.id),
    );
  }

  /** Records that an endpoint has answered a health check. */
  markReachable(id: string): void {
    this.slotReserver.recordEvent(id, {kind: 'reached'});
  }

  /** The service of an endpoint; undefined if it is not configured. */
  serviceOf({entry}: KnownEndpoint): Service | undefined {
    return this.endpoints.services.get(entry.service);
  }

  /**
   * Replaces the reports of other hosts about endpoints that they cannot reach.
   * An id occurs once for each host that reports it.
   */
  setUnreachableReports(ids: readonly string[]): void {
    this.unreachable.setReports(ids);
  }

  /** The demand of this host’s callers by service, for the other hosts. */
  ownDemands(): ServiceDemand[] {
    return this.demand.ownDemands();
  }

  /** Replaces the load and the demand that the other hosts report. */
  setHostReports(
    loads: readonly EndpointLoadReport[],
    demands: readonly ServiceDemand[],
  ): void {
    const ids = this.endpoints.directory.keys();
    applyLoadReports(this.loads, ids, loads, this.now());
    this.demand.setReports(demands);
  }

  /**
   * Selects an endpoint for a request and reserves a slot there; undefined when
   * no endpoint is eligible. An endpoint at which the request has failed is
   * selected only when there is no other.
   *
   * ```ts
   * const reservation = selector.reserve({service, prompt, failedEndpoints});
   * if (!reservation) throw new Error('no endpoint');
   * try { await send(reservation.endpoint); } finally { reservation.release(); }
   * ```
   */
  reserve(requirements: EndpointRequirements): Reservation | undefined {
    const {service, prompt, failedEndpoints, tier} = requirements;
    const now = this.now();
    const eligible = this.eligible(service, now, requirements.homes)
      .ofVersion(requirements.softwareVersion)
      .withoutVersions(requirements.excludedVersions)
      .among(requirements.endpoints);
    const untried = eligible.without(failedEndpoints);
    const isRated = this.isBalancedByRates(service);
    if (isRated) this.room.updateSpeed(service, eligible, now);
    const isLarge = prompt ? this.room.isLarge(service, prompt, now) : false;
    const candidates = this.candidates(
      untried.size > 0 ? untried : eligible,
      requirements,
      {isLarge, isByPauses: isRated},
      now,
    );
    const choice = isRated
      ? this.rated.choose(
          candidates,
          {service, prompt, isLarge, pauseTarget: requirements.pauseTarget},
          now,
        )
      : prompt
        ? chooseEngine(candidates, prompt, now)
        : chooseLeastBusy(candidates, now);
    const endpoint = choice && this.endpoints.directory.get(choice.id);
    if (!endpoint) return undefined;
    const sent = prompt && sentPrompt(prompt, this.prefixCache, choice.id, now);
    if (prompt)
      this.promptRanker.recordPrefill(service, prompt, choice.id, now);
    const reservation = this.slotReserver.reserve(endpoint, choice, {
      tier,
      sent,
      now,
    });
    if (!isRated || !prompt) return reservation;
    this.room.recordPrefill(service, tier, choice.prefillMilliseconds);
    return this.room.track(reservation, requirements, {isLarge, now});
  }

  /**
   * The endpoints of a set as candidates, beginning with another one for each
   * request.
   */
  private candidates(
    set: EligibleSet,
    {service, prompt, failedEndpoints}: EndpointRequirements,
    size: PromptSize,
    now: number,
  ): Candidate[] {
    const {endpoints, size: count} = set;
    const unreachableSignals = this.unreachable.counter(
      this.unreachableEndpoints(),
    );
    const prompted =
      prompt && this.promptRanker.rank(prompt, service, set, now, size);
    const start = count > 0 ? this.rotation % count : 0;
    this.rotation++;
    const candidates: Candidate[] = [];
    for (let offset = 0; offset < count; offset++) {
      const index = (start + offset) % count;
      const known = endpoints[index];
      if (!known) continue;
      const {entry, coldUntil} = known;
      candidates.push({
        id: entry.id,
        slots: entry.slots,
        isSameZone: entry.zone === this.context.zone,
        isInColdStart: now < coldUntil,
        hasFailedRequest: failedEndpoints.has(entry.id),
        isForOtherSize: prompted?.isForOtherSize(index) ?? false,
        rank: prompted?.ranks?.[index] ?? 0,
        unreachableSignals: unreachableSignals(entry),
        cachedTokens: prompted?.cachedTokens(entry.id) ?? 0,
        load: this.loads.get(entry.id),
      });
    }
    return candidates;
  }

  /** The endpoints of a service that may get a new request now. */
  private eligible(
    service: string,
    now: number,
    homes?: AllowedRegions,
  ): EligibleSet {
    const {ejectedUntil} = this;
    return this.endpoints.eligible({service, homes, ejectedUntil}, now);
  }

  /** The eligible endpoints that are capacity for new requests. */
  private capacity(
    service: string,
    now: number,
    homes?: AllowedRegions,
  ): EligibleSet {
    const excluded = this.context.excludedVersions?.(service);
    return this.eligible(service, now, homes).withoutVersions(excluded);
  }

  /** Whether endpoints of a service are chosen by how fast they are. */
  private isBalancedByRates(service: string): boolean {
    return this.context.balancesByRates === true && this.rates.isInUse(service);
  }

  private hostLimitInput(service: string): HostLimitInput {
    const hosts = this.hostCount;
    const ownDemand = totalDemand(this.demand.ownDemand(service));
    const fleetDemand = totalDemand(this.demand.fleetDemand(service, hosts));
    return {hosts, ownDemand, fleetDemand};
  }

  private readonly ejectedUntil = (id: string) =>
    this.loads.get(id).ejectedUntil;

  private now(): number {
    return this.context.clock.monotonic();
  }
}
