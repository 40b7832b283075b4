/**
 * The fixed split: every host gets an equal part of each warm endpoint, and
 * one host alone gets what a cold one bears. Rendezvous hashing says who gets
 * the remainder, so no two endpoints burden the same host.
 */
import {createHash} from 'node:crypto';

import {Allowances} from './allowance.js';
import type {EndpointState} from './endpoint.js';

/**
 * The hosts in the order in which they come first for a key.
 *
 * ```ts
 * const [owner] = rendezvousOrder(['host-1', 'host-2'], 'engine-3');
 * ```
 */
export function rendezvousOrder(
  hosts: readonly string[],
  key: string,
): string[] {
  const weighed = hosts.map(host => ({
    host,
    weight: createHash('sha256').update(`${key} ${host}`).digest('hex'),
  }));
  weighed.sort((one, other) => (one.weight < other.weight ? 1 : -1));
  return weighed.map(({host}) => host);
}

/** Shares by the number of hosts alone. */
export class FixedSplit extends Allowances {
  private hosts: readonly string[];
  private readonly ranks = new Map<string, number>();

  constructor(private readonly self: string) {
    super();
    this.hosts = [self];
  }

  /** Sets the live hosts, this one among them. */
  setHosts(hosts: readonly string[]): void {
    const sorted = [...new Set([...hosts, this.self])].sort();
    if (sorted.join() === this.hosts.join()) return;
    this.hosts = sorted;
    this.ranks.clear();
  }

  override of({endpoint, warm}: EndpointState): number {
    const rank = this.rank(endpoint.name);
    if (!warm) return rank === 0 ? endpoint.coldSlots : 0;
    const whole = Math.floor(endpoint.slots / this.hosts.length);
    const rest = endpoint.slots % this.hosts.length;
    return whole + (rank < rest ? 1 : 0);
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
