/**
 * Estimates how long a request will be queued, so that one that cannot start
 * within its bound is refused at once.
 */

/** The state of a pool as one tier sees it. */
export interface Backlog {
  /** Queued requests that start before it. */
  readonly ahead: number;
  /** Slots that this host may fill. */
  readonly slots: number;
  /** Mean time for which a request holds a slot, in milliseconds. */
  readonly serviceTime: number;
}

/**
 * Expected milliseconds until a slot is free for a request behind `ahead`
 * others. Zero where the host has no slots, so that the request is queued and
 * not refused.
 *
 * ```ts
 * expectedWait({ahead: 20, slots: 4, serviceTime: 500}); // 2500
 * ```
 */
export function expectedWait({ahead, slots, serviceTime}: Backlog): number {
  if (slots === 0) return 0;
  return (ahead / slots) * serviceTime;
}
