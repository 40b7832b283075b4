/**
 * The line of one lane: first come first served within a team, and between
 * teams the one with the lowest counter first. The heap holds one item for
 * each waiting team; an item whose counter has moved since is put back, so a
 * pick costs the logarithm of the number of waiting teams.
 */
import TinyQueue from 'tinyqueue';

import type {Fairness} from './fairness.js';
import type {Ticket} from './ticket.js';

interface Item {
  readonly team: string;
  readonly counter: number;
}

/** The waiting tickets of a lane. */
export class Line<T extends Ticket> {
  private readonly teams = new Map<string, T[]>();
  private readonly heap = new TinyQueue<Item>(
    [],
    (one, other) => one.counter - other.counter,
  );
  private length = 0;

  constructor(private readonly fairness: Fairness) {}

  get size(): number {
    return this.length;
  }

  /** Adds a ticket in the order of arrival of its team. */
  push(ticket: T): void {
    this.length++;
    const waiting = this.teams.get(ticket.team);
    if (waiting) {
      insertByArrival(waiting, ticket);
      return;
    }
    this.teams.set(ticket.team, [ticket]);
    this.offer(ticket.team);
  }

  /** Takes the ticket that is next. */
  shift(): T | undefined {
    const team = this.nextTeam();
    const waiting = team === undefined ? undefined : this.teams.get(team);
    const ticket = waiting?.shift();
    if (!ticket || !waiting) return undefined;
    this.length--;
    this.heap.pop();
    if (waiting.length === 0) this.teams.delete(ticket.team);
    else this.offer(ticket.team);
    return ticket;
  }

  /** Removes a ticket; answers whether it was waiting. */
  remove(ticket: T): boolean {
    const waiting = this.teams.get(ticket.team);
    const index = waiting?.indexOf(ticket) ?? -1;
    if (!waiting || index < 0) return false;
    waiting.splice(index, 1);
    if (waiting.length === 0) this.teams.delete(ticket.team);
    this.length--;
    return true;
  }

  /** The newest ticket of the team that has most waiting. */
  newestOfLongest(): T | undefined {
    let longest: T[] = [];
    for (const waiting of this.teams.values()) {
      if (waiting.length > longest.length) longest = waiting;
    }
    return longest.at(-1);
  }

  tickets(): T[] {
    return [...this.teams.values()].flat();
  }

  /** Notes that a waiting team’s counter went down. */
  refresh(team: string): void {
    if (this.teams.has(team)) this.offer(team);
  }

  private offer(team: string): void {
    this.heap.push({team, counter: this.fairness.counter(team)});
  }

  private nextTeam(): string | undefined {
    for (let item = this.heap.peek(); item; item = this.heap.peek()) {
      if (!this.teams.has(item.team)) {
        this.heap.pop();
        continue;
      }
      if (item.counter >= this.fairness.counter(item.team)) return item.team;
      this.heap.pop();
      this.offer(item.team);
    }
    return undefined;
  }
}

function insertByArrival<T extends Ticket>(waiting: T[], ticket: T): void {
  let index = waiting.length;
  while (index > 0 && (waiting[index - 1]?.arrived ?? 0) > ticket.arrived) {
    index--;
  }
  waiting.splice(index, 0, ticket);
}
