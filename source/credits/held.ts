/**
 * The grants that a host has received. A grant's lifetime starts when the host
 * sent its demand, so it expires here before the owner of the pool stops
 * counting it.
 */
import {GRANT_LIFETIME_MILLISECONDS} from './allocator.js';
import type {Demand, Grant} from './messages.js';

type Ledger = Demand['ledger'];

/** The grant that a host holds for one pool in one availability zone. */
export interface HeldGrant {
  /** Incarnation of the owner that issued the grant. */
  readonly owner: string;
  readonly number: number;
  /** Monotonic milliseconds on this host's clock. */
  readonly expiresAt: number;
  /** Slots granted, by endpoint. */
  readonly counts: ReadonlyMap<string, number>;
  /**
   * Highest-priority tier on any host that may preempt lower tiers because no
   * slots are left for it; 0 for none.
   */
  readonly pressure: number;
}

/** The latest grant for each pool and availability zone. */
export class HeldGrants {
  private readonly grants = new Map<string, HeldGrant>();

  /** Applies a grant, unless it or a later one of its owner was applied. */
  apply(grant: Grant): void {
    const {ledger, pool, zone, number, owner, pressure} = grant;
    const key = grantKey(ledger, pool, zone);
    const existing = this.grants.get(key);
    if (existing?.owner === owner && number <= existing.number) return;
    const expiresAt = grant.answers + GRANT_LIFETIME_MILLISECONDS;
    const counts = new Map(
      grant.counts.map(({endpoint, count}) => [endpoint, count]),
    );
    this.grants.set(key, {owner, number, expiresAt, counts, pressure});
  }

  /** The grant that was applied last, if it has not expired. */
  active(
    ledger: Ledger,
    pool: string,
    zone: string,
    now: number,
  ): HeldGrant | undefined {
    const held = this.grants.get(grantKey(ledger, pool, zone));
    return held && now < held.expiresAt ? held : undefined;
  }

  /** The grant that was applied last, even if it has expired. */
  latest(ledger: Ledger, pool: string, zone: string): HeldGrant | undefined {
    return this.grants.get(grantKey(ledger, pool, zone));
  }
}

function grantKey(ledger: Ledger, pool: string, zone: string): string {
  return `${ledger} ${pool} ${zone}`;
}
