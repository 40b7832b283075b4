/**
 * Exchanges demands and grants of endpoint slots with the other hosts, on both
 * sides: sends this host's demand to the owners of the pools, allocates the
 * slots of the pools that this host owns, and preempts running requests when a
 * higher tier cannot be served. Slots of warm endpoints are granted by the
 * owner that rendezvous hashing selects. Slots of cold ones are granted only by
 * the holder of the zone's lease, since two owners at the same time would send
 * a cold endpoint more than it can run.
 */
import type {Admission, SchedulingGroup} from '../admission/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import type {Class, Configuration} from '../configuration/index.js';
import {
  clearDemand,
  emptyAllocator,
  answerDemand,
  grantChanges,
  HeldGrants,
  setLimits,
  recordDemand,
  type Demand,
  type Grant,
  type GrantResult,
  type AllocatorState,
  type EndpointLimit,
} from '../credits/index.js';
import type {Leases} from '../lease/index.js';
import type {Message} from '../messages/index.js';
import type {Metrics} from '../metrics/index.js';
import type {EndpointTable, PoolZone} from '../placement/index.js';
import {coldEndpointLimit} from './coldlimit.js';
import type {LeaseManager} from './lease.js';
import type {Membership} from './membership.js';
import {zoneLeaseName} from './leasenames.js';
import type {EndpointMonitor} from './monitor.js';

/**
 * Time for which changes are collected into one demand: while requests are
 * waiting, and while none is.
 */
const URGENT_DEMAND_DELAY_MILLISECONDS = 5;
const IDLE_DEMAND_DELAY_MILLISECONDS = 250;
/** Time before a grant expires at which the demand for it is renewed. */
const GRANT_RENEWAL_MARGIN_MILLISECONDS = 1_600;
/** Ticks for which another zone gets demands after it was last needed. */
const REMOTE_DEMAND_TICKS = 10;

/** Time for which an owner collects changes before it sends grants for them. */
const GRANT_DELAY_MILLISECONDS = 10;
/** Slots granted at an endpoint that has failed, so that requests probe it. */
const SUSPECT_ENDPOINT_SLOTS = 1;

/** Least time between preemptions in a pool, so that one takes effect first. */
const MIN_PREEMPTION_INTERVAL_MILLISECONDS = 100;

type Ledger = Demand['ledger'];

/** Dependencies of `CreditCoordinator`. */
export interface CreditCoordinatorOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly incarnation: string;
  readonly zone: string;
  readonly admission: Admission;
  readonly endpoints: EndpointTable;
  readonly membership: Membership;
  readonly watch: EndpointMonitor;
  readonly leases: LeaseManager;
  readonly heldGrants: HeldGrants;
  readonly configuration: () => Configuration;
  readonly leaseStatuses: () => Leases;
  readonly send: (incarnation: string, message: Message) => void;
}

/** The allocator of one pool in one zone that this host owns. */
interface OwnedPool {
  allocator: AllocatorState;
  readonly ledger: Ledger;
  readonly part: PoolZone;
  hasScheduledGrants: boolean;
}

/** Sends a host's demands, and grants the slots of the pools that it owns. */
export class CreditCoordinator {
  private readonly ownedPools = new Map<string, OwnedPool>();
  /** The latest demand sent for warm endpoints, by pool and zone. */
  private readonly lastDemands = new Map<string, Demand>();
  private readonly remoteUntil = new Map<string, number>();
  private readonly preemptedAt = new Map<string, number>();
  private pendingDemands: Cancel | undefined;
  private isUrgent = false;
  private ticks = 0;

  constructor(private readonly options: CreditCoordinatorOptions) {}

  /**
   * Sends the demands that are due, and removes the pools that this host no
   * longer owns. To be called at regular intervals.
   */
  tick(): void {
    this.ticks++;
    this.removeLostPools();
    this.sendDueDemands();
  }

