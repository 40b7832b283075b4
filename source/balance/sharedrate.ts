/**
 * Limits the requests a second that all hosts together send to an endpoint: in
 * its cold start, or because it has named a limit. Hosts have no time to
 * coordinate. So a few hosts, which all hosts derive alike, get an equal part of
 * the rate and the rest none. Where the rate is below one request a second, one
 * host sends. Hosts that are not sure who the others are cannot derive that: each
 * takes a small part, of which the parts of all are a fraction of the rate.
 */
import {assumedHosts, type SharingHosts} from '../membership/index.js';
import {rendezvousRank} from './rendezvous.js';

/** Hosts that send to an endpoint in its cold start. */
const MAX_COLD_START_SENDERS = 3;
const SECOND_MILLISECONDS = 1_000;
/** Time over which a rate that is no whole number is kept. */
const WINDOW_MILLISECONDS = 4_000;
/** Lowest rate, so that an endpoint is asked now and then whether it still holds. */
export const MIN_RATE = 0.1;
/**
 * Part of a rate that hosts which were told nothing use together, beside those that
 * are sure and use all of it; as much again is for those that are cut off.
 */
const CAUTIOUS_FRACTION = 0.25;
/** Time after which a send no longer counts at any rate. */
const MAX_WINDOW_MILLISECONDS = SECOND_MILLISECONDS / MIN_RATE;

/**
 * Monotonic milliseconds of the requests that this host has recently sent to an
 * endpoint with a limit, the oldest first.
 */
export type RecentSends = readonly number[];

/**
 * Requests a second that this host may send to an endpoint in its cold start.
 * Over all hosts with the same `hosts` they add up to `rate` at most.
 *
 * ```ts
 * const rate = coldStartRate('engine-3', 12, 'host-1', ['host-1', 'host-2']);
 * ```
 */
export function coldStartRate(
  endpoint: string,
  rate: number,
  host: string,
  hosts: readonly string[],
): number {
  return hostRate(endpoint, rate, host, hosts, MAX_COLD_START_SENDERS);
}

/**
 * Requests a second that this host may send to an endpoint that has named a
 * limit. Over all hosts with the same `hosts` they add up to the limit at most.
 */
export function namedLimitRate(
  endpoint: string,
  rate: number,
  host: string,
  hosts: readonly string[],
): number {
  return hostRate(endpoint, rate, host, hosts, hosts.length);
}

/** This host’s part of a rate, of `coldStartRate` or `namedLimitRate`. */
export type RateShare = typeof coldStartRate;

/**
 * Requests a second that this host may send, given how sure it is of the others.
 * A host that was sure before keeps at least the part that it had.
 *
 * ```ts
 * const rate = shareOfRate(coldStartRate, 'engine-3', 12, 'host-1', sharing);
 * ```
 */
export function shareOfRate(
  shareOf: RateShare,
  endpoint: string,
  rate: number,
  host: string,
  sharing: SharingHosts,
): number {
  const {hosts, confidence} = sharing;
  const isUnconfirmed = confidence === 'unconfirmed';
  const share = isUnconfirmed ? 0 : shareOf(endpoint, rate, host, hosts);
  if (confidence === 'confirmed') return share;
  const cautious = Math.max(rate, MIN_RATE) * CAUTIOUS_FRACTION;
  return Math.max(share, cautious / assumedHosts(sharing));
}

/** Whether one more request may be sent now; `rate` is in requests a second. */
export function isBelowRate(
  sends: RecentSends,
  rate: number,
  now: number,
): boolean {
  if (rate <= 0) return false;
  const window = windowOf(rate);
  const perSecond = Math.max(Math.floor(rate), 1);
  const perWindow = Math.floor((rate * window) / SECOND_MILLISECONDS);
  return (
    countSince(sends, now - SECOND_MILLISECONDS) < perSecond &&
    countSince(sends, now - window) < perWindow
  );
}

/**
 * The next monotonic time at which a recent send no longer counts; Infinity if
 * there are none.
 */
export function nextExpiry(
  sends: RecentSends,
  rate: number,
  now: number,
): number {
  let next = Infinity;
  for (const window of [SECOND_MILLISECONDS, windowOf(rate)]) {
    const oldest = sends.find(at => now - at < window);
    if (oldest !== undefined) next = Math.min(next, oldest + window);
  }
  return next;
}

/** The sends with one more; drops those that no longer count. */
export function withSend(sends: RecentSends, now: number): RecentSends {
  const recent = sends.filter(at => now - at < MAX_WINDOW_MILLISECONDS);
  return [...recent, now];
}

function hostRate(
  endpoint: string,
  rate: number,
  host: string,
  hosts: readonly string[],
  maxSenders: number,
): number {
  const total = Math.max(rate, MIN_RATE);
  const most = Math.max(Math.floor(total), 1);
  const senders = Math.min(hosts.length, maxSenders, most);
  if (rendezvousRank(endpoint, host, hosts) >= senders) return 0;
  return total / senders;
}

/** Milliseconds in which a rate allows at least one request. */
function windowOf(rate: number): number {
  const perRequest = Math.ceil(SECOND_MILLISECONDS / Math.max(rate, MIN_RATE));
  return Math.max(WINDOW_MILLISECONDS, perRequest);
}

function countSince(sends: RecentSends, time: number): number {
  return sends.filter(at => at > time).length;
}
