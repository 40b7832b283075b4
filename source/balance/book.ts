/**
 * The endpoints of a host with their loads: what the configuration, the store
 * and the answers say comes together here, and a request takes its place here.
 */
import {Room, type Lane} from '../admission/index.js';
import type {Clock} from '../clock/index.js';
import type {Directory, KnownEndpoint} from '../directory/index.js';
import type {Service} from '../routing/index.js';
import {
  chooseEngine,
  chooseLeastBusy,
  type Candidate,
  type Choice,
} from './choose.js';
import {coldShare, mayAdd, withSend, type ColdSends} from './cold.js';
import {
  afterLoad,
  expectedRequests,
  IDLE_LOAD,
  isAvoided,
  type EndpointLoad,
  type LoadEvent,
  type NamedLoad,
} from './load.js';
import {
  afterPrompt,
  busyEngines,
  largeEngines,
  NO_WORK,
  type PromptWork,
} from './split.js';
import {engineTime, isLarge, type Prompt} from './work.js';

/** Requests that a plain service’s endpoint is given for each of its places. */
const PLAIN_FILL = 1.5;
/** Part of an engine’s slots that each tier may fill. */
const TIER_FILL: readonly number[] = [1, 0.92, 0.85];
const LOWEST_TIER_FILL = 0.8;

/** What a request needs of an endpoint. */
export interface Demand {
  readonly service: string;
  readonly prompt: Prompt | undefined;
  /** Endpoints at which it has failed. */
  readonly failedAt: ReadonlySet<string>;
}

/** A request’s place at an endpoint. */
export interface Place {
  readonly endpoint: KnownEndpoint;
  readonly choice: Choice;
  /** The head of an answer has come. */
  answered(latency: number, named: NamedLoad | undefined): void;
  /** The endpoint has failed the request. */
  failed(): void;
  /** The request has left the endpoint; a second call does nothing. */
  release(): void;
}

/** What a host knows when it looks for an endpoint. */
export interface Surroundings {
  readonly host: string;
  readonly zone: string;
  readonly clock: Clock;
}

/** The endpoints of a host. */
export class EndpointBook extends Room {
  private directory: Directory = new Map();
  private services: ReadonlyMap<string, Service> = new Map();
  private zonesOut: ReadonlySet<string> = new Set();
  private hosts: readonly string[];
  private readonly loads = new Map<string, EndpointLoad>();
  private readonly coldSends = new Map<string, ColdSends>();
  private readonly work = new Map<string, PromptWork>();

  constructor(private readonly surroundings: Surroundings) {
    super();
    this.hosts = [surroundings.host];
  }

  setServices(services: ReadonlyMap<string, Service>): void {
    this.services = services;
  }

  setZonesOut(zones: ReadonlySet<string>): void {
    this.zonesOut = zones;
  }

  /** Sets the hosts that are believed to live, this one among them. */
  setHosts(hosts: readonly string[]): void {
    this.hosts = hosts;
  }

  get hostCount(): number {
    return this.hosts.length;
  }

  setDirectory(directory: Directory): void {
    for (const [id, known] of this.directory) {
      const next = directory.get(id);
      if (next?.knownAt === known.knownAt) continue;
      this.loads.delete(id);
      this.coldSends.delete(id);
    }
    this.directory = directory;
  }

  override hasRoom(lane: Lane): boolean {
    const now = this.now();
    const fill = this.services.get(lane.pool)?.engine
      ? (TIER_FILL[lane.tier] ?? LOWEST_TIER_FILL)
      : PLAIN_FILL;
    return this.usable(lane.pool, now).some(
      ({entry}) =>
        expectedRequests(this.load(entry.id), now) < entry.slots * fill,
    );
  }

  override places(pool: string): number {
    const usable = this.usable(pool, this.now());
    const slots = usable.reduce((sum, {entry}) => sum + entry.slots, 0);
    return slots / Math.max(this.hosts.length, 1);
  }

  /** Whether any endpoint of the service may be used at all. */
  isServed(service: string): boolean {
    return this.usable(service, this.now()).length > 0;
  }

