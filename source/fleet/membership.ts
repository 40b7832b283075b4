/**
 * The hosts that a host knows of: those that the platform lists, which lags,
 * and those that a link leads to, which are known to be alive. Whoever has a
 * duty is found among the latter by rendezvous hashing, so that hosts which
 * see the same others agree without a word.
 */
import type {HostEntry} from '../platform/index.js';
import {rendezvousOrder} from '../placement/index.js';

/** A host in reach, this one among them. */
export interface Member {
  readonly name: string;
  readonly incarnation: string;
  readonly zone: string;
  readonly leaving: boolean;
}

/** What a host knows of the others. */
export class Membership {
  private readonly linked = new Map<string, Member>();
  private listed: readonly HostEntry[] = [];
  private readonly orders = new Map<string, readonly Member[]>();

  constructor(private readonly self: Member) {
    this.linked.set(self.incarnation, self);
  }

  /** Takes over the platform's list. */
  setListed(hosts: readonly HostEntry[]): void {
    this.listed = hosts;
  }

  /** Notes that a host is in reach, or what it now says of itself. */
  join(member: Member): void {
    const present = this.linked.get(member.incarnation);
    if (present?.leaving === member.leaving) return;
    this.linked.set(member.incarnation, member);
    this.orders.clear();
  }

  /** Notes that a host is out of reach. */
  leave(incarnation: string): void {
    if (this.linked.delete(incarnation)) this.orders.clear();
  }

  /** The hosts in reach that stay, of one zone or of all. */
  live(zone?: string): Member[] {
    return [...this.linked.values()].filter(
      member => !member.leaving && (zone === undefined || member.zone === zone),
    );
  }

  /** Names of all hosts that may be at work, in reach or only listed. */
  names(): string[] {
    const listed = this.listed
      .filter(({state}) => state === 'live')
      .map(({name}) => name);
    return [...new Set([...this.live().map(({name}) => name), ...listed])];
  }

  /** Incarnations that may still serve requests. */
  incarnations(): Set<string> {
    const listed = this.listed.map(({incarnation}) => incarnation);
    return new Set([...this.linked.keys(), ...listed]);
  }

  /**
   * The hosts for a duty in a zone, the first of them first. Where no host of
   * the zone is in reach, it falls to the others.
   *
   * ```ts
   * const [owner] = membership.order('catania', 'pool drafting');
   * ```
   */
  order(zone: string, duty: string): readonly Member[] {
    const key = `${zone} ${duty}`;
    const known = this.orders.get(key);
    if (known) return known;
    const ofZone = this.live(zone);
    const members = ofZone.length > 0 ? ofZone : this.live();
    const byName = new Map(members.map(member => [member.name, member]));
    const names = rendezvousOrder([...byName.keys()], key);
    const order = names.flatMap(name => byName.get(name) ?? []);
    this.orders.set(key, order);
    return order;
  }

  /** Place of this host in the order of a duty; -1 where it has none. */
  rank(zone: string, duty: string): number {
    const {incarnation} = this.self;
    return this.order(zone, duty).findIndex(
      member => member.incarnation === incarnation,
    );
  }
}
