/**
 * The endpoints of a host with their loads: what the configuration, the store
 * and the answers say comes together here, and a request takes its place here.
 */
import {Room, type Lane} from '../admission/index.js';
import type {Clock} from '../clock/index.js';
import type {Directory, KnownEndpoint} from '../directory/index.js';
import type {Homes, Service} from '../routing/index.js';
import {
  chooseEngine,
  chooseLeastBusy,
  type Candidate,
  type Choice,
} from './choose.js';
import {CallersWork, type ServiceWork} from './callers.js';
import {KeptParts} from './kept.js';
import {
  afterLoad,
  expectedRequests,
  IDLE_LOAD,
  isAvoided,
  type EndpointLoad,
  type LoadEvent,
  type NamedLoad,
} from './load.js';
import {OpenEndpoints} from './open.js';
import {ownPlaces} from './share.js';
import {busyEngines, largeCount, largeEngines, totalWork} from './split.js';
import {isLarge, sharedParts, sharedTokens, type Prompt} from './work.js';

/** Requests that a plain service’s endpoint is given for each of its places. */
const PLAIN_FILL = 1.5;
/** Slots of an engine whose service does not say. */
const PLAIN_SLOTS = 64;
/** Part of an engine’s slots that each tier may fill. */
const TIER_FILL: readonly number[] = [1, 0.92, 0.85];
const LOWEST_TIER_FILL = 0.8;

/** What a request needs of an endpoint. */
export interface Demand {
  readonly service: string;
  readonly prompt: Prompt | undefined;
  /** Endpoints at which it has failed. */
  readonly failedAt: ReadonlySet<string>;
  /** Regions that it must not leave. */
  readonly homes?: Homes;
}

/** A request’s place at an endpoint. */
export interface Place {
  readonly endpoint: KnownEndpoint;
  readonly choice: Choice;
  /** Whether the endpoint may still be sent to. */
  readonly isOpen: () => boolean;
  /** The head of an answer has come. */
  answered(named: NamedLoad | undefined): void;
  /** The endpoint has failed the request. */
  failed(): void;
  /** The endpoint does not accept connections, or another has its address. */
  unreachable(): void;
  /** The request has left the endpoint; a second call does nothing. */
  release(): void;
}

/** What a host has at one endpoint. */
export interface EndpointUse {
  readonly id: string;
  readonly requests: number;
  /** Milliseconds of reading that wait there. */
  readonly reading: number;
}

/** What a host knows when it looks for an endpoint. */
export interface Surroundings {
  readonly host: string;
  readonly zone: string;
  readonly clock: Clock;
  /** The region of each availability zone. */
  readonly regions: Readonly<Partial<Record<string, string>>>;
}

/** The endpoints of a host. */
export class EndpointBook extends Room {
  private readonly endpoints: OpenEndpoints;
  private readonly loads = new Map<string, EndpointLoad>();
  private readonly callers: CallersWork;
  /** How many other hosts cannot reach an endpoint. */
  private doubts: ReadonlyMap<string, number> = new Map();
  /** Requests so far; where endpoints are alike they get one in turn. */
  private turn = 0;
  private readonly largeCounts = new Map<string, number>();
  readonly kept = new KeptParts();

  constructor(private readonly surroundings: Surroundings) {
    super();
    this.endpoints = new OpenEndpoints(surroundings);
    this.callers = new CallersWork(surroundings.clock);
  }

  setServices(services: ReadonlyMap<string, Service>): void {
    this.endpoints.services = services;
  }

  setZonesOut(zones: ReadonlySet<string>): void {
    this.endpoints.zonesOut = zones;
  }

  /** Sets the hosts that are believed to live, this one among them. */
  setHosts(hosts: readonly string[]): void {
    this.endpoints.hosts = hosts;
  }

  get hostCount(): number {
    return this.endpoints.hosts.length;
  }

  setDirectory(directory: Directory): void {
    for (const id of this.endpoints.setDirectory(directory)) {
      this.loads.delete(id);
      this.kept.forget(id);
    }
  }

