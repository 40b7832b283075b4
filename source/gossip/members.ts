/**
 * The other hosts that a host knows, as an immutable value. A host that is
 * silent keeps its share of the limits for a while after it has become
 * unreachable, since a host that is cut off goes on serving and goes on using
 * its share.
 */
import type {HostAddress, Pulse} from './message.js';

/** A host, as another one knows it. */
export interface Member {
  readonly host: HostAddress;
  /**
   * Its last pulse; undefined for a host that is known only from the host lists
   * of others.
   */
  readonly pulse: Pulse | undefined;
  /**
   * Monotonic milliseconds at which that pulse arrived or, without one, at
   * which the host was first listed.
   */
  readonly heardAt: number;
}

/** The other hosts, by name. */
export type Members = ReadonlyMap<string, Member>;

/** Periods without a pulse after which a host counts as unreachable. */
const UNREACHABLE_AFTER_PERIODS = 3;
/** Milliseconds for which a silent host keeps its share of the limits. */
const SHARE_RETENTION_MILLISECONDS = 20_000;
/** Milliseconds after which a host that has sent no pulse itself is removed. */
const LISTED_HOST_RETENTION_MILLISECONDS = 5_000;

/**
 * Returns the members after a pulse; the same value if the pulse is of an
 * earlier incarnation.
 */
export function applyPulse(
  before: Members,
  pulse: Pulse,
  now: number,
): Members {
  const {name, started} = pulse.from;
  const known = before.get(name);
  if (known && known.host.started > started) return before;
  return new Map(before).set(name, {host: pulse.from, pulse, heardAt: now});
}

/**
 * Returns the members after a list of hosts from another host; entries that are
 * no newer than what is known are ignored.
 */
export function applyHostList(
  before: Members,
  hosts: readonly HostAddress[],
  self: string,
  now: number,
): Members {
  const newer = hosts.filter(({name, started}) => {
    const known = before.get(name);
    return name !== self && (!known || known.host.started < started);
  });
  if (newer.length === 0) return before;
  const after = new Map(before);
  for (const host of newer) {
    after.set(host.name, {host, pulse: undefined, heardAt: now});
  }
  return after;
}

/** Returns the members without those that have been silent for too long. */
export function removeSilent(before: Members, now: number): Members {
  const silent = [...before.values()].filter(({pulse, heardAt}) => {
    const retention = pulse
      ? SHARE_RETENTION_MILLISECONDS
      : LISTED_HOST_RETENTION_MILLISECONDS;
    return now - heardAt > retention;
  });
  if (silent.length === 0) return before;
  const after = new Map(before);
  for (const {host} of silent) after.delete(host.name);
  return after;
}

/** The members whose last pulse is recent, and which so are reachable. */
export function reachableMembers(members: Members, now: number): Member[] {
  return [...members.values()].filter(
    ({pulse, heardAt}) =>
      pulse !== undefined &&
      now - heardAt < UNREACHABLE_AFTER_PERIODS * pulse.period,
  );
}

/**
 * The names of the hosts that share the limits, this one among them, in order.
 *
 * ```ts
 * const share = bound / hostsSharingLimits(members, 'host-1').length;
 * ```
 */
export function hostsSharingLimits(members: Members, self: string): string[] {
  return [self, ...activeHosts(members).map(({name}) => name)].sort();
}

/** The hosts that have sent a pulse and have not reported that they leave. */
export function activeHosts(members: Members): HostAddress[] {
  return [...members.values()]
    .filter(({pulse}) => pulse !== undefined && !pulse.leaving)
    .map(({host}) => host);
}
