/**
 * What an endpoint in its cold start may be sent. The bound holds over all
 * hosts in any second, and no host can ask the others in time, so a few hosts,
 * the same for all, get an equal part of it and the rest get none.
 */
import {rankOf} from './rank.js';

/** Hosts that send to an endpoint in its cold start. */
const SENDERS_MOST = 3;
const SECOND_MILLISECONDS = 1_000;

/** Requests that this host has sent to a cold endpoint in the last second. */
export type ColdSends = readonly number[];

/**
 * Requests a second that this host may send to a cold endpoint.
 *
 * ```ts
 * const most = coldShare('engine-3', 12, 'host-1', ['host-1', 'host-2']);
 * ```
 */
export function coldShare(
  endpoint: string,
  rate: number,
  host: string,
  hosts: readonly string[],
): number {
  const whole = Math.max(Math.floor(rate), 1);
  const senders = Math.min(hosts.length, SENDERS_MOST, whole);
  if (rankOf(endpoint, host, hosts) >= senders) return 0;
  return Math.floor(whole / senders);
}

/** Whether one more may be sent now. */
export function mayAdd(sends: ColdSends, share: number, now: number): boolean {
  return recent(sends, now).length < share;
}

/** The sends with one more. */
export function withSend(sends: ColdSends, now: number): ColdSends {
  return [...recent(sends, now), now];
}

function recent(sends: ColdSends, now: number): ColdSends {
  return sends.filter(at => now - at < SECOND_MILLISECONDS);
}