  /**
   * Schedules demands after a change in the waiting or running requests: sooner
   * while requests are waiting.
   */
  scheduleDemands(): void {
    const isUrgent = this.options.admission.waiting > 0;
    if (this.pendingDemands && (!isUrgent || this.isUrgent)) return;
    this.pendingDemands?.();
    this.isUrgent = isUrgent;
    const delay = isUrgent
      ? URGENT_DEMAND_DELAY_MILLISECONDS
      : IDLE_DEMAND_DELAY_MILLISECONDS;
    this.pendingDemands = this.options.clock.after(delay, () => {
      this.pendingDemands = undefined;
      this.sendDueDemands();
    });
  }

  /**
   * Handles a host's demand: grants it slots at once, and schedules new grants
   * for the other hosts if the demand has changed. Ignores the demand if this
   * host does not own the pool.
   */
  handleDemand(from: string, demand: Demand): void {
    const owned = this.ensureOwnedPool(demand);
    if (!owned) return;
    const now = this.options.clock.monotonic();
    const before = owned.allocator.hosts.get(from)?.demand;
    owned.allocator = recordDemand(owned.allocator, from, demand, now);
    owned.allocator = setLimits(owned.allocator, this.limitsFor(owned, now));
    this.sendGrants(owned, answerDemand(owned.allocator, from, now));
    if (!isSameDemand(before, demand)) this.scheduleGrants(owned);
  }

  /**
   * Applies a grant. Sends a new demand at once if the grant took slots away,
   * since the owner can give them to others only once this host confirms it.
   */
  applyGrant(grant: Grant): void {
    const {heldGrants, admission} = this.options;
    const {ledger, pool, zone} = grant;
    const before = heldGrants.latest(ledger, pool, zone);
    heldGrants.apply(grant);
    const after = heldGrants.latest(ledger, pool, zone);
    if (after === before || !after) return;
    admission.dispatch();
    const hasShrunk = [...(before?.counts ?? [])].some(
      ([endpoint, count]) => (after.counts.get(endpoint) ?? 0) < count,
    );
    if (grant.yields > 0) this.preemptFor(grant);
    if (hasShrunk) this.sendDemand(ledger, {pool, zone});
  }

  /** Clears the demand of a host that is no longer reachable. */
  clearDemandOf(incarnation: string): void {
    for (const owned of this.ownedPools.values()) {
      owned.allocator = clearDemand(owned.allocator, incarnation);
      this.scheduleGrants(owned);
    }
  }

  /**
   * Sends a demand for every pool whose demand has changed or whose grant is
   * about to expire; for cold endpoints always.
   */
  private sendDueDemands(): void {
    for (const part of this.options.endpoints.poolZones()) {
      if (!this.isRelevant(part)) continue;
      const demand = this.createDemand('warm', part);
      if (this.isDemandDue(part, demand)) this.deliverDemand(part, demand);
      if (this.hasColdEndpoint(part)) this.sendDemand('cold', part);
    }
  }

  private isDemandDue({pool, zone}: PoolZone, demand: Demand): boolean {
    const {clock, heldGrants} = this.options;
    const now = clock.monotonic();
    const held = heldGrants.active('warm', pool, zone, now);
    if (!held || held.expiresAt - now < GRANT_RENEWAL_MARGIN_MILLISECONDS)
      return true;
    return !isSameDemand(this.lastDemands.get(`${pool} ${zone}`), demand);
  }

  /**
   * Whether this host sends demands for a pool in a zone. For other zones it
   * does so only while the endpoints of its own zone do not suffice.
   */
  private isRelevant({pool, zone}: PoolZone): boolean {
    if (zone === this.options.zone) return true;
    const key = `${pool} ${zone}`;
    const {admission, endpoints} = this.options;
    const isNeeded =
      admission.waitingByGroup(pool).length > 0 ||
      endpoints.runningIn(pool, zone).endpoints.size > 0 ||
      endpoints.slotCount(pool) === 0;
    if (isNeeded) this.remoteUntil.set(key, this.ticks + REMOTE_DEMAND_TICKS);
    return this.ticks < (this.remoteUntil.get(key) ?? 0);
  }

