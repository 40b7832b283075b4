/**
 * Carries out credits on both sides: asks the owners of pools for what this
 * host needs, keeps the books of the pools that this host owns, and preempts
 * when a higher tier waits in vain. Warm endpoints are granted by the owner
 * that rendezvous hashing names. Cold ones are granted only by the holder of
 * the zone's lease, since two owners at once would send a cold endpoint more
 * than it bears.
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
import {coldLimit} from './cold.js';
import type {LeaseDesk} from './lease.js';
import type {Membership} from './membership.js';
import {zoneLeaseOf} from './names.js';
import type {EndpointWatch} from './watch.js';

/**
 * Time within which changes are gathered into one message, in milliseconds:
 * while requests wait, and while none does.
 */
const GATHER_WAITING_MILLISECONDS = 5;
const GATHER_IDLE_MILLISECONDS = 250;
/** Time before a grant lapses at which it is asked for again, in milliseconds. */
const RENEW_BEFORE_MILLISECONDS = 1_600;
/** Ticks for which a pool of another zone is asked after it was last needed. */
const REMOTE_TICKS = 10;

/** Time within which an owner gathers changes for the others, in milliseconds. */
const SPREAD_MILLISECONDS = 10;
/** Places that are granted at an endpoint that has failed, for a probe. */
const SUSPECT_PLACES = 1;

/** Least time between two yields of a pool, in milliseconds: one takes effect first. */
const YIELD_MILLISECONDS = 100;

type Ledger = Demand['ledger'];

/** What a credit desk is made from. */
export interface CreditDeskOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly incarnation: string;
  readonly zone: string;
  readonly admission: Admission;
  readonly endpoints: EndpointTable;
  readonly membership: Membership;
  readonly watch: EndpointWatch;
  readonly leases: LeaseDesk;
  readonly holding: HeldGrants;
  readonly configuration: () => Configuration;
  readonly standings: () => Leases;
  readonly send: (incarnation: string, message: Message) => void;
}

interface Books {
  grantor: AllocatorState;
  readonly ledger: Ledger;
  readonly part: PoolZone;
  spreading: boolean;
}

/** The credits of a host. */
export class CreditDesk {
  private readonly books = new Map<string, Books>();
  /** The latest demand of each pool and zone. */
  private readonly asked = new Map<string, Demand>();
  private readonly remoteUntil = new Map<string, number>();
  private readonly yieldedAt = new Map<string, number>();
  private gathering: Cancel | undefined;
  private urgent = false;
  private ticks = 0;

  constructor(private readonly options: CreditDeskOptions) {}

  /** Renews all demands. */
  tick(): void {
    this.ticks++;
    this.closeBooks();
    this.askAll();
  }

  /** Notes that what waits or runs has changed; asks soon. */
  noteChange(): void {
    const urgent = this.options.admission.waiting > 0;
    if (this.gathering && (!urgent || this.urgent)) return;
    this.gathering?.();
    this.urgent = urgent;
    const delay = urgent
      ? GATHER_WAITING_MILLISECONDS
      : GATHER_IDLE_MILLISECONDS;
    this.gathering = this.options.clock.after(delay, () => {
      this.gathering = undefined;
      this.askAll();
    });
  }

  /** Takes another host's demand, and answers it and whom it concerns. */
  takeDemand(from: string, demand: Demand): void {
    const books = this.booksFor(demand);
    if (!books) return;
    const now = this.options.clock.monotonic();
    const before = books.grantor.hosts.get(from)?.demand;
    books.grantor = recordDemand(books.grantor, from, demand, now);
    books.grantor = setLimits(books.grantor, this.limitsOf(books, now));
    this.give(books, answerDemand(books.grantor, from, now));
    if (!sameNeeds(before, demand)) this.spreadSoon(books);
  }

  /** Takes a grant; asks again at once if that frees places for others. */
  takeGrant(grant: Grant): void {
    const {holding, admission} = this.options;
    const {ledger, pool, zone} = grant;
    const before = holding.latest(ledger, pool, zone);
    holding.apply(grant);
    const after = holding.latest(ledger, pool, zone);
    if (after === before || !after) return;
    admission.dispatch();
    const shrunk = [...(before?.counts ?? [])].some(
      ([endpoint, count]) => (after.counts.get(endpoint) ?? 0) < count,
    );
    if (grant.yields > 0) this.yieldTo(grant);
    if (shrunk) this.ask(ledger, {pool, zone});
  }