  override hasRoom(lane: Lane): boolean {
    const now = this.now();
    const usable = this.usable(lane.pool, now, lane.homes);
    const engine = this.endpoints.services.get(lane.pool)?.engine;
    const fill = engine
      ? (TIER_FILL[lane.tier] ?? LOWEST_TIER_FILL)
      : PLAIN_FILL;
    if (engine && !this.hasShare(lane.pool, usable, fill)) return false;
    return usable.some(
      ({entry}) =>
        expectedRequests(this.load(entry.id), now) < entry.slots * fill,
    );
  }

  override places(pool: string): number {
    const usable = this.usable(pool, this.now());
    const slots = usable.reduce((sum, {entry}) => sum + entry.slots, 0);
    return slots / Math.max(this.hostCount, 1);
  }

  /** Notes a request as it arrives, for the division of the engines. */
  arrived(service: string, prompt: Prompt): void {
    const slots =
      this.endpoints.services.get(service)?.engine?.slots ?? PLAIN_SLOTS;
    this.callers.arrived(service, prompt, slots);
  }

  /** Engines of the service that requests of all hosts keep busy. */
  busy(service: string): number {
    return busyEngines(this.callers.ofAll(service));
  }

  /** What this host has at each endpoint, for the others. */
  uses(): EndpointUse[] {
    const uses: EndpointUse[] = [];
    for (const [id, {own, ownReading}] of this.loads) {
      if (own === 0) continue;
      uses.push({id, requests: own, reading: Math.round(ownReading)});
    }
    return uses;
  }

  /** The endpoints that this host cannot reach. */
  unreachable(): KnownEndpoint[] {
    return [...this.endpoints.directory.values()].filter(
      ({entry}) => this.load(entry.id).unreachable,
    );
  }

  /** Notes that an endpoint has answered when it was asked how it is. */
  reached(id: string): void {
    this.update(id, {kind: 'reached'});
  }

  /** The service of an endpoint. */
  serviceOf({entry}: KnownEndpoint): Service | undefined {
    return this.endpoints.services.get(entry.service);
  }

  /** Takes over which endpoints the other hosts cannot reach. */
  setDoubts(ids: readonly string[]): void {
    const doubts = new Map<string, number>();
    for (const id of ids) doubts.set(id, (doubts.get(id) ?? 0) + 1);
    this.doubts = doubts;
  }

  /** The work that callers of this host ask for, for the others. */
  ownWork(): ServiceWork[] {
    return this.callers.list();
  }

  /** Takes over what the other hosts have told. */
  setOthers(uses: readonly EndpointUse[], work: readonly ServiceWork[]): void {
    const now = this.now();
    const sums = new Map<string, {requests: number; reading: number}>();
    for (const {id, requests, reading} of uses) {
      const sum = sums.get(id) ?? {requests: 0, reading: 0};
      sum.requests += requests;
      sum.reading += reading;
      sums.set(id, sum);
    }
    for (const id of this.endpoints.directory.keys()) {
      const sum = sums.get(id) ?? {requests: 0, reading: 0};
      if (sum.requests === 0 && this.load(id).others === 0) continue;
      this.update(id, {kind: 'told', ...sum, now});
    }
    this.callers.told(work);
  }

  /**
   * Takes a place for a request, or nothing where there is none.
   *
   * ```ts
   * const place = book.take({service, prompt, failedAt: new Set()});
   * try { await send(place.endpoint); } finally { place?.release(); }
   * ```
   */
  take({service, prompt, failedAt, homes}: Demand): Place | undefined {
    const now = this.now();
    const usable = this.usable(service, now, homes);
    const fresh = usable.filter(({entry}) => !failedAt.has(entry.id));
    const troubled = this.troubledZones();
    const known = rotated(fresh.length > 0 ? fresh : usable, this.turn++);
    const candidates = known.map(({entry, coldUntil}) => ({
      id: entry.id,
      slots: entry.slots,
      near: entry.zone === this.surroundings.zone,
      cold: now < coldUntil,
      failed: failedAt.has(entry.id),
      beside: false,
      doubts:
        (this.doubts.get(entry.id) ?? 0) + (troubled.get(entry.zone) ?? 0),
      kept: prompt ? this.kept.tokens(sharedParts(prompt), entry.id, now) : 0,
      load: this.load(entry.id),
    }));
    const choice = prompt
      ? this.chooseFor(prompt, service, candidates, now)
      : chooseLeastBusy(candidates, now);
    const endpoint = choice && this.endpoints.directory.get(choice.id);
    if (!endpoint) return undefined;
    if (prompt) this.noteRead(service, prompt, choice.id, now);
    return this.placeAt(endpoint, choice, now);
  }