  private hasColdEndpoint({pool, zone}: PoolZone): boolean {
    return this.options.endpoints
      .list(pool)
      .some(({endpoint, warm}) => endpoint.zone === zone && !warm);
  }

  private sendDemand(ledger: Ledger, part: PoolZone): void {
    this.deliverDemand(part, this.createDemand(ledger, part));
  }

  private deliverDemand(part: PoolZone, demand: Demand): void {
    const {ledger} = demand;
    const owner = this.findOwner(ledger, part);
    if (owner === undefined) return;
    if (ledger === 'warm')
      this.lastDemands.set(`${part.pool} ${part.zone}`, demand);
    if (owner === this.options.incarnation) this.handleDemand(owner, demand);
    else this.options.send(owner, demand);
  }

  private findOwner(
    ledger: Ledger,
    {pool, zone}: PoolZone,
  ): string | undefined {
    const {membership, leaseStatuses} = this.options;
    if (ledger === 'warm') {
      return membership.preferenceOrder(zone, `pool ${pool}`)[0]?.incarnation;
    }
    const status = leaseStatuses().get(zoneLeaseName(zone));
    return status?.released ? undefined : status?.holder;
  }

  private createDemand(ledger: Ledger, part: PoolZone): Demand {
    const {clock, heldGrants, admission, endpoints} = this.options;
    const {pool, zone} = part;
    const inUse = endpoints.runningIn(pool, zone);
    const classDemands = new Map<string, Demand['classes'][number]>();
    const tables = this.options.configuration().tables;
    for (const [name, running] of inUse.classes) {
      const known = tables.classes.get(name)?.object;
      if (known) classDemands.set(name, {...emptyClassDemand(known), running});
    }
    const mayPreempt = this.mayPreemptIn(part);
    for (const {group, count, late} of admission.waitingByGroup(pool)) {
      const demand =
        classDemands.get(group.className) ?? emptyGroupDemand(group);
      const waiting = demand.waiting + count;
      const pressing = mayPreempt ? demand.pressing + late : 0;
      classDemands.set(group.className, {...demand, waiting, pressing});
    }
    const latest = heldGrants.latest(ledger, pool, zone);
    return {
      kind: 'demand',
      ledger,
      pool,
      zone,
      applied: latest?.number ?? 0,
      owner: latest?.owner ?? '',
      sentAt: clock.monotonic(),
      classes: [...classDemands.values()],
      inUse: [...inUse.endpoints].map(([endpoint, count]) => ({
        endpoint,
        count,
      })),
    };
  }

  /**
   * Whether this host's waiting requests may preempt others in a zone. That is
   * limited to one zone, as otherwise a single waiting request would cost a
   * running one in each: this host's own zone, or the first one with endpoints
   * of the pool, if its own has none in service.
   */
  private mayPreemptIn({pool, zone}: PoolZone): boolean {
    const zones = this.options.endpoints
      .list(pool)
      .filter(({zoneIn}) => zoneIn)
      .map(({endpoint}) => endpoint.zone);
    const own = this.options.zone;
    return zone === (zones.includes(own) ? own : zones.sort()[0]);
  }

  /** The allocator of the pool, created if missing; undefined if not owned. */
  private ensureOwnedPool(demand: Demand): OwnedPool | undefined {
    const {ledger, pool, zone} = demand;
    const part = {pool, zone};
    if (!this.isOwner(ledger, part)) return undefined;
    const key = `${ledger} ${pool} ${zone}`;
    let owned = this.ownedPools.get(key);
    if (!owned) {
      const {incarnation, clock} = this.options;
      const allocator = emptyAllocator(
        incarnation,
        demand.ledger === 'cold',
        clock.monotonic(),
      );
      owned = {allocator, ledger, part, hasScheduledGrants: false};
      this.ownedPools.set(key, owned);
    }
    return owned;
  }

