/**
 * The order in which queued requests start. A class that is short of its floor
 * goes first; then strictly by tier; within a tier streams that have begun, then
 * those that can still meet their target, the one that is due first; where there are no targets, the group
 * with the most queued requests; within a group by team. Groups without capacity
 * are skipped, so one full pool holds up no other.
 */
import {FairQueue} from './fairqueue.js';
import {VirtualTokenCounters} from './fairness.js';
import {FloorTracker} from './floor.js';
import {
  groupKey,
  type SchedulingGroup,
  type CapacityProvider,
  type AdmissionRequest,
} from './request.js';

interface GroupQueue<T extends AdmissionRequest> {
  readonly group: SchedulingGroup;
  readonly queue: FairQueue<T>;
}

/** The next request, and whether it starts out of order for its floor. */
export interface Selection<T extends AdmissionRequest> {
  readonly request: T;
  readonly byFloor: boolean;
}

/** How many requests of a group are queued. */
export interface GroupCount {
  readonly group: SchedulingGroup;
  readonly count: number;
  /** Of these, how many have waited for a good part of their bound. */
  readonly late: number;
}

/** Fraction of its bound after which a queued request counts as late. */
const LATE_WAIT_FRACTION = 0.2;

/** All queued requests of a host. Times are monotonic milliseconds. */
export class AdmissionQueue<T extends AdmissionRequest> {
  private readonly queues = new Map<string, GroupQueue<T>>();
  private readonly countersByClass = new Map<string, VirtualTokenCounters>();
  private readonly floorTrackers = new Map<string, FloorTracker>();
  private length = 0;

  constructor(private readonly capacity: CapacityProvider) {}

  get size(): number {
    return this.length;
  }

  /** Adds a request; its place among those of its team is by arrival. */
  push(request: T): void {
    this.counters(request.group.className).addRequest(request.team);
    this.groupQueue(request.group).queue.push(request);
    this.length++;
  }

  /**
   * The next request that has capacity now; it stays queued. Capacity depends on
   * time, so a later call may answer otherwise.
   */
  peek(now: number): Selection<T> | undefined {
    if (this.length === 0) return undefined;
    const next = this.nextQueue(now);
    const request = next?.groupQueue.queue.peek();
    return next && request && {request, byFloor: next.byFloor};
  }

  /**
   * Takes the request that `peek` has just returned out of the queue and charges
   * its team the estimate; returns false if it is no longer the next of its
   * group. Whoever starts one must call `settle` when it has ended.
   *
   * ```ts
   * const selection = queue.peek(now);
   * if (selection && queue.start(selection, now)) void run(selection.request);
   * ```
   */
  start({request}: Selection<T>, now: number): boolean {
    const {queue} = this.groupQueue(request.group);
    if (queue.peek() !== request) return false;
    queue.shift();
    this.length--;
    const {pool, className} = request.group;
    this.counters(className).charge(
      request.team,
      request.estimate,
      request.weight,
    );
    this.floorTracker(pool).recordStart(className, request.estimate, now);
    return true;
  }

  /** Starts the next request that has capacity now. */
  take(now: number): Selection<T> | undefined {
    const selection = this.peek(now);
    return selection && this.start(selection, now) ? selection : undefined;
  }

  /** Removes a request that will not start; returns whether it was queued. */
  remove(request: T): boolean {
    if (!this.groupQueue(request.group).queue.remove(request)) return false;
    this.length--;
    this.counters(request.group.className).removeRequest(request.team);
    return true;
  }

  /** Corrects the charge of a request that was taken to what it cost. */
  settle(request: T, tokens: number): void {
    const counters = this.counters(request.group.className);
    counters.charge(request.team, tokens - request.estimate, request.weight);
    counters.removeRequest(request.team);
    for (const {group, queue} of this.queues.values()) {
      if (group.className === request.group.className)
        queue.refresh(request.team);
    }
  }

  /**
   * The request to shed for one of `tier`: of the lowest tier that is queued,
   * the newest of the team with the most. Undefined if none is of a lower tier.
   */
  shedCandidate(tier: number): T | undefined {
    let lowest: GroupQueue<T> | undefined;
    for (const groupQueue of this.queues.values()) {
      if (groupQueue.queue.size === 0 || groupQueue.group.tier <= tier)
        continue;
      if (!lowest || groupQueue.group.tier > lowest.group.tier)
        lowest = groupQueue;
    }
    return lowest?.queue.newestOfLargestTeam();
  }

  /** Queued requests that would start before a new one of the group. */
  countAhead(group: SchedulingGroup): number {
    let count = 0;
    for (const other of this.queues.values()) {
      if (other.group.pool === group.pool && !startsAfter(other.group, group))
        count += other.queue.size;
    }
    return count;
  }

