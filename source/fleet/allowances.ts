/**
 * What this host may use of each endpoint: what it was granted. Where no grant
 * for a warm endpoint is held, since its owner is new or out of reach, the
 * fixed split serves; a cold endpoint gets nothing then.
 */
import type {Clock} from '../clock/index.js';
import type {Holding} from '../credits/index.js';
import {
  Allowances,
  type EndpointState,
  type FixedSplit,
} from '../placement/index.js';

/** Shares by grants. */
export class GrantedAllowances extends Allowances {
  constructor(
    private readonly holding: Holding,
    private readonly split: FixedSplit,
    private readonly clock: Clock,
  ) {
    super();
  }

  override of(known: EndpointState): number {
    const {endpoint, warm} = known;
    const {pool, zone, name} = endpoint;
    const now = this.clock.monotonic();
    const ledger = warm ? 'warm' : 'cold';
    const held = this.holding.get(ledger, pool, zone, now);
    if (held) return held.counts.get(name) ?? 0;
    return warm ? this.split.of(known) : 0;
  }
}
