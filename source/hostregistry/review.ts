/**
 * What a host makes of the hosts that the store names: whom to contact, and whose
 * entries to remove, since nothing else removes those of hosts that died.
 */
import {
  incarnationOf,
  type HostAddress,
  type HostToContact,
} from '../gossip/index.js';

/** Milliseconds without contact after which an entry is removed. */
const REMOVAL_MILLISECONDS = 60_000;
/**
 * The same for a host that reaches no other: it may be the one that is cut off,
 * and its own entry is not to become the only one.
 */
const LONE_REMOVAL_MILLISECONDS = 600_000;
/** Incarnations that are remembered though the store no longer names them. */
const MAX_REMEMBERED = 1_000;

/**
 * Since when hosts have not been reached, by incarnation, in monotonic
 * milliseconds.
 */
export type UnreachedHosts = ReadonlyMap<string, number>;

export const NOTHING_SEEN: UnreachedHosts = new Map();

/** What a host knows when it reads the entries. */
export interface RegistryReading {
  readonly self: HostAddress;
  /** The hosts that the store names. */
  readonly entries: readonly HostAddress[];
  /** The other hosts that are reachable. */
  readonly reachable: readonly HostAddress[];
  readonly unreached: UnreachedHosts;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** What follows from the entries. */
export interface RegistryReview {
  /** Whether the store names this incarnation of this host. */
  readonly isEntered: boolean;
  readonly toContact: readonly HostToContact[];
  /** Hosts whose entries are to be removed. */
  readonly lapsed: readonly HostAddress[];
  readonly unreached: UnreachedHosts;
}

/**
 * Reviews the entries of a reading.
 *
 * ```ts
 * const {toContact} = reviewRegistry(reading);
 * ```
 */
export function reviewRegistry(reading: RegistryReading): RegistryReview {
  const {self, entries, reachable, now} = reading;
  const removal =
    reachable.length > 0 ? REMOVAL_MILLISECONDS : LONE_REMOVAL_MILLISECONDS;
  const own = entries.find(({name}) => name === self.name);
  const reached = new Set(reachable.map(({name}) => name));
  const others = entries.filter(
    ({name}) => name !== self.name && !reached.has(name),
  );
  const unreached = new Map(reading.unreached);
  for (const host of reachable) unreached.delete(incarnationOf(host));
  const toContact: HostToContact[] = [];
  const lapsed: HostAddress[] = [];
  for (const host of others) {
    const since = unreached.get(incarnationOf(host));
    toContact.push({host, isNew: since === undefined});
    if (since === undefined) unreached.set(incarnationOf(host), now);
    else if (now - since >= removal) lapsed.push(host);
  }
  const isEntered = own !== undefined && own.started >= self.started;
  return {isEntered, toContact, lapsed, unreached: trimmed(unreached, others)};
}

/** Notes that a host which was reachable no longer is. */
export function noteSilent(
  unreached: UnreachedHosts,
  host: HostAddress,
  now: number,
): UnreachedHosts {
  return new Map(unreached).set(incarnationOf(host), now);
}

/** Drops the oldest of those that the store no longer names, if there are many. */
function trimmed(
  unreached: UnreachedHosts,
  named: readonly HostAddress[],
): UnreachedHosts {
  const names = new Set(named.map(incarnationOf));
  const unnamed = [...unreached].filter(([key]) => !names.has(key));
  const dropped = unnamed.slice(
    0,
    Math.max(unnamed.length - MAX_REMEMBERED, 0),
  );
  if (dropped.length === 0) return unreached;
  const kept = new Map(unreached);
  for (const [key] of dropped) kept.delete(key);
  return kept;
}