  /** Notes what an engine has to read for a request, and then keeps. */
  private noteRead(
    service: string,
    prompt: Prompt,
    engine: string,
    now: number,
  ): void {
    const parts = sharedParts(prompt);
    const shared = sharedTokens(prompt);
    const unread = shared - this.kept.tokens(parts, engine, now);
    this.callers.sent(service, shared, unread);
    this.kept.read(parts, engine, now);
  }

  private chooseFor(
    prompt: Prompt,
    service: string,
    candidates: readonly Candidate[],
    now: number,
  ): Choice | undefined {
    const ids = candidates.map(({id}) => id);
    const standing = this.largeCounts.get(service) ?? 0;
    const count = largeCount(ids.length, this.callers.ofAll(service), standing);
    this.largeCounts.set(service, count);
    const readers = largeEngines(ids, count);
    const large = isLarge(prompt);
    const sided = candidates.map(candidate => ({
      ...candidate,
      beside: readers.has(candidate.id) !== large,
    }));
    return chooseEngine(sided, prompt, now);
  }

  private placeAt(endpoint: KnownEndpoint, choice: Choice, now: number): Place {
    const {id} = choice;
    const {reading} = choice;
    this.endpoints.noteSend(endpoint, now);
    this.update(id, {kind: 'sent', reading});
    let unread = true;
    let held = true;
    const read = () => {
      if (unread) this.update(id, {kind: 'read', reading});
      unread = false;
    };
    return {
      endpoint,
      choice,
      isOpen: () => this.endpoints.stands(endpoint, this.now()),
      answered: named => {
        read();
        this.update(id, {kind: 'answered', named, now: this.now()});
      },
      failed: () => this.update(id, {kind: 'failed', now: this.now()}),
      unreachable: () =>
        this.update(id, {kind: 'unreachable', now: this.now()}),
      release: () => {
        if (!held) return;
        held = false;
        read();
        this.update(id, {kind: 'ended'});
      },
    };
  }

  /**
   * How many endpoints of each zone this host cannot reach. Where one cannot be
   * reached the way to its zone may be cut, so the others are tried later.
   */
  private troubledZones(): ReadonlyMap<string, number> {
    const zones = new Map<string, number>();
    for (const {entry} of this.unreachable()) {
      zones.set(entry.zone, (zones.get(entry.zone) ?? 0) + 1);
    }
    return zones;
  }

  /** The endpoints of a service that may get a request now. */
  private usable(service: string, now: number, homes?: Homes): KnownEndpoint[] {
    const isAvoidedNow = (id: string) => isAvoided(this.load(id), now);
    const selection = {service, homes, isAvoided: isAvoidedNow};
    return this.endpoints.usable(selection, now);
  }

  /** Whether this host has less at the engines than its share of them. */
  private hasShare(
    service: string,
    engines: readonly KnownEndpoint[],
    fill: number,
  ): boolean {
    let held = 0;
    let slots = 0;
    for (const {entry} of engines) {
      held += this.load(entry.id).own;
      slots += entry.slots;
    }
    const own = totalWork(this.callers.ofOwn(service));
    const all = totalWork(this.callers.ofAll(service));
    const most = ownPlaces({slots, hosts: this.hostCount, own, all});
    return held < most * fill;
  }

  private load(id: string): EndpointLoad {
    return this.loads.get(id) ?? IDLE_LOAD;
  }

  private update(id: string, event: LoadEvent): void {
    if (!this.endpoints.directory.has(id)) return;
    this.loads.set(id, afterLoad(this.load(id), event));
  }

  private now(): number {
    return this.surroundings.clock.monotonic();
  }
}

function rotated<T>(items: readonly T[], turn: number): T[] {
  const start = items.length > 0 ? turn % items.length : 0;
  return [...items.slice(start), ...items.slice(0, start)];
}
