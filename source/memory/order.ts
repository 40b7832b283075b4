/**
 * The order in which requests get room for their bodies: by tier; within a tier
 * the team that has got the fewest bytes; within a team by arrival.
 */
import {FairQueue, VirtualTokenCounters} from '../admission/index.js';

/** A request that waits for room for its body. */
export interface WaitingBody {
  /** Priority tier; 0 is served first. */
  readonly tier: number;
  /** Name of the team; empty if there is none. */
  readonly team: string;
  /** Monotonic milliseconds. */
  readonly arrived: number;
  /** The room that it needs. */
  readonly bytes: number;
}

interface Tier<T extends WaitingBody> {
  readonly queue: FairQueue<T>;
  readonly counters: VirtualTokenCounters;
}

/** The requests that wait. */
export class WaitingBodies<T extends WaitingBody> {
  private readonly tiers = new Map<number, Tier<T>>();

  get size(): number {
    let size = 0;
    for (const {queue} of this.tiers.values()) size += queue.size;
    return size;
  }

  push(body: T): void {
    const {queue, counters} = this.tierOf(body);
    counters.addRequest(body.team);
    queue.push(body);
  }

  /** The next request; it stays. */
  peek(): T | undefined {
    return this.extremeTier((one, other) => one < other)?.queue.peek();
  }

  /** Takes the request that `peek` returns. */
  shift(): T | undefined {
    const body = this.extremeTier((one, other) => one < other)?.queue.shift();
    if (!body) return undefined;
    const {counters} = this.tierOf(body);
    counters.charge(body.team, body.bytes, 1);
    counters.removeRequest(body.team);
    return body;
  }

  /** Takes one out of its turn; returns whether it was there. */
  remove(body: T): boolean {
    const {queue, counters} = this.tierOf(body);
    if (!queue.remove(body)) return false;
    counters.removeRequest(body.team);
    return true;
  }

  /** The request that would be given up first; it stays. */
  peekLast(): T | undefined {
    return this.extremeTier(
      (one, other) => one > other,
    )?.queue.newestOfLargestTeam();
  }

  /** The tier with requests whose number comes before those of all others. */
  private extremeTier(
    comesBefore: (one: number, other: number) => boolean,
  ): Tier<T> | undefined {
    let chosen: number | undefined;
    for (const [number, {queue}] of this.tiers) {
      if (queue.size === 0) continue;
      if (chosen === undefined || comesBefore(number, chosen)) chosen = number;
    }
    return chosen === undefined ? undefined : this.tiers.get(chosen);
  }

  private tierOf({tier}: WaitingBody): Tier<T> {
    const present = this.tiers.get(tier);
    if (present) return present;
    const counters = new VirtualTokenCounters();
    const created = {queue: new FairQueue<T>(counters), counters};
    this.tiers.set(tier, created);
    return created;
  }
}
