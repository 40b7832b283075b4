/**
 * Who reads the store for whom. In a small fleet every host follows it. In a
 * large one that would cost calls and traffic with every host, so two hosts of
 * each availability zone follow it and feed the others of their zone and the
 * feeders of the other zones; which two, all work out alike. A host that has
 * not been fed of late follows the store itself, so nothing rests on a feeder.
 */
import {rendezvousOrder} from '../balance/index.js';
import type {HostAddress} from './message.js';

/** Hosts up to which each follows the store itself. */
export const DIRECT_HOSTS_MOST = 12;
/** Hosts of each zone that follow it beyond that. */
const FEEDERS_A_ZONE = 2;
/** Milliseconds without a word after which a feeder counts as silent. */
const SILENT_MILLISECONDS = 1_000;
/** Milliseconds after which the store's last answer counts as too old. */
const OLD_MILLISECONDS = 3_200;
const KEY = 'feeder';

/** This host's part in the following of the store. */
export interface FeedPlan {
  /** Whether it follows the store itself. */
  readonly follows: boolean;
  /** Names of the hosts that it feeds. */
  readonly feeds: readonly string[];
}

/** A feeder's last word. */
export interface FeedWord {
  /** Monotonic milliseconds at which it came. */
  readonly heardAt: number;
  /** Monotonic milliseconds of the store's answer that it rests on. */
  readonly answeredAt: number;
}

/** The last word of each feeder. */
export type FeedWords = ReadonlyMap<string, FeedWord>;

/**
 * What this host does, from the hosts that it believes to be there.
 *
 * ```ts
 * const {follows, feeds} = feedPlan(self, others);
 * ```
 */
export function feedPlan(
  self: HostAddress,
  others: readonly HostAddress[],
): FeedPlan {
  if (others.length < DIRECT_HOSTS_MOST) return {follows: true, feeds: []};
  const feeders = feedersOf([self, ...others]);
  if (!feeders.has(self.name)) return {follows: false, feeds: []};
  const fed = others.filter(
    ({name, zone}) => zone === self.zone || feeders.has(name),
  );
  return {follows: true, feeds: fed.map(({name}) => name)};
}

/** Whether what feeders have told of late is as good as the store's word. */
export function isFed(words: FeedWords, now: number): boolean {
  return now - answeredAt(words, now) < OLD_MILLISECONDS;
}

/** The store's latest answer that feeders who are not silent rest on. */
export function answeredAt(words: FeedWords, now: number): number {
  const fresh = [...words.values()].filter(
    ({heardAt}) => now - heardAt < SILENT_MILLISECONDS,
  );
  return Math.max(-Infinity, ...fresh.map(word => word.answeredAt));
}

function feedersOf(hosts: readonly HostAddress[]): ReadonlySet<string> {
  const zones = new Map<string, string[]>();
  for (const {name, zone} of hosts) {
    const names = zones.get(zone);
    if (names) names.push(name);
    else zones.set(zone, [name]);
  }
  const feeders = [...zones.values()].flatMap(names =>
    rendezvousOrder(KEY, names).slice(0, FEEDERS_A_ZONE),
  );
  return new Set(feeders);
}
