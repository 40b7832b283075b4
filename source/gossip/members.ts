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
/**
 * Milliseconds, and periods if they are longer, after which a host that has sent
 * no pulse itself is removed. Its first pulse may take a period.
 */
const LISTED_HOST_RETENTION_MILLISECONDS = 5_000;
const LISTED_HOST_RETENTION_PERIODS = 2;

/**
 * Whether a pulse was sent before the last one of the same incarnation that was
 * received, as on a connection that has been replaced since.
 */
export function isOutdated(
  {from, uptime}: Pulse,
  known: Member | undefined,
): boolean {
  if (known?.host.started !== from.started) return false;
  const latest = known.pulse?.uptime;
  return uptime !== undefined && latest !== undefined && uptime < latest;
}

/**
 * Returns the members after a pulse; the same value if the pulse is of an
 * earlier incarnation. Where the later incarnation has fallen silent, it is the
 * order of their starts that is wrong, as a clock was set back in between.
 */
export function applyPulse(
  before: Members,
  pulse: Pulse,
  now: number,
): Members {
  const {name, started} = pulse.from;
  const known = before.get(name);
  if (known && known.host.started > started && isReachable(known, now))
    return before;
  return new Map(before).set(name, {host: pulse.from, pulse, heardAt: now});
}

/**
 * Returns the members after a list of hosts from another host; entries that are
 * no newer than what is known, or of hosts that are reachable, are ignored.
 */
export function applyHostList(
  before: Members,
  hosts: readonly HostAddress[],
  self: string,
  now: number,
): Members {
  const newer = hosts.filter(({name, started}) => {
    const known = before.get(name);
    if (name === self) return false;
    return !known || (known.host.started < started && !isReachable(known, now));
  });
  if (newer.length === 0) return before;
  const after = new Map(before);
  for (const host of newer) {
    after.set(host.name, {host, pulse: undefined, heardAt: now});
  }
  return after;
}

/**
 * Returns the members without those that have been silent for too long; `period`
 * is the milliseconds between two pulses in a fleet of this size. While the store
 * is out of touch, silent hosts may as well be cut off, so they are kept.
 */
export function removeSilent(
  before: Members,
  now: number,
  period: number,
  isStoreInTouch = true,
): Members {
  const listedRetention = Math.max(
    LISTED_HOST_RETENTION_MILLISECONDS,
    LISTED_HOST_RETENTION_PERIODS * period,
  );
  const silent = [...before.values()].filter(member => {
    const {pulse, heardAt} = member;
    if (!pulse) return now - heardAt > listedRetention;
    const mayBeCutOff = !isStoreInTouch && !pulse.leaving;
    return isSilent(member, now) && !mayBeCutOff;
  });
  if (silent.length === 0) return before;
  const after = new Map(before);
  for (const {host} of silent) after.delete(host.name);
  return after;
}

/** The members whose last pulse is recent, and which so are reachable. */
export function reachableMembers(members: Members, now: number): Member[] {
  return [...members.values()].filter(member => isReachable(member, now));
}

function isReachable({pulse, heardAt}: Member, now: number): boolean {
  if (!pulse) return false;
  return now - heardAt < UNREACHABLE_AFTER_PERIODS * pulse.period;
}

/** Whether a host has sent no pulse for so long that it is forgotten. */
function isSilent({heardAt}: Member, now: number): boolean {
  return now - heardAt > SHARE_RETENTION_MILLISECONDS;
}

/**
 * The names of the hosts that share the limits, this one among them, in order.
 * `named` are hosts that the store names and that may be up, though this one does
 * not know them.
 *
 * ```ts
 * const share = bound / hostsSharingLimits(members, 'host-1').length;
 * ```
 */
export function hostsSharingLimits(
  members: Members,
  self: string,
  named: readonly string[] = [],
): string[] {
  const unknown = named.filter(name => !members.get(name)?.pulse);
  const known = stayingMembers(members).map(({host}) => host.name);
  return [...new Set([self, ...known, ...unknown])].sort();
}

/** The hosts that have lately sent a pulse and have not reported that they leave. */
export function activeHosts(members: Members, now: number): HostAddress[] {
  return stayingMembers(members)
    .filter(member => !isSilent(member, now))
    .map(({host}) => host);
}

/** Whether there are hosts that are kept only because the store is out of touch. */
export function hasSilentHosts(members: Members, now: number): boolean {
  return stayingMembers(members).some(member => isSilent(member, now));
}

/** The members that have sent a pulse and have not reported that they leave. */
function stayingMembers(members: Members): Member[] {
  return [...members.values()].filter(({pulse}) => pulse && !pulse.leaving);
}
