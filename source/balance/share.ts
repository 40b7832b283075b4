/**
 * Limits how many of a service’s engine slots one host may fill. In a small
 * fleet hosts know the load of the others at each engine. In a large fleet such
 * reports are seconds old, and hosts that each see free slots would together
 * fill the engines’ own queues, where requests can be neither ordered nor
 * refused. So each host keeps to a share of all slots, in proportion to its
 * callers’ demand. This matters for bursts on fleets of dozens of hosts.
 */

/** What the slot limit of a host is computed from. */
export interface SlotLimitInput {
  /** Slots of all eligible engines. */
  readonly slots: number;
  readonly hosts: number;
  /** Demand of this host’s callers, in milliseconds of engine time. */
  readonly ownDemand: number;
  /** Demand of the callers of all hosts. */
  readonly fleetDemand: number;
}

/** Factor by which a host may exceed its share, as callers arrive unevenly. */
const SHARE_HEADROOM = 1.5;
/** Requests that a host may always have at a service. */
const MIN_SLOTS = 4;

/**
 * Requests that this host may have at the engines of a service.
 *
 * ```ts
 * const limit = hostSlotLimit({
 *   slots: 672,
 *   hosts: 61,
 *   ownDemand: 90,
 *   fleetDemand: 5_000,
 * });
 * ```
 */
export function hostSlotLimit({
  slots,
  hosts,
  ownDemand,
  fleetDemand,
}: SlotLimitInput): number {
  const equalShare = 1 / Math.max(hosts, 1);
  const share =
    fleetDemand > 0
      ? Math.max(ownDemand / fleetDemand, equalShare / 2)
      : equalShare;
  return Math.max(slots * Math.min(share * SHARE_HEADROOM, 1), MIN_SLOTS);
}