  private isOwner(ledger: Ledger, part: PoolZone): boolean {
    const {incarnation, leases} = this.options;
    if (ledger === 'cold') return leases.mayAct(zoneLeaseName(part.zone));
    return this.findOwner(ledger, part) === incarnation;
  }

  /** Removes the allocators of pools that this host no longer owns. */
  private removeLostPools(): void {
    for (const [key, {ledger, part}] of this.ownedPools) {
      if (!this.isOwner(ledger, part)) this.ownedPools.delete(key);
    }
  }

  /**
   * Schedules new grants for every host whose share has changed; changes until
   * then are collected.
   */
  private scheduleGrants(owned: OwnedPool): void {
    if (owned.hasScheduledGrants) return;
    owned.hasScheduledGrants = true;
    this.options.clock.after(GRANT_DELAY_MILLISECONDS, () => {
      owned.hasScheduledGrants = false;
      const now = this.options.clock.monotonic();
      owned.allocator = setLimits(owned.allocator, this.limitsFor(owned, now));
      this.sendGrants(owned, grantChanges(owned.allocator, now));
    });
  }

  private sendGrants(owned: OwnedPool, {allocator, grants}: GrantResult): void {
    owned.allocator = allocator;
    for (const {host, grant} of grants) {
      if (host === this.options.incarnation) this.applyGrant(grant);
      else this.options.send(host, grant);
    }
  }

  private limitsFor(
    {ledger, part, allocator}: OwnedPool,
    now: number,
  ): EndpointLimit[] {
    const {endpoints, watch} = this.options;
    const limits: EndpointLimit[] = [];
    for (const known of endpoints.list(part.pool)) {
      const {endpoint, state, zoneIn} = known;
      if (endpoint.zone !== part.zone) continue;
      const isCold = !known.warm;
      const isUsable = zoneIn && state !== 'leaving' && state !== 'gone';
      if (isUsable && ledger === 'cold' && isCold) {
        const observation = watch.observation(endpoint.name);
        limits.push(coldEndpointLimit(endpoint, observation, allocator, now));
        continue;
      }
      const isSuspect = now < known.suspectUntil;
      const warmSlots = isSuspect ? SUSPECT_ENDPOINT_SLOTS : endpoint.slots;
      const slots = isUsable && ledger === 'warm' && !isCold ? warmSlots : 0;
      limits.push({endpoint: endpoint.name, slots});
    }
    return limits;
  }

  /** Preempts running requests of tiers below the one that cannot be served. */
  private preemptFor({pool, pressure, yields}: Grant): void {
    const {admission, metrics, clock} = this.options;
    const now = clock.monotonic();
    const lastAt = this.preemptedAt.get(pool) ?? -Infinity;
    if (now - lastAt < MIN_PREEMPTION_INTERVAL_MILLISECONDS) return;
    const preempted = admission.preempt(pool, pressure, yields);
    if (preempted === 0) return;
    this.preemptedAt.set(pool, now);
    metrics.count('preempted', {pool}, preempted);
  }
}

/** Whether a demand equals the one before, so that it only renews it. */
function isSameDemand(before: Demand | undefined, after: Demand): boolean {
  if (!before) return false;
  const text = ({classes, applied}: Demand) =>
    JSON.stringify({classes, applied});
  return text(before) === text(after);
}

function emptyClassDemand({
  name,
  tier,
  floorShare,
}: Class): Demand['classes'][number] {
  return {name, tier, floorShare, running: 0, waiting: 0, pressing: 0};
}

function emptyGroupDemand(group: SchedulingGroup): Demand['classes'][number] {
  const {className: name, tier, floorShare} = group;
  return {name, tier, floorShare, running: 0, waiting: 0, pressing: 0};
}
