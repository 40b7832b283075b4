/**
 * Limits what an endpoint in its cold start is sent. The limit holds over all
 * hosts in any second, and hosts have no time to coordinate. So a few hosts,
 * which all hosts derive alike, get an equal part of it and the rest none.
 */
import {rendezvousRank} from './rendezvous.js';

/** Hosts that send to an endpoint in its cold start. */
const MAX_SENDERS = 3;
const SECOND_MILLISECONDS = 1_000;

/**
 * Monotonic milliseconds of the requests that this host has sent to an endpoint
 * in its cold start in the last second.
 */
export type ColdStartSends = readonly number[];

/**
 * Requests a second that this host may send to an endpoint in its cold start.
 * Over all hosts with the same `hosts` they add up to `rate` at most, but at
 * least one request a second is allowed.
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
  const total = Math.max(Math.floor(rate), 1);
  const senders = Math.min(hosts.length, MAX_SENDERS, total);
  if (rendezvousRank(endpoint, host, hosts) >= senders) return 0;
  return Math.floor(total / senders);
}

/** Whether one more request may be sent now. */
export function isBelowRate(
  sends: ColdStartSends,
  rate: number,
  now: number,
): boolean {
  return recent(sends, now).length < rate;
}

/**
 * The monotonic time at which the oldest of the recent sends no longer counts;
 * Infinity if there are none.
 */
export function nextExpiry(sends: ColdStartSends, now: number): number {
  const [oldest = Infinity] = recent(sends, now);
  return oldest + SECOND_MILLISECONDS;
}

/** The sends with one more; drops those older than a second. */
export function withSend(sends: ColdStartSends, now: number): ColdStartSends {
  return [...recent(sends, now), now];
}

function recent(sends: ColdStartSends, now: number): ColdStartSends {
  return sends.filter(at => now - at < SECOND_MILLISECONDS);
}
