/**
 * The order in which waiting requests start. A class that is short of its
 * floor goes first; then strictly by tier; between the lanes of a tier the one
 * that has waited longest against its bound; within a lane by team. Lanes
 * without room are passed over, so one full pool holds up no other.
 */
import {Fairness} from './fairness.js';
import {FloorLedger} from './floor.js';
import {Line} from './line.js';
import {laneKey, type Lane, type Room, type Ticket} from './ticket.js';

interface LaneState<T extends Ticket> {
  readonly lane: Lane;
  readonly line: Line<T>;
}

/** The ticket that is next, and whether its floor put it there. */
export interface Pick<T extends Ticket> {
  readonly ticket: T;
  readonly byFloor: boolean;
}

/** How many tickets of a lane wait. */
export interface LaneCount {
  readonly lane: Lane;
  readonly count: number;
  /** Of these, how many have used up a good part of their bound. */
  readonly late: number;
}

/** Share of its bound after which a waiting ticket counts as late. */
const LATE_SHARE = 0.2;

/** All tickets that wait in a host. */
export class WaitingQueue<T extends Ticket> {
  private readonly lanes = new Map<string, LaneState<T>>();
  private readonly classes = new Map<string, Fairness>();
  private readonly floors = new Map<string, FloorLedger>();
  private length = 0;

  constructor(private readonly room: Room) {}

  get size(): number {
    return this.length;
  }

  /** Adds a ticket, at the place that its arrival gives it. */
  push(ticket: T): void {
    this.fairness(ticket.lane.className).enter(ticket.team);
    this.state(ticket.lane).line.push(ticket);
    this.length++;
  }

  /** Whether any ticket could start now. */
  hasNext(now: number): boolean {
    return this.length > 0 && this.nextLane(now) !== undefined;
  }

  /**
   * Takes the next ticket that has room and charges its team the estimate.
   *
   * ```ts
   * const pick = queue.take(clock.monotonic());
   * ```
   */
  take(now: number): Pick<T> | undefined {
    const next = this.nextLane(now);
    const ticket = next?.state.line.shift();
    if (!next || !ticket) return undefined;
    this.length--;
    const {pool, className} = ticket.lane;
    this.fairness(className).charge(
      ticket.team,
      ticket.estimate,
      ticket.weight,
    );
    this.floor(pool).started(className, ticket.estimate, now);
    return {ticket, byFloor: next.byFloor};
  }

  /** Removes a ticket that will not start; answers whether it was waiting. */
  remove(ticket: T): boolean {
    if (!this.state(ticket.lane).line.remove(ticket)) return false;
    this.length--;
    this.fairness(ticket.lane.className).leave(ticket.team);
    return true;
  }

  /** Settles the charge of a ticket that was taken. */
  settle(ticket: T, tokens: number): void {
    const fairness = this.fairness(ticket.lane.className);
    fairness.charge(ticket.team, tokens - ticket.estimate, ticket.weight);
    fairness.leave(ticket.team);
    for (const {lane, line} of this.lanes.values()) {
      if (lane.className === ticket.lane.className) line.refresh(ticket.team);
    }
  }

  /** The ticket to give up for one of `tier`: of the lowest tier below it. */
  victim(tier: number): T | undefined {
    let lowest: LaneState<T> | undefined;
    for (const state of this.lanes.values()) {
      if (state.line.size === 0 || state.lane.tier <= tier) continue;
      if (!lowest || state.lane.tier > lowest.lane.tier) lowest = state;
    }
    return lowest?.line.newestOfLongest();
  }

  /** Tickets that would start before a new one of the lane. */
  ahead(lane: Lane): number {
    let count = 0;
    for (const other of this.lanes.values()) {
      const before = other.lane.tier <= lane.tier;
      if (other.lane.pool === lane.pool && before) count += other.line.size;
    }
    return count;
  }

  /** The lanes of a pool in which tickets wait, with how many. */
  waitingIn(pool: string, now: number): LaneCount[] {
    const counts: LaneCount[] = [];
    for (const {lane, line} of this.lanes.values()) {
      if (lane.pool !== pool || line.size === 0) continue;
      const late = line
        .tickets()
        .filter(({arrived, bound}) => now - arrived > LATE_SHARE * bound);
      counts.push({lane, count: line.size, late: late.length});
    }
    return counts;
  }

  tickets(): T[] {
    return [...this.lanes.values()].flatMap(({line}) => line.tickets());
  }

  /** The ledger of a pool’s floors. */
  floor(pool: string): FloorLedger {
    let ledger = this.floors.get(pool);
    if (!ledger) {
      ledger = new FloorLedger();
      this.floors.set(pool, ledger);
    }
    return ledger;
  }

  private fairness(className: string): Fairness {
    let fairness = this.classes.get(className);
    if (!fairness) {
      fairness = new Fairness();
      this.classes.set(className, fairness);
    }
    return fairness;
  }

  private state(lane: Lane): LaneState<T> {
    const key = `${laneKey(lane)} ${lane.tier} ${lane.floorShare} ${lane.cheapShare}`;
    let state = this.lanes.get(key);
    if (!state) {
      state = {lane, line: new Line<T>(this.fairness(lane.className))};
      this.lanes.set(key, state);
    }
    return state;
  }

  private nextLane(
    now: number,
  ): {state: LaneState<T>; byFloor: boolean} | undefined {
    let best: LaneState<T> | undefined;
    let neediest: LaneState<T> | undefined;
    let need = 0;
    for (const state of this.lanes.values()) {
      if (state.line.size === 0 || !this.room.hasRoom(state.lane)) continue;
      const {pool, className, floorShare} = state.lane;
      const short = this.floor(pool).shortfall(className, floorShare, now);
      if (short > need) {
        need = short;
        neediest = state;
      }
      if (!best || goesBefore(state, best)) best = state;
    }
    if (neediest) return {state: neediest, byFloor: neediest !== best};
    return best && {state: best, byFloor: false};
  }
}

function goesBefore<T extends Ticket>(
  one: LaneState<T>,
  other: LaneState<T>,
): boolean {
  if (one.lane.tier !== other.lane.tier) return one.lane.tier < other.lane.tier;
  return one.line.size > other.line.size;
}
