/**
 * The input of admission: what it needs to know of one request, of the group
 * that the request is scheduled with, and of the capacity behind the queues.
 */

/**
 * What decides where a request may run and in what order. Requests whose
 * groups are equal can be served by the same endpoints and share one queue.
 */
export interface SchedulingGroup {
  /** The pool of endpoints that serve the requests. */
  readonly pool: string;
  /** The request class, the unit of floors and of fairness between teams. */
  readonly className: string;
  /** Strict priority; the lowest is served first. */
  readonly tier: number;
  /** Minimum share of the pool’s starts while the class waits, from 0 to 1. */
  readonly floorShare: number;
  /** Maximum share of the class that may run on reclaimable endpoints. */
  readonly cheapShare: number;
  /** Whether its requests may be run again. */
  readonly repeatable: boolean;
  /** Allowed regions, where its requests may run; undefined for all. */
  readonly homes?: readonly string[] | undefined;
  /**
   * Whether its requests have waited too long to meet their target. They start
   * after the others of their tier.
   */
  readonly isLate?: boolean;
  /**
   * Set where its requests go on with streams of which callers have had a part.
   * They start before the others of their tier, and a host's own limits at the
   * endpoints do not hold them back: a caller who is refused loses all of it.
   */
  readonly continuation?: StreamContinuation;
}

/** Where a stream that has begun may go on. */
export interface StreamContinuation {
  /**
   * Software version that began it, `UNSTATED_VERSION` of endpoints that state
   * none; undefined for any.
   */
  readonly softwareVersion: string | undefined;
}

/** What admission and placement need to know of one request. */
export interface AdmissionRequest {
  readonly group: SchedulingGroup;
  readonly team: string;
  /** The team’s share of its class, relative to the weights of other teams. */
  readonly weight: number;
  /** Tokens that the request is expected to cost. */
  readonly estimate: number;
  /** Arrival in milliseconds on the monotonic clock. */
  readonly arrived: number;
  /** Longest time from arrival that it may be queued, in milliseconds. */
  readonly bound: number;
  /**
   * Time from arrival within which it must start to meet its target, in
   * milliseconds; without one it is never late.
   */
  readonly targetBound?: number;
  /** Key of the prompt’s opening, for prefix affinity; empty if it has none. */
  readonly prefix: string;
}

/** The key of a group; groups with equal keys may share a queue. */
export function groupKey(group: SchedulingGroup): string {
  const {pool, className, repeatable, homes, isLate, continuation} = group;
  const regions = homes ? ` ${homes.join(' ')}` : '';
  const late = isLate ? ' late' : '';
  const stream = continuation
    ? ` stream ${JSON.stringify(continuation.softwareVersion)}`
    : '';
  return `${pool} ${className} ${repeatable ? 'any' : 'firm'}${regions}${late}${stream}`;
}

/** What a group’s next request lacks. */
export type CapacityShortage =
  /** No endpoint may get the request. */
  | 'no-endpoint'
  /** This host has as many requests at the endpoints as it may. */
  | 'host-requests'
  /** As much prefill of this host waits at the endpoints as may. */
  | 'host-prefill'
  /** Every endpoint is believed to be full. */
  | 'endpoints-full';

/** Tells admission how much capacity the endpoints have for this host. */
export abstract class CapacityProvider {
  /** Whether the group’s next request could start now. */
  abstract hasCapacity(group: SchedulingGroup): boolean;
  /** What the group’s next request lacks to start now; undefined for nothing. */
  shortage(group: SchedulingGroup): CapacityShortage | undefined {
    return this.hasCapacity(group) ? undefined : 'endpoints-full';
  }
  /** Slots that this host may fill in the pool, used and free. */
  abstract slotCount(pool: string): number;
}
