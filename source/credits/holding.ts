/**
 * A host's side of credits: what it has been granted, and until when. A grant
 * counts from when the host asked, so it never outlives the owner's books.
 */
import {CREDIT_MILLISECONDS} from './grantor.js';
import type {Demand, Grant} from './messages.js';

type Ledger = Demand['ledger'];

/** What a host holds of one pool in one availability zone. */
export interface Held {
  readonly owner: string;
  readonly number: number;
  /** Own monotonic milliseconds. */
  readonly until: number;
  readonly counts: ReadonlyMap<string, number>;
  /** The highest tier that waits anywhere in vain; 0 for none. */
  readonly pressure: number;
}

/** The grants of a host. */
export class Holding {
  private readonly held = new Map<string, Held>();

  /** Takes over a grant, unless a later one of its owner is held already. */
  take(grant: Grant): void {
    const {ledger, pool, zone, number, owner, pressure} = grant;
    const key = keyOf(ledger, pool, zone);
    const present = this.held.get(key);
    if (present?.owner === owner && number <= present.number) return;
    const until = grant.answers + CREDIT_MILLISECONDS;
    const counts = new Map(
      grant.counts.map(({endpoint, count}) => [endpoint, count]),
    );
    this.held.set(key, {owner, number, until, counts, pressure});
  }

  /** The grant that is held and has not lapsed. */
  get(
    ledger: Ledger,
    pool: string,
    zone: string,
    now: number,
  ): Held | undefined {
    const held = this.held.get(keyOf(ledger, pool, zone));
    return held && now < held.until ? held : undefined;
  }

  /** The grant that was applied last, lapsed or not. */
  latest(ledger: Ledger, pool: string, zone: string): Held | undefined {
    return this.held.get(keyOf(ledger, pool, zone));
  }
}

function keyOf(ledger: Ledger, pool: string, zone: string): string {
  return `${ledger} ${pool} ${zone}`;
}
