/**
 * Divides the slots of a pool between hosts. Each class with requests first
 * gets its floor, a guaranteed minimum that other classes cannot claim. The
 * tiers are then served in strict order, each divided evenly between the hosts
 * that have requests in it. The remaining slots are spread over all hosts, so
 * that a host can start its next request without asking.
 */

/** The requests of one class on one host. */
export interface ClassDemand {
  readonly name: string;
  /** Priority tier; 1 is served first. */
  readonly tier: number;
  /** Fraction of the pool's slots that is guaranteed to the class. */
  readonly floorShare: number;
  readonly running: number;
  readonly waiting: number;
  /** Waiting requests that may preempt running requests of lower tiers. */
  readonly pressing: number;
}

/** The requests of one host. */
export interface HostDemand {
  readonly host: string;
  readonly classes: readonly ClassDemand[];
}

/** The slots that one host gets. */
export interface HostShare {
  readonly host: string;
  readonly slots: number;
}

/** The slots of each host, and the tier that needs preemption. */
export interface Allocation {
  readonly shares: readonly HostShare[];
  /**
   * Highest-priority tier whose demand exceeds the slots that are left for it
   * and that has requests which may preempt others; 0 for none.
   */
  readonly pressure: number;
}

const TIERS = [1, 2, 3];
/** Largest part of the pool's slots that all floors together may take. */
const MAX_TOTAL_FLOOR_SHARE = 0.5;

/**
 * Allocates all slots of a pool to the hosts that have a demand, even slots
 * that no request needs yet.
 *
 * ```ts
 * const {shares} = allocateShares(16, [{host: 'host-1', classes}]);
 * ```
 */
export function allocateShares(
  slots: number,
  demands: readonly HostDemand[],
): Allocation {
  const allocated = new Map(demands.map(({host}) => [host, 0]));
  const unmet = new Map<string, number>();
  for (const {host, classes} of demands) {
    for (const demand of classes)
      unmet.set(classKey(host, demand), requestCount(demand));
  }
  let remaining = slots - allocateFloors(slots, demands, unmet, allocated);
  let pressure = 0;
  for (const tier of TIERS) {
    const wanted = unmetByHost(demands, unmet, tier);
    const isShort = sumCounts(wanted) > remaining && slots > 0;
    remaining -= allocateEvenly(remaining, wanted, allocated);
    if (pressure === 0 && isShort && hasPressingRequests(demands, tier))
      pressure = tier;
  }
  distributeRemainder(remaining, allocated);
  const shares = [...allocated].map(([host, count]) => ({host, slots: count}));
  return {shares, pressure};
}

function classKey(host: string, {name}: ClassDemand): string {
  return `${host} ${name}`;
}

function requestCount({running, waiting}: ClassDemand): number {
  return running + waiting;
}

/**
 * Allocates a floor of at least one slot to each class with requests, divided
 * evenly between the hosts that have requests of it. Updates `unmet` and
 * `allocated`; returns the number of slots allocated.
 */
function allocateFloors(
  slots: number,
  demands: readonly HostDemand[],
  unmet: Map<string, number>,
  allocated: Map<string, number>,
): number {
  let budget = Math.floor(slots * MAX_TOTAL_FLOOR_SHARE);
  let allocatedTotal = 0;
  for (const [name, floorShare] of activeFloors(demands)) {
    const floor = Math.min(Math.max(Math.round(slots * floorShare), 1), budget);
    const unmetOfClass = new Map<string, number>();
    for (const {host} of demands)
      unmetOfClass.set(host, unmet.get(`${host} ${name}`) ?? 0);
    const before = new Map(allocated);
    const count = allocateEvenly(floor, unmetOfClass, allocated);
    for (const {host} of demands) {
      const added = (allocated.get(host) ?? 0) - (before.get(host) ?? 0);
      unmet.set(`${host} ${name}`, (unmetOfClass.get(host) ?? 0) - added);
    }
    budget -= count;
    allocatedTotal += count;
  }
  return allocatedTotal;
}

function activeFloors(demands: readonly HostDemand[]): Map<string, number> {
  const floors = new Map<string, number>();
  for (const {classes} of demands) {
    for (const demand of classes) {
      if (requestCount(demand) > 0 && demand.floorShare > 0) {
        floors.set(demand.name, demand.floorShare);
      }
    }
  }
  return floors;
}

/** The demand of a tier that is not met yet, by host. */
function unmetByHost(
  demands: readonly HostDemand[],
  unmet: ReadonlyMap<string, number>,
  tier: number,
): Map<string, number> {
  const wanted = new Map<string, number>();
  for (const {host, classes} of demands) {
    let sum = 0;
    for (const demand of classes) {
      if (demand.tier === tier) sum += unmet.get(classKey(host, demand)) ?? 0;
    }
    wanted.set(host, sum);
  }
  return wanted;
}

function hasPressingRequests(
  demands: readonly HostDemand[],
  tier: number,
): boolean {
  return demands.some(({classes}) =>
    classes.some(demand => demand.tier === tier && demand.pressing > 0),
  );
}

function sumCounts(counts: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of counts.values()) sum += count;
  return sum;
}

/**
 * Allocates up to `slots` by max-min fairness: demands that are smaller than
 * an even part are met in full, and the others share the rest evenly. Updates
 * `allocated`; returns the number of slots allocated.
 */
function allocateEvenly(
  slots: number,
  wanted: ReadonlyMap<string, number>,
  allocated: Map<string, number>,
): number {
  const unserved = [...wanted].filter(([, count]) => count > 0);
  unserved.sort(
    ([host, one], [otherHost, other]) =>
      one - other || compareNames(host, otherHost),
  );
  let remaining = slots;
  for (const [index, [host, count]] of unserved.entries()) {
    const evenPart = Math.ceil(remaining / (unserved.length - index));
    const added = Math.min(count, evenPart, remaining);
    allocated.set(host, (allocated.get(host) ?? 0) + added);
    remaining -= added;
  }
  return slots - remaining;
}

/** Spreads slots over all hosts; the first ones by name get one more. */
function distributeRemainder(
  slots: number,
  allocated: Map<string, number>,
): void {
  const hosts = [...allocated.keys()].sort(compareNames);
  if (hosts.length === 0) return;
  const evenPart = Math.floor(slots / hosts.length);
  const leftover = slots % hosts.length;
  for (const [index, host] of hosts.entries()) {
    const added = evenPart + (index < leftover ? 1 : 0);
    allocated.set(host, (allocated.get(host) ?? 0) + added);
  }
}

function compareNames(one: string, other: string): number {
  return one < other ? -1 : 1;
}
