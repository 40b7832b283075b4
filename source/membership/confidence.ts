/**
 * How sure a host is of who the others are. A limit that holds over all hosts is
 * divided by their number, so a host that does not know them must not take
 * itself for the only one.
 */

/**
 * How sure a host is:
 * - `confirmed`: the store, or a host that was sure, has told it of the others.
 * - `separated`: it was sure, but hosts have been silent for long and the store
 *   is out of touch, so nobody can tell whether they are gone or cut off.
 * - `unconfirmed`: since its start nobody has told it of the others.
 */
export type MembershipConfidence = 'confirmed' | 'separated' | 'unconfirmed';

/** What a host knows about its knowledge of the others. */
export interface MembershipEvidence {
  /** Whether the store or a host that was sure has told it of the others. */
  readonly wasTold: boolean;
  /** Whether hosts that did not leave have been silent for long. */
  readonly hasSilentHosts: boolean;
  /** Whether the store has answered lately. */
  readonly isStoreInTouch: boolean;
}

/** The hosts that share the limits, as one of them knows them. */
export interface SharingHosts {
  /** The names of the hosts in order, this one among them. */
  readonly hosts: readonly string[];
  readonly confidence: MembershipConfidence;
}

/** Fewest hosts that a host without confirmation takes to be there. */
const MIN_ASSUMED_HOSTS = 12;

/** Returns how sure a host is that has this evidence. */
export function confidenceOf({
  wasTold,
  hasSilentHosts,
  isStoreInTouch,
}: MembershipEvidence): MembershipConfidence {
  if (!wasTold) return 'unconfirmed';
  return hasSilentHosts && !isStoreInTouch ? 'separated' : 'confirmed';
}

/**
 * The number of hosts among which a limit is divided.
 *
 * ```ts
 * const share = limit / assumedHosts({hosts: ['host-1'], confidence});
 * ```
 */
export function assumedHosts({hosts, confidence}: SharingHosts): number {
  const least = confidence === 'unconfirmed' ? MIN_ASSUMED_HOSTS : 1;
  return Math.max(hosts.length, least);
}
