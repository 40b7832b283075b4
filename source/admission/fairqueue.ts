/**
 * The queue of one scheduling group: first come, first served within a team,
 * and between teams the one with the lowest token counter first. The heap
 * holds at least one item for each team with queued requests, and a few more
 * where counters have fallen. An item whose counter has risen since is put back
 * when it reaches the top, so taking a request costs the logarithm of the number
 * of these teams.
 */
import TinyQueue from 'tinyqueue';

import type {VirtualTokenCounters} from './fairness.js';
import type {AdmissionRequest} from './request.js';

/** What the order depends on. */
export type FairlyQueued = Pick<AdmissionRequest, 'team' | 'arrived'>;

/** Items of a team in the heap, on average, from which it is made anew. */
const MAX_ITEMS_PER_TEAM = 4;

interface HeapItem {
  readonly team: string;
  /** The team’s counter when the item was added. */
  readonly counter: number;
}

/** The queued requests of a scheduling group. */
export class FairQueue<T extends FairlyQueued> {
  /** Queued requests by team, in order of arrival; no team without any. */
  private readonly teams = new Map<string, T[]>();
  private heap = createHeap([]);
  private length = 0;

  constructor(private readonly counters: VirtualTokenCounters) {}

  get size(): number {
    return this.length;
  }

  /** Items in the heap: at least one for each team with queued requests. */
  get itemCount(): number {
    return this.heap.length;
  }

  /** Adds a request to those of its team, in order of arrival. */
  push(request: T): void {
    this.length++;
    const queued = this.teams.get(request.team);
    if (queued) {
      insertByArrival(queued, request);
      return;
    }
    this.teams.set(request.team, [request]);
    this.addToHeap(request.team);
  }

  /** The next request; it stays in the queue. */
  peek(): T | undefined {
    const team = this.nextTeam();
    return team === undefined ? undefined : this.teams.get(team)?.[0];
  }

  /** Takes the request that `peek` returns. */
  shift(): T | undefined {
    const team = this.nextTeam();
    const queued = team === undefined ? undefined : this.teams.get(team);
    const request = queued?.shift();
    if (!request || !queued) return undefined;
    this.length--;
    this.heap.pop();
    if (queued.length === 0) this.teams.delete(request.team);
    else this.addToHeap(request.team);
    return request;
  }

  /** Removes a request; returns whether it was queued. */
  remove(request: T): boolean {
    const queued = this.teams.get(request.team);
    const index = queued?.indexOf(request) ?? -1;
    if (!queued || index < 0) return false;
    queued.splice(index, 1);
    if (queued.length === 0) this.teams.delete(request.team);
    this.length--;
    return true;
  }

  /** The newest request of the team that has the most queued. */
  newestOfLargestTeam(): T | undefined {
    let largest: T[] = [];
    for (const queued of this.teams.values()) {
      if (queued.length > largest.length) largest = queued;
    }
    return largest.at(-1);
  }

  requests(): T[] {
    return [...this.teams.values()].flat();
  }

  /**
   * Notes that a team’s counter may have fallen. The heap finds risen counters
   * by itself, but a fallen one needs a new item.
   */
  refresh(team: string): void {
    if (this.teams.has(team)) this.addToHeap(team);
  }

  private addToHeap(team: string): void {
    this.heap.push(this.itemFor(team));
    if (this.heap.length <= this.teams.size * MAX_ITEMS_PER_TEAM) return;
    const teams = [...this.teams.keys()];
    this.heap = createHeap(teams.map(queued => this.itemFor(queued)));
  }

  private itemFor(team: string): HeapItem {
    return {team, counter: this.counters.counter(team)};
  }

  /** The team to serve next, whose item is then at the top of the heap. */
  private nextTeam(): string | undefined {
    for (let item = this.heap.peek(); item; item = this.heap.peek()) {
      if (!this.teams.has(item.team)) {
        this.heap.pop();
        continue;
      }
      const hasRisen = item.counter < this.counters.counter(item.team);
      if (!hasRisen) return item.team;
      this.heap.pop();
      this.addToHeap(item.team);
    }
    return undefined;
  }
}

function createHeap(items: HeapItem[]): TinyQueue<HeapItem> {
  return new TinyQueue(items, (one, other) => one.counter - other.counter);
}

function insertByArrival<T extends FairlyQueued>(
  queued: T[],
  request: T,
): void {
  let index = queued.length;
  while (index > 0 && (queued[index - 1]?.arrived ?? 0) > request.arrived) {
    index--;
  }
  queued.splice(index, 0, request);
}
