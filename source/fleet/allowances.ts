/**
 * What this host may use of each endpoint: what it was granted. Where no grant
 * for a warm endpoint is held, since its owner is new or out of reach, the
 * fixed split serves; a cold endpoint gets nothing then.
 */
import type {Clock} from '../clock/index.js';
import type {HeldGrants} from '../credits/index.js';
import {
  SlotQuotas,
  type EndpointState,
  type EqualSplitQuotas,
} from '../placement/index.js';

/** Shares by grants. */
export class GrantedAllowances extends SlotQuotas {
  constructor(
    private readonly holding: HeldGrants,
    private readonly split: EqualSplitQuotas,
    private readonly clock: Clock,
  ) {
    super();
  }

  override slotsAt(known: EndpointState): number {
    const {endpoint, warm} = known;
    const {pool, zone, name} = endpoint;
    const now = this.clock.monotonic();
    const ledger = warm ? 'warm' : 'cold';
    const held = this.holding.active(ledger, pool, zone, now);
    if (held) return held.counts.get(name) ?? 0;
    return warm ? this.split.slotsAt(known) : 0;
  }
}
