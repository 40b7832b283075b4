/**
 * The hosts that a host knows, as an immutable value. One that is silent counts
 * for a while longer where limits are shared out, since a host that is cut off
 * goes on serving and goes on using its share.
 */
import type {HostAddress, Pulse} from './message.js';

/** A host, as another one knows it. */
export interface Member {
  readonly host: HostAddress;
  /** Its last pulse; undefined for one that is only heard of. */
  readonly pulse: Pulse | undefined;
  /** Monotonic milliseconds of that pulse, or since when it is heard of. */
  readonly heardAt: number;
}

/** The other hosts, by name. */
export type Members = ReadonlyMap<string, Member>;

/** Periods without a pulse after which a host counts as out of reach. */
const SILENT_PERIODS = 3;
/** Milliseconds for which a silent host keeps its share of the limits. */
const SHARE_MILLISECONDS = 20_000;
/** Milliseconds after which a host that is only heard of is forgotten. */
const HEARSAY_MILLISECONDS = 5_000;

/** The members after a pulse. */
export function afterPulse(
  before: Members,
  pulse: Pulse,
  now: number,
): Members {
  const {name, started} = pulse.from;
  const known = before.get(name);
  if (known && known.host.started > started) return before;
  return new Map(before).set(name, {host: pulse.from, pulse, heardAt: now});
}

/** The members after word of other hosts, which may be older than what is known. */
export function afterHearsay(
  before: Members,
  hosts: readonly HostAddress[],
  self: string,
  now: number,
): Members {
  const news = hosts.filter(({name, started}) => {
    const known = before.get(name);
    return name !== self && (!known || known.host.started < started);
  });
  if (news.length === 0) return before;
  const after = new Map(before);
  for (const host of news) {
    after.set(host.name, {host, pulse: undefined, heardAt: now});
  }
  return after;
}

/** The members without those that have been silent for too long. */
export function afterSilence(before: Members, now: number): Members {
  const silent = [...before.values()].filter(({pulse, heardAt}) => {
    const kept = pulse ? SHARE_MILLISECONDS : HEARSAY_MILLISECONDS;
    return now - heardAt > kept;
  });
  if (silent.length === 0) return before;
  const after = new Map(before);
  for (const {host} of silent) after.delete(host.name);
  return after;
}

/** The members that were heard lately, and so are in reach. */
export function inReach(members: Members, now: number): Member[] {
  return [...members.values()].filter(
    ({pulse, heardAt}) =>
      pulse !== undefined && now - heardAt < SILENT_PERIODS * pulse.period,
  );
}

/**
 * The names among which shared limits are dealt out, this host's among them.
 *
 * ```ts
 * const share = bound / sharers(members, 'host-1').length;
 * ```
 */
export function sharers(members: Members, self: string): string[] {
  return [self, ...staying(members).map(({name}) => name)].sort();
}

/** The hosts that live, as far as is known, and have not said that they leave. */
export function staying(members: Members): HostAddress[] {
  return [...members.values()]
    .filter(({pulse}) => pulse !== undefined && !pulse.leaving)
    .map(({host}) => host);
}