  /** Forgets the needs of a host that is out of reach. */
  drop(incarnation: string): void {
    for (const books of this.books.values()) {
      books.grantor = clearDemand(books.grantor, incarnation);
      this.spreadSoon(books);
    }
  }

  /** Asks for every pool whose needs have changed or whose grant grows old. */
  private askAll(): void {
    for (const part of this.options.endpoints.poolZones()) {
      if (!this.concerns(part)) continue;
      const demand = this.demandFor('warm', part);
      if (this.isDue(part, demand)) this.deliver(part, demand);
      if (this.hasCold(part)) this.ask('cold', part);
    }
  }

  private isDue({pool, zone}: PoolZone, demand: Demand): boolean {
    const {clock, holding} = this.options;
    const now = clock.monotonic();
    const held = holding.active('warm', pool, zone, now);
    if (!held || held.expiresAt - now < RENEW_BEFORE_MILLISECONDS) return true;
    return !sameNeeds(this.asked.get(`${pool} ${zone}`), demand);
  }

  /** Pools of other zones are asked only while this zone's do not suffice. */
  private concerns({pool, zone}: PoolZone): boolean {
    if (zone === this.options.zone) return true;
    const key = `${pool} ${zone}`;
    const {admission, endpoints} = this.options;
    const needed =
      admission.waitingByGroup(pool).length > 0 ||
      endpoints.runningIn(pool, zone).endpoints.size > 0 ||
      endpoints.slotCount(pool) === 0;
    if (needed) this.remoteUntil.set(key, this.ticks + REMOTE_TICKS);
    return this.ticks < (this.remoteUntil.get(key) ?? 0);
  }

  private hasCold({pool, zone}: PoolZone): boolean {
    return this.options.endpoints
      .list(pool)
      .some(({endpoint, warm}) => endpoint.zone === zone && !warm);
  }

  private ask(ledger: Ledger, part: PoolZone): void {
    this.deliver(part, this.demandFor(ledger, part));
  }

  private deliver(part: PoolZone, demand: Demand): void {
    const {ledger} = demand;
    const owner = this.ownerOf(ledger, part);
    if (owner === undefined) return;
    if (ledger === 'warm') this.asked.set(`${part.pool} ${part.zone}`, demand);
    if (owner === this.options.incarnation) this.takeDemand(owner, demand);
    else this.options.send(owner, demand);
  }

  private ownerOf(ledger: Ledger, {pool, zone}: PoolZone): string | undefined {
    const {membership, standings} = this.options;
    if (ledger === 'warm') {
      return membership.order(zone, `pool ${pool}`)[0]?.incarnation;
    }
    const standing = standings().get(zoneLeaseOf(zone));
    return standing?.released ? undefined : standing?.holder;
  }

  private demandFor(ledger: Ledger, part: PoolZone): Demand {
    const {clock, holding, admission, endpoints} = this.options;
    const {pool, zone} = part;
    const use = endpoints.runningIn(pool, zone);
    const needs = new Map<string, Demand['classes'][number]>();
    const tables = this.options.configuration().tables;
    for (const [name, running] of use.classes) {
      const known = tables.classes.get(name)?.object;
      if (known) needs.set(name, {...needOf(known), running});
    }
    const presses = this.pressesOn(part);
    for (const {group: lane, count, late} of admission.waitingByGroup(pool)) {
      const need = needs.get(lane.className) ?? needOfLane(lane);
      const waiting = need.waiting + count;
      const pressing = presses ? need.pressing + late : 0;
      needs.set(lane.className, {...need, waiting, pressing});
    }
    const latest = holding.latest(ledger, pool, zone);
    return {
      kind: 'demand',
      ledger,
      pool,
      zone,
      applied: latest?.number ?? 0,
      owner: latest?.owner ?? '',
      sentAt: clock.monotonic(),
      classes: [...needs.values()],
      inUse: [...use.endpoints].map(([endpoint, count]) => ({endpoint, count})),
    };
  }

