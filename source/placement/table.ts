/**
 * The endpoints that a host knows, by pool. Admission asks the table whether a
 * scheduling group has capacity; a request acquires a slot from it and releases
 * it at the end.
 */
import {CapacityProvider, type SchedulingGroup} from '../admission/index.js';
import type {Clock} from '../clock/index.js';
import type {Configuration, Endpoint} from '../configuration/index.js';
import {
  chooseEndpoint,
  eligibleEndpoints,
  type PlacementCriteria,
} from './choose.js';
import {
  initialEndpointState,
  updateEndpoint,
  type EndpointEvent,
  type EndpointState,
} from './endpoint.js';
import {PrefixAffinity} from './prefix.js';
import type {SlotQuotas} from './quota.js';

/** The capacity to run one request at an endpoint, held by one attempt. */
export interface Slot {
  readonly endpoint: Endpoint;
  /** Whether the endpoint was warm when the slot was acquired. */
  readonly warm: boolean;
  /** Gives the slot back; a second call does nothing. */
  release(): void;
}

/** Running requests of a class; `cheap` of them on reclaimable endpoints. */
interface ClassCounts {
  running: number;
  cheap: number;
}

/** The part of a pool that is in one availability zone. */
export interface PoolZone {
  readonly pool: string;
  readonly zone: string;
}

/** What this host runs at the endpoints of a pool in one zone. */
export interface RunningCounts {
  /** Running requests by class. */
  readonly classes: ReadonlyMap<string, number>;
  /** Running requests by endpoint; only endpoints that run any. */
  readonly endpoints: ReadonlyMap<string, number>;
}

/** The endpoints of a host. */
export class EndpointTable extends CapacityProvider {
  private readonly states = new Map<string, EndpointState>();
  /** Names of the endpoints by pool. */
  private pools = new Map<string, readonly string[]>();
  private readonly countsByClass = new Map<string, ClassCounts>();
  private readonly prefixAffinity = new PrefixAffinity();
  /** Running requests by endpoint, then by class. */
  private readonly runningByEndpoint = new Map<string, Map<string, number>>();

  constructor(
    private readonly zone: string,
    private readonly clock: Clock,
    private readonly quotas: SlotQuotas,
  ) {
    super();
  }

  /** Takes over the endpoints of a configuration; keeps what is known of them. */
  configure({tables}: Configuration): void {
    const pools = new Map<string, string[]>();
    const configured = new Set<string>();
    for (const {object: endpoint} of tables.endpoints.values()) {
      if (!endpoint) continue;
      const zoneIn = tables.zones.get(endpoint.zone)?.object?.state === 'in';
      this.addOrUpdate(endpoint, zoneIn);
      configured.add(endpoint.name);
      const pool = pools.get(endpoint.pool);
      if (pool) pool.push(endpoint.name);
      else pools.set(endpoint.pool, [endpoint.name]);
    }
    for (const name of this.states.keys()) {
      if (!configured.has(name)) this.states.delete(name);
    }
    this.pools = pools;
  }

  /** Applies an event; ignores one for an endpoint that is not in the table. */
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
  runningIn(pool: string, zone: string): RunningCounts {
    const classes = new Map<string, number>();
    const endpoints = new Map<string, number>();
    for (const {endpoint, running} of this.list(pool)) {
      if (endpoint.zone !== zone || running === 0) continue;
      endpoints.set(endpoint.name, running);
      for (const [name, count] of this.runningByEndpoint.get(endpoint.name) ??
        []) {
        classes.set(name, (classes.get(name) ?? 0) + count);
      }
    }
    return {classes, endpoints};
  }

  /** Each pool with each zone in which it has endpoints. */
  poolZones(): PoolZone[] {
    const found = new Map<string, PoolZone>();
    for (const {endpoint} of this.states.values()) {
      const {pool, zone} = endpoint;
      found.set(`${pool} ${zone}`, {pool, zone});
    }
    return [...found.values()];
  }

  override hasCapacity(group: SchedulingGroup): boolean {
    const now = this.clock.monotonic();
    const mayUseCheap = this.mayUseCheap(group);
    return eligibleEndpoints(this.list(group.pool), this.quotas, now).some(
      ({endpoint}) => mayUseCheap || !endpoint.cheap,
    );
  }

  override slotCount(pool: string): number {
    const now = this.clock.monotonic();
    let slots = 0;
    for (const candidate of this.list(pool)) {
      if (!candidate.zoneIn) continue;
      slots += this.quotas.slotsAt(candidate, now);
    }
    return slots;
  }

  /**
   * Takes a slot at the best endpoint for a request; undefined if none is free.
   * `avoid` names the endpoints at which the request has already failed.
   *
   * ```ts
   * const slot = table.acquireSlot(request.group, request.prefix, failedAt);
   * ```
   */
  acquireSlot(
    group: SchedulingGroup,
    prefix: string,
    avoid: ReadonlySet<string>,
  ): Slot | undefined {
    const criteria: PlacementCriteria = {
      zone: this.zone,
      avoid,
      cheap: this.mayUseCheap(group) ? 'preferred' : 'never',
      prefixHolder: this.prefixAffinity.lookUp(prefix),
    };
    const now = this.clock.monotonic();
    const chosen = chooseEndpoint(
      this.list(group.pool),
      criteria,
      this.quotas,
      now,
    );
    if (!chosen) return undefined;
    this.prefixAffinity.record(prefix, chosen.endpoint.name);
    return this.occupySlot(chosen, group);
  }

  private occupySlot(chosen: EndpointState, group: SchedulingGroup): Slot {
    const {endpoint} = chosen;
    const counts = this.countsOf(group.className);
    this.update(endpoint.name, {kind: 'started'});
    this.addRunning(endpoint.name, group.className, 1);
    counts.running++;
    if (endpoint.cheap) counts.cheap++;
    let held = true;
    const release = () => {
      if (!held) return;
      held = false;
      counts.running--;
      if (endpoint.cheap) counts.cheap--;
      this.addRunning(endpoint.name, group.className, -1);
      this.update(endpoint.name, {kind: 'finished'});
    };
    return {endpoint, warm: chosen.warm, release};
  }

  private addRunning(
    endpoint: string,
    className: string,
    change: number,
  ): void {
    const byClass =
      this.runningByEndpoint.get(endpoint) ?? new Map<string, number>();
    const after = (byClass.get(className) ?? 0) + change;
    if (after > 0) byClass.set(className, after);
    else byClass.delete(className);
    this.runningByEndpoint.set(endpoint, byClass);
  }

  /** Whether the class may run one more request on a reclaimable endpoint. */
  private mayUseCheap(group: SchedulingGroup): boolean {
    if (!group.repeatable || group.cheapShare === 0) return false;
    const {running, cheap} = this.countsOf(group.className);
    return cheap + 1 <= Math.ceil(group.cheapShare * (running + 1));
  }

  private countsOf(className: string): ClassCounts {
    let counts = this.countsByClass.get(className);
    if (!counts) {
      counts = {running: 0, cheap: 0};
      this.countsByClass.set(className, counts);
    }
    return counts;
  }

  private addOrUpdate(endpoint: Endpoint, zoneIn: boolean): void {
    const present = this.states.get(endpoint.name);
    if (present)
      this.update(endpoint.name, {kind: 'configured', endpoint, zoneIn});
    else this.states.set(endpoint.name, initialEndpointState(endpoint, zoneIn));
  }
}