  /** Notes a request as it arrives, for the division of the engines. */
  arrived(service: string, prompt: Prompt): void {
    const before = this.work.get(service) ?? NO_WORK;
    const time = engineTime(prompt);
    const work = afterPrompt(before, isLarge(prompt), time, this.now());
    this.work.set(service, work);
  }

  /** Engines of the service that requests of all hosts keep busy. */
  busy(service: string): number {
    const work = this.work.get(service) ?? NO_WORK;
    return busyEngines(work, this.now()) * this.hosts.length;
  }

  /**
   * Takes a place for a request, or nothing where there is none.
   *
   * ```ts
   * const place = book.take({service, prompt, failedAt: new Set()});
   * try { await send(place.endpoint); } finally { place?.release(); }
   * ```
   */
  take({service, prompt, failedAt}: Demand): Place | undefined {
    const now = this.now();
    const usable = this.usable(service, now);
    const fresh = usable.filter(({entry}) => !failedAt.has(entry.id));
    const known = fresh.length > 0 ? fresh : usable;
    const candidates = known.map(({entry, coldUntil}) => ({
      id: entry.id,
      slots: entry.slots,
      near: entry.zone === this.surroundings.zone,
      cold: now < coldUntil,
      failed: failedAt.has(entry.id),
      load: this.load(entry.id),
    }));
    const choice = prompt
      ? this.chooseFor(prompt, service, candidates, now)
      : chooseLeastBusy(candidates, now);
    const endpoint = choice && this.directory.get(choice.id);
    return endpoint && this.placeAt(endpoint, choice, now);
  }

  private chooseFor(
    prompt: Prompt,
    service: string,
    candidates: readonly Candidate[],
    now: number,
  ): Choice | undefined {
    const ids = candidates.map(({id}) => id);
    const readers = largeEngines(ids, this.work.get(service) ?? NO_WORK);
    const large = isLarge(prompt);
    const own = candidates.filter(
      ({id, slots, load}) =>
        readers.has(id) === large && expectedRequests(load, now) < slots,
    );
    return chooseEngine(own.length > 0 ? own : candidates, prompt, now);
  }

  private placeAt(endpoint: KnownEndpoint, choice: Choice, now: number): Place {
    const {id} = choice;
    const {reading} = choice;
    if (now < endpoint.coldUntil) {
      this.coldSends.set(id, withSend(this.coldSends.get(id) ?? [], now));
    }
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
      answered: (latency, named) => {
        read();
        this.update(id, {kind: 'answered', latency, named, now: this.now()});
      },
      failed: () => this.update(id, {kind: 'failed', now: this.now()}),
      release: () => {
        if (!held) return;
        held = false;
        read();
        this.update(id, {kind: 'ended'});
      },
    };
  }

  /** The endpoints of a service that may get a request now. */
  private usable(service: string, now: number): KnownEndpoint[] {
    const open = [...this.directory.values()].filter(
      known => known.entry.service === service && this.isOpen(known, now),
    );
    const sound = open.filter(
      ({entry}) => !isAvoided(this.load(entry.id), now),
    );
    return sound.length > 0 ? sound : open;
  }

  private isOpen({entry, coldUntil}: KnownEndpoint, now: number): boolean {
    if (entry.leaving || this.zonesOut.has(entry.zone)) return false;
    if (now >= coldUntil) return true;
    const rate = this.services.get(entry.service)?.coldRate ?? 0;
    if (rate === 0) return true;
    const {host} = this.surroundings;
    const share = coldShare(entry.id, rate, host, this.hosts);
    return mayAdd(this.coldSends.get(entry.id) ?? [], share, now);
  }

  private load(id: string): EndpointLoad {
    return this.loads.get(id) ?? IDLE_LOAD;
  }

  private update(id: string, event: LoadEvent): void {
    if (!this.directory.has(id)) return;
    this.loads.set(id, afterLoad(this.load(id), event));
  }

  private now(): number {
    return this.surroundings.clock.monotonic();
  }
}