  /**
   * Others give up running work in one zone only, or a single request that
   * waits would cost one in each: in this host's own, or in the first zone
   * that has endpoints of the pool, if its own has none to use.
   */
  private pressesOn({pool, zone}: PoolZone): boolean {
    const zones = this.options.endpoints
      .list(pool)
      .filter(({zoneIn}) => zoneIn)
      .map(({endpoint}) => endpoint.zone);
    const own = this.options.zone;
    return zone === (zones.includes(own) ? own : zones.sort()[0]);
  }

  /** The books of a demand's pool, if this host owns them. */
  private booksFor(demand: Demand): Books | undefined {
    const {ledger, pool, zone} = demand;
    const part = {pool, zone};
    if (!this.owns(ledger, part)) return undefined;
    const key = `${ledger} ${pool} ${zone}`;
    let books = this.books.get(key);
    if (!books) {
      const {incarnation, clock} = this.options;
      const grantor = emptyAllocator(
        incarnation,
        demand.ledger === 'cold',
        clock.monotonic(),
      );
      books = {grantor, ledger, part, spreading: false};
      this.books.set(key, books);
    }
    return books;
  }

  private owns(ledger: Ledger, part: PoolZone): boolean {
    const {incarnation, leases} = this.options;
    if (ledger === 'cold') return leases.mayAct(zoneLeaseOf(part.zone));
    return this.ownerOf(ledger, part) === incarnation;
  }

  /** Drops the books that this host no longer owns. */
  private closeBooks(): void {
    for (const [key, {ledger, part}] of this.books) {
      if (!this.owns(ledger, part)) this.books.delete(key);
    }
  }

  /** Tells every host whose share has changed, soon and once for all changes. */
  private spreadSoon(books: Books): void {
    if (books.spreading) return;
    books.spreading = true;
    this.options.clock.after(SPREAD_MILLISECONDS, () => {
      books.spreading = false;
      const now = this.options.clock.monotonic();
      books.grantor = setLimits(books.grantor, this.limitsOf(books, now));
      this.give(books, grantChanges(books.grantor, now));
    });
  }

  private give(books: Books, {allocator: grantor, grants}: GrantResult): void {
    books.grantor = grantor;
    for (const {host, grant} of grants) {
      if (host === this.options.incarnation) this.takeGrant(grant);
      else this.options.send(host, grant);
    }
  }

  private limitsOf(
    {ledger, part, grantor}: Books,
    now: number,
  ): EndpointLimit[] {
    const {endpoints, watch} = this.options;
    const limits: EndpointLimit[] = [];
    for (const known of endpoints.list(part.pool)) {
      const {endpoint, state, zoneIn} = known;
      if (endpoint.zone !== part.zone) continue;
      const cold = !known.warm;
      const usable = zoneIn && state !== 'leaving' && state !== 'gone';
      if (usable && ledger === 'cold' && cold) {
        const sighting = watch.sighting(endpoint.name);
        limits.push(coldLimit(endpoint, sighting, grantor, now));
        continue;
      }
      const suspect = now < known.suspectUntil;
      const whole = suspect ? SUSPECT_PLACES : endpoint.slots;
      const places = usable && ledger === 'warm' && !cold ? whole : 0;
      limits.push({endpoint: endpoint.name, slots: places});
    }
    return limits;
  }

  /** Gives up running requests of tiers below the one that waits in vain. */
  private yieldTo({pool, pressure, yields}: Grant): void {
    const {admission, metrics, clock} = this.options;
    const now = clock.monotonic();
    const last = this.yieldedAt.get(pool) ?? -Infinity;
    if (now - last < YIELD_MILLISECONDS) return;
    const preempted = admission.preempt(pool, pressure, yields);
    if (preempted === 0) return;
    this.yieldedAt.set(pool, now);
    metrics.count('preempted', {pool}, preempted);
  }
}

/** Whether a demand only renews the one before it. */
function sameNeeds(before: Demand | undefined, after: Demand): boolean {
  if (!before) return false;
  const text = ({classes, applied}: Demand) =>
    JSON.stringify({classes, applied});
  return text(before) === text(after);
}

function needOf({name, tier, floorShare}: Class): Demand['classes'][number] {
  return {name, tier, floorShare, running: 0, waiting: 0, pressing: 0};
}

function needOfLane(lane: SchedulingGroup): Demand['classes'][number] {
  const {className: name, tier, floorShare} = lane;
  return {name, tier, floorShare, running: 0, waiting: 0, pressing: 0};
}
