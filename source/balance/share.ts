/**
 * How much of a service's engines one host may fill. In a small fleet hosts
 * know what the others have at each engine; in a large one that word is seconds
 * old, and hosts that each see room would together fill the engines' own
 * queues, where a request can neither be ordered nor refused. So each keeps to
 * a share of all places, as its callers' work is of all work. Answers the load
 * of bursts on fleets of dozens of hosts.
 */

/** What a share is worked out from. */
export interface ShareBasis {
  /** Places of all engines that may be used. */
  readonly slots: number;
  readonly hosts: number;
  /** Work that callers of this host ask for, and those of all hosts. */
  readonly own: number;
  readonly all: number;
}

/** Share that a host may take beyond its own, since callers come unevenly. */
const LEEWAY = 1.5;
/** Requests that a host may have at a service at the least. */
const PLACES_LEAST = 4;

/**
 * Requests that this host may have at the engines of a service.
 *
 * ```ts
 * const most = ownPlaces({slots: 672, hosts: 61, own: 90, all: 5_000});
 * ```
 */
export function ownPlaces({slots, hosts, own, all}: ShareBasis): number {
  const even = 1 / Math.max(hosts, 1);
  const share = all > 0 ? Math.max(own / all, even / 2) : even;
  return Math.max(slots * Math.min(share * LEEWAY, 1), PLACES_LEAST);
}
