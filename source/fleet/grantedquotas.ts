/**
 * The slots of each endpoint that this host may use, as granted by the owner of
 * the pool. Without an active grant, because the owner is new or unreachable,
 * the equal split applies to warm endpoints, and cold endpoints get no slots.
 */
import type {Clock} from '../clock/index.js';
import type {HeldGrants} from '../credits/index.js';
import {
  SlotQuotas,
  type EndpointState,
  type EqualSplitQuotas,
} from '../placement/index.js';

/** Slot quotas that follow the grants that this host holds. */
export class GrantedSlotQuotas extends SlotQuotas {
  constructor(
    private readonly heldGrants: HeldGrants,
    private readonly equalSplit: EqualSplitQuotas,
    private readonly clock: Clock,
  ) {
    super();
  }

  override slotsAt(known: EndpointState): number {
    const {endpoint, warm} = known;
    const {pool, zone, name} = endpoint;
    const now = this.clock.monotonic();
    const ledger = warm ? 'warm' : 'cold';
    const grant = this.heldGrants.active(ledger, pool, zone, now);
    if (grant) return grant.counts.get(name) ?? 0;
    return warm ? this.equalSplit.slotsAt(known) : 0;
  }
}
