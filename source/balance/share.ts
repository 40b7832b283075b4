/**
 * Limits how many of a service’s engine slots one host may fill. In a small
 * fleet hosts know the load of the others at each engine. In a large fleet such
 * reports are seconds old, and hosts that each see free slots would together
 * fill the engines’ own queues, where requests can be neither ordered nor
 * refused. So each host keeps to a share of all slots, in proportion to its
 * callers’ demand. This matters for bursts on fleets of dozens of hosts.
 */

/** What the limits of a host are computed from. */
export interface HostLimitInput {
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
 * Prefill that all hosts together leave waiting at an engine. It delays the
 * first event of each request that is sent there, so it is a part of the time
 * that callers expect that event in.
 */
const MAX_WAITING_PREFILL_MILLISECONDS = 160;
/** Prefill that a host may always leave waiting at a service. */
const MIN_WAITING_PREFILL_MILLISECONDS = 320;

/**
 * Requests that this host may have at engines that have so many slots.
 *
 * ```ts
 * const demand = {hosts: 61, ownDemand: 90, fleetDemand: 5_000};
 * const limit = hostSlotLimit(672, demand);
 * ```
 */
export function hostSlotLimit(slots: number, input: HostLimitInput): number {
  return Math.max(slots * hostShare(input), MIN_SLOTS);
}

/**
 * Milliseconds of prefill that this host may leave waiting at so many engines.
 *
 * ```ts
 * const demand = {hosts: 61, ownDemand: 90, fleetDemand: 5_000};
 * const limit = hostPrefillLimit(98, demand);
 * ```
 */
export function hostPrefillLimit(
  engines: number,
  input: HostLimitInput,
): number {
  return Math.max(
    engines * MAX_WAITING_PREFILL_MILLISECONDS * hostShare(input),
    MIN_WAITING_PREFILL_MILLISECONDS,
  );
}

/** The part of a service's engines that this host may use. */
function hostShare({hosts, ownDemand, fleetDemand}: HostLimitInput): number {
  const equalShare = 1 / Math.max(hosts, 1);
  const share =
    fleetDemand > 0
      ? Math.max(ownDemand / fleetDemand, equalShare / 2)
      : equalShare;
  return Math.min(share * SHARE_HEADROOM, 1);
}
