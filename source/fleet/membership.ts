/**
 * The hosts that a host knows of: those in the platform's list, which lags, and
 * those that it has a link to, which are known to be alive. Tasks are assigned
 * among the linked hosts by rendezvous hashing, so that hosts which see the
 * same others agree on the assignment without exchanging messages.
 */
import type {HostEntry} from '../platform/index.js';
import {rendezvousOrder} from '../placement/index.js';

/** A reachable host, or this host itself. */
export interface Member {
  readonly name: string;
  readonly incarnation: string;
  readonly zone: string;
  readonly leaving: boolean;
}

/** The reachable and listed hosts, and how tasks are assigned to them. */
export class Membership {
  private readonly linked = new Map<string, Member>();
  private listed: readonly HostEntry[] = [];
  private readonly preferenceOrders = new Map<string, readonly Member[]>();

  constructor(private readonly self: Member) {
    this.linked.set(self.incarnation, self);
  }

  /** Replaces what was known from the platform's list. */
  setListed(hosts: readonly HostEntry[]): void {
    this.listed = hosts;
  }

  /** Records that a host is reachable, or that it has begun to leave. */
  setReachable(member: Member): void {
    const existing = this.linked.get(member.incarnation);
    if (existing?.leaving === member.leaving) return;
    this.linked.set(member.incarnation, member);
    this.preferenceOrders.clear();
  }

  /** Records that a host is no longer reachable. */
  setUnreachable(incarnation: string): void {
    if (this.linked.delete(incarnation)) this.preferenceOrders.clear();
  }

  /** Reachable hosts that are not leaving, of one zone or of all. */
  live(zone?: string): Member[] {
    return [...this.linked.values()].filter(
      member => !member.leaving && (zone === undefined || member.zone === zone),
    );
  }

  /** Names of all hosts that may be at work, reachable or only listed. */
  names(): string[] {
    const listed = this.listed
      .filter(({state}) => state === 'live')
      .map(({name}) => name);
    return [...new Set([...this.live().map(({name}) => name), ...listed])];
  }

  /** Incarnations that may still serve requests, leaving ones included. */
  incarnations(): Set<string> {
    const listed = this.listed.map(({incarnation}) => incarnation);
    return new Set([...this.linked.keys(), ...listed]);
  }

  /**
   * The hosts for a task in a zone, in order of preference. If no host of the
   * zone is reachable, the hosts of other zones take its place.
   *
   * ```ts
   * const [owner] = membership.preferenceOrder('catania', 'pool drafting');
   * ```
   */
  preferenceOrder(zone: string, task: string): readonly Member[] {
    const key = `${zone} ${task}`;
    const cached = this.preferenceOrders.get(key);
    if (cached) return cached;
    const zoneMembers = this.live(zone);
    const members = zoneMembers.length > 0 ? zoneMembers : this.live();
    const byName = new Map(members.map(member => [member.name, member]));
    const names = rendezvousOrder([...byName.keys()], key);
    const order = names.flatMap(name => byName.get(name) ?? []);
    this.preferenceOrders.set(key, order);
    return order;
  }

  /** Index of this host in a task's order of preference; -1 if not in it. */
  preferenceRank(zone: string, task: string): number {
    const {incarnation} = this.self;
    return this.preferenceOrder(zone, task).findIndex(
      member => member.incarnation === incarnation,
    );
  }
}
