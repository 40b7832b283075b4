/**
 * The endpoints that a host knows, by pool. Admission asks the table whether a
 * lane has room; a request takes a slot from it and gives it back.
 */
import {Room, type Lane} from '../admission/index.js';
import type {Clock} from '../clock/index.js';
import type {Configuration, Endpoint} from '../configuration/index.js';
import type {Allowances} from './allowance.js';
import {choose, usable, type Demand} from './choose.js';
import {
  endpointState,
  updateEndpoint,
  type EndpointEvent,
  type EndpointState,
} from './endpoint.js';
import {PrefixMemory} from './prefix.js';

/** A place at an endpoint, held by one attempt. */
export interface Slot {
  readonly endpoint: Endpoint;
  /** Whether the endpoint was warm when the slot was taken. */
  readonly warm: boolean;
  /** Gives the place back; a second call does nothing. */
  release(): void;
}

interface ClassUse {
  running: number;
  cheap: number;
}

/** A pool's part in one availability zone. */
export interface PoolZone {
  readonly pool: string;
  readonly zone: string;
}

/** What this host runs at the endpoints of a pool in one zone. */
export interface PoolUse {
  /** Running requests by class. */
  readonly classes: ReadonlyMap<string, number>;
  /** Running requests by endpoint. */
  readonly endpoints: ReadonlyMap<string, number>;
}

/** The endpoints of a host. */
export class EndpointTable extends Room {
  private readonly states = new Map<string, EndpointState>();
  private pools = new Map<string, readonly string[]>();
  private readonly uses = new Map<string, ClassUse>();
  private readonly prefixes = new PrefixMemory();
  /** Running requests by endpoint, then by class. */
  private readonly occupancy = new Map<string, Map<string, number>>();

  constructor(
    private readonly zone: string,
    private readonly clock: Clock,
    private readonly allowances: Allowances,
  ) {
    super();
  }

  /** Takes over the endpoints of a configuration. */
  configure({tables}: Configuration): void {
    const pools = new Map<string, string[]>();
    const kept = new Set<string>();
    for (const {object: endpoint} of tables.endpoints.values()) {
      if (!endpoint) continue;
      const zoneIn = tables.zones.get(endpoint.zone)?.object?.state === 'in';
      this.place(endpoint, zoneIn);
      kept.add(endpoint.name);
      const pool = pools.get(endpoint.pool);
      if (pool) pool.push(endpoint.name);
      else pools.set(endpoint.pool, [endpoint.name]);
    }
    for (const name of this.states.keys()) {
      if (!kept.has(name)) this.states.delete(name);
    }
    this.pools = pools;
  }

  /** Applies an event; one for an endpoint that is not there is passed over. */
  update(name: string, event: EndpointEvent): void {
    const before = this.states.get(name);
    if (before) this.states.set(name, updateEndpoint(before, event));
  }

  /** All endpoints, or those of one pool. */
  list(pool?: string): EndpointState[] {
    if (pool === undefined) return [...this.states.values()];
    const names = this.pools.get(pool) ?? [];
    return names.flatMap(name => this.states.get(name) ?? []);
  }

  get(name: string): EndpointState | undefined {
    return this.states.get(name);
  }

  /** What this host runs at the endpoints of a pool in a zone. */
  useOf(pool: string, zone: string): PoolUse {
    const classes = new Map<string, number>();
    const endpoints = new Map<string, number>();
    for (const {endpoint, running} of this.list(pool)) {
      if (endpoint.zone !== zone || running === 0) continue;
      endpoints.set(endpoint.name, running);
      for (const [name, count] of this.occupancy.get(endpoint.name) ?? []) {
        classes.set(name, (classes.get(name) ?? 0) + count);
      }
    }
    return {classes, endpoints};
  }

  /** The pools with the zones that they have endpoints in. */
  poolZones(): PoolZone[] {
    const found = new Map<string, PoolZone>();
    for (const {endpoint} of this.states.values()) {
      const {pool, zone} = endpoint;
      found.set(`${pool} ${zone}`, {pool, zone});
    }
    return [...found.values()];
  }

  override hasRoom(lane: Lane): boolean {
    const now = this.clock.monotonic();
    const cheap = this.mayUseCheap(lane);
    return usable(this.list(lane.pool), this.allowances, now).some(
      ({endpoint}) => cheap || !endpoint.cheap,
    );
  }

  override places(pool: string): number {
    const now = this.clock.monotonic();
    let places = 0;
    for (const candidate of this.list(pool)) {
      if (!candidate.zoneIn) continue;
      places += this.allowances.of(candidate, now);
    }
    return places;
  }

  /**
   * Takes a place at the best endpoint, or nothing where none has room.
   *
   * ```ts
   * const slot = table.take(ticket.lane, prefix, failedAt);
   * ```
   */
  take(
    lane: Lane,
    prefix: string,
    avoid: ReadonlySet<string>,
  ): Slot | undefined {
    const demand: Demand = {
      zone: this.zone,
      avoid,
      cheap: this.mayUseCheap(lane) ? 'preferred' : 'never',
      holder: this.prefixes.lookUp(prefix),
    };
    const now = this.clock.monotonic();
    const chosen = choose(this.list(lane.pool), demand, this.allowances, now);
    if (!chosen) return undefined;
    this.prefixes.learn(prefix, chosen.endpoint.name);
    return this.occupy(chosen, lane);
  }

  private occupy(chosen: EndpointState, lane: Lane): Slot {
    const {endpoint} = chosen;
    const use = this.use(lane.className);
    this.update(endpoint.name, {kind: 'started'});
    this.count(endpoint.name, lane.className, 1);
    use.running++;
    if (endpoint.cheap) use.cheap++;
    let held = true;
    const release = () => {
      if (!held) return;
      held = false;
      use.running--;
      if (endpoint.cheap) use.cheap--;
      this.count(endpoint.name, lane.className, -1);
      this.update(endpoint.name, {kind: 'finished'});
    };
    return {endpoint, warm: chosen.warm, release};
  }

  private count(endpoint: string, className: string, change: number): void {
    const classes = this.occupancy.get(endpoint) ?? new Map<string, number>();
    const after = (classes.get(className) ?? 0) + change;
    if (after > 0) classes.set(className, after);
    else classes.delete(className);
    this.occupancy.set(endpoint, classes);
  }

  private mayUseCheap(lane: Lane): boolean {
    if (!lane.repeatable || lane.cheapShare === 0) return false;
    const {running, cheap} = this.use(lane.className);
    return cheap + 1 <= Math.ceil(lane.cheapShare * (running + 1));
  }

  private use(className: string): ClassUse {
    let use = this.uses.get(className);
    if (!use) {
      use = {running: 0, cheap: 0};
      this.uses.set(className, use);
    }
    return use;
  }

  private place(endpoint: Endpoint, zoneIn: boolean): void {
    const present = this.states.get(endpoint.name);
    if (present)
      this.update(endpoint.name, {kind: 'configured', endpoint, zoneIn});
    else this.states.set(endpoint.name, endpointState(endpoint, zoneIn));
  }
}