  /** Whether requests of other groups are queued that start before a late one. */
  isOvertaken(group: SchedulingGroup): boolean {
    for (const {group: other, queue} of this.queues.values()) {
      const isAhead = competes(group, other) && startsAfter(group, other);
      if (isAhead && queue.size > 0) return true;
    }
    return false;
  }

  /** The groups of a pool that have queued requests, with how many. */
  waitingByGroup(pool: string, now: number): GroupCount[] {
    const counts: GroupCount[] = [];
    for (const {group, queue} of this.queues.values()) {
      if (group.pool !== pool || queue.size === 0) continue;
      const late = queue
        .requests()
        .filter(
          ({arrived, bound}) => now - arrived > LATE_WAIT_FRACTION * bound,
        );
      counts.push({group, count: queue.size, late: late.length});
    }
    return counts;
  }

  requests(): T[] {
    return [...this.queues.values()].flatMap(({queue}) => queue.requests());
  }

  /** The floors of a pool. */
  floorTracker(pool: string): FloorTracker {
    let tracker = this.floorTrackers.get(pool);
    if (!tracker) {
      tracker = new FloorTracker();
      this.floorTrackers.set(pool, tracker);
    }
    return tracker;
  }

  private counters(className: string): VirtualTokenCounters {
    let counters = this.countersByClass.get(className);
    if (!counters) {
      counters = new VirtualTokenCounters();
      this.countersByClass.set(className, counters);
    }
    return counters;
  }

  private groupQueue(group: SchedulingGroup): GroupQueue<T> {
    const key = `${groupKey(group)} ${group.tier} ${group.floorShare} ${group.cheapShare}`;
    let groupQueue = this.queues.get(key);
    if (!groupQueue) {
      groupQueue = {
        group,
        queue: new FairQueue<T>(this.counters(group.className)),
      };
      this.queues.set(key, groupQueue);
    }
    return groupQueue;
  }

  private nextQueue(
    now: number,
  ): {groupQueue: GroupQueue<T>; byFloor: boolean} | undefined {
    let first: GroupQueue<T> | undefined;
    let furthestBelowFloor: GroupQueue<T> | undefined;
    let largestShortfall = 0;
    for (const groupQueue of this.queues.values()) {
      if (
        groupQueue.queue.size === 0 ||
        !this.capacity.hasCapacity(groupQueue.group)
      )
        continue;
      const {pool, className, floorShare} = groupQueue.group;
      const shortfall = this.floorTracker(pool).shortfall(
        className,
        floorShare,
        now,
      );
      if (shortfall > largestShortfall) {
        largestShortfall = shortfall;
        furthestBelowFloor = groupQueue;
      }
      if (!first || precedes(groupQueue, first)) first = groupQueue;
    }
    if (furthestBelowFloor)
      return {
        groupQueue: furthestBelowFloor,
        byFloor: furthestBelowFloor !== first,
      };
    return first && {groupQueue: first, byFloor: false};
  }
}

/**
 * Monotonic milliseconds by which the next request of a group has to start to
 * meet its target; undefined if it can no longer, or has none.
 */
function targetTime<T extends AdmissionRequest>({
  group,
  queue,
}: GroupQueue<T>): number | undefined {
  const next = group.isLate ? undefined : queue.peek();
  return next?.targetBound && next.arrived + next.targetBound;
}

function precedes<T extends AdmissionRequest>(
  one: GroupQueue<T>,
  other: GroupQueue<T>,
): boolean {
  if (startsAfter(one.group, other.group)) return false;
  if (startsAfter(other.group, one.group)) return true;
  const due = targetTime(one);
  const otherDue = targetTime(other);
  if (due !== undefined && otherDue !== undefined && due !== otherDue)
    return due < otherDue;
  return one.queue.size > other.queue.size;
}

/** Whether requests of both groups may run at the same endpoints. */
function competes(group: SchedulingGroup, other: SchedulingGroup): boolean {
  if (group.pool !== other.pool) return false;
  const {homes} = other;
  if (!group.homes || !homes) return true;
  return group.homes.some(region => homes.includes(region));
}

/** Whether the requests of a group start after all those of another. */
function startsAfter(group: SchedulingGroup, other: SchedulingGroup): boolean {
  if (group.tier !== other.tier) return group.tier > other.tier;
  const isBegun = group.continuation !== undefined;
  const isOtherBegun = other.continuation !== undefined;
  if (isBegun !== isOtherBegun) return isOtherBegun;
  return group.isLate === true && other.isLate !== true;
}
