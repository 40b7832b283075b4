/**
 * The equal split: every host gets an equal share of the slots of each warm
 * endpoint, and one host alone gets all that a cold one can run. Rendezvous
 * hashing decides for each endpoint which hosts get the remainder, so that the
 * remainders of all endpoints do not fall to the same hosts.
 */
import {createHash} from 'node:crypto';

import type {EndpointState} from './endpoint.js';
import {SlotQuotas} from './quota.js';

/**
 * The hosts in the order of their rendezvous hashes for a key; the first is the
 * key’s owner. Hosts that know of the same hosts compute the same order.
 *
 * ```ts
 * const [owner] = rendezvousOrder(['host-1', 'host-2'], 'engine-3');
 * ```
 */
export function rendezvousOrder(
  hosts: readonly string[],
  key: string,
): string[] {
  const weighted = hosts.map(host => ({
    host,
    weight: createHash('sha256').update(`${key} ${host}`).digest('hex'),
  }));
  weighted.sort((one, other) => (one.weight < other.weight ? 1 : -1));
  return weighted.map(({host}) => host);
}

/** Slot quotas that depend on the set of live hosts alone. */
export class EqualSplitQuotas extends SlotQuotas {
  /** Sorted, without duplicates. */
  private hosts: readonly string[];
  /** This host’s rank by endpoint. */
  private readonly ranks = new Map<string, number>();

  constructor(private readonly self: string) {
    super();
    this.hosts = [self];
  }

  /** Sets the live hosts; this host counts as one even if it is not listed. */
  setHosts(hosts: readonly string[]): void {
    const sorted = [...new Set([...hosts, this.self])].sort();
    if (sorted.join() === this.hosts.join()) return;
    this.hosts = sorted;
    this.ranks.clear();
  }

  override slotsAt({endpoint, warm}: EndpointState): number {
    const rank = this.rank(endpoint.name);
    if (!warm) return rank === 0 ? endpoint.coldSlots : 0;
    const base = Math.floor(endpoint.slots / this.hosts.length);
    const remainder = endpoint.slots % this.hosts.length;
    return base + (rank < remainder ? 1 : 0);
  }

  private rank(endpoint: string): number {
    let rank = this.ranks.get(endpoint);
    if (rank === undefined) {
      rank = rendezvousOrder(this.hosts, endpoint).indexOf(this.self);
      this.ranks.set(endpoint, rank);
    }
    return rank;
  }
}
