/**
 * Selects the feeders, which pass the store's records on, and the few of them
 * that follow the store. In a small fleet every host follows the store itself.
 * In a large one that would cost store calls and traffic for every host, so two
 * hosts of each availability zone feed the other hosts of their zone and the
 * feeders of the other zones, and three feeders of different zones follow the
 * store, however many zones and hosts there are. All hosts compute the same
 * selection. A host that has had no fresh feed follows the store itself, so no
 * host depends on a feeder.
 */
import {rendezvousOrder} from '../balance/index.js';
import type {HostAddress} from './message.js';

/** Largest number of hosts at which each of them follows the store itself. */
export const MAX_DIRECT_HOSTS = 12;
/** Hosts of each zone that feed the others in a larger fleet. */
const FEEDERS_PER_ZONE = 2;
/** Feeders that follow the store. */
const STORE_FOLLOWERS = 3;
/** Age of a feeder's last report from which the feeder counts as silent. */
const MAX_REPORT_AGE_MILLISECONDS = 1_000;
/**
 * Age from which the store's last response counts as too old. Feeders follow the
 * store before the hosts that they feed do, which are many.
 */
const MAX_RESPONSE_AGE_MILLISECONDS = 3_200;
const MAX_FEEDER_RESPONSE_AGE_MILLISECONDS = 2_600;
const FEEDER_RANKING_KEY = 'feeder';

/** What this host does in following the store. */
export interface FeedPlan {
  /** Whether it follows the store itself. */
  readonly follows: boolean;
  /** Names of the hosts that it feeds. */
  readonly feeds: readonly string[];
}

/** When a feeder's last report arrived, and how old its knowledge is. */
export interface FeedReport {
  /** Monotonic milliseconds at which it arrived. */
  readonly heardAt: number;
  /** Monotonic milliseconds of the store's response on which it is based. */
  readonly answeredAt: number;
}

/** The last report of each feeder, by the feeder's name. */
export type FeedReports = ReadonlyMap<string, FeedReport>;

/**
 * Returns what this host has to do, given the other hosts that it believes to
 * be running.
 *
 * ```ts
 * const {follows, feeds} = planFeed(self, others);
 * ```
 */
export function planFeed(
  self: HostAddress,
  others: readonly HostAddress[],
): FeedPlan {
  if (others.length < MAX_DIRECT_HOSTS) return {follows: true, feeds: []};
  const feedersByZone = selectFeeders([self, ...others]);
  const feeders = new Set(feedersByZone.flat());
  if (!feeders.has(self.name)) return {follows: false, feeds: []};
  const follows = selectFollowers(feedersByZone).has(self.name);
  const otherFeeders = others.filter(({name}) => feeders.has(name));
  const sameZone = others.filter(
    ({name, zone}) => zone === self.zone && !feeders.has(name),
  );
  // In this order, as the other feeders have hosts to feed in their turn.
  const fed = [...otherFeeders, ...sameZone];
  return {follows, feeds: fed.map(({name}) => name)};
}

/**
 * Whether the reports of feeders are fresh enough that this host, which may be a
 * feeder itself, need not follow the store.
 */
export function isFeedFresh(
  reports: FeedReports,
  now: number,
  isFeeder: boolean,
): boolean {
  const maxAge = isFeeder
    ? MAX_FEEDER_RESPONSE_AGE_MILLISECONDS
    : MAX_RESPONSE_AGE_MILLISECONDS;
  return now - latestAnsweredAt(reports, now) < maxAge;
}

/**
 * Monotonic milliseconds of the store's latest response on which a report is
 * based, of feeders that are not silent; -Infinity if there is none.
 */
export function latestAnsweredAt(reports: FeedReports, now: number): number {
  const fresh = [...withoutSilent(reports, now).values()];
  return Math.max(-Infinity, ...fresh.map(report => report.answeredAt));
}

/** The reports of the feeders that are not silent. */
export function withoutSilent(
  reports: FeedReports,
  now: number,
): Map<string, FeedReport> {
  return new Map(
    [...reports].filter(
      ([, {heardAt}]) => now - heardAt < MAX_REPORT_AGE_MILLISECONDS,
    ),
  );
}

/** The feeders of each zone, in rendezvous order. */
function selectFeeders(hosts: readonly HostAddress[]): string[][] {
  const zones = new Map<string, string[]>();
  for (const {name, zone} of hosts) {
    const names = zones.get(zone);
    if (names) names.push(name);
    else zones.set(zone, [name]);
  }
  return [...zones.values()].map(names =>
    rendezvousOrder(FEEDER_RANKING_KEY, names).slice(0, FEEDERS_PER_ZONE),
  );
}

/** The feeders that follow the store, in different zones as far as there are. */
function selectFollowers(
  feedersByZone: ReadonlyArray<readonly string[]>,
): ReadonlySet<string> {
  const firsts = feedersByZone.flatMap(([first]) => first ?? []);
  const order = new Set([
    ...rendezvousOrder(FEEDER_RANKING_KEY, firsts),
    ...rendezvousOrder(FEEDER_RANKING_KEY, feedersByZone.flat()),
  ]);
  return new Set([...order].slice(0, STORE_FOLLOWERS));
}
