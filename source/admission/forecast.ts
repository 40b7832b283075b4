/** How long a request will wait, so that a hopeless one is refused at once. */

/** The state of a pool as one tier sees it. */
export interface Backlog {
  /** Requests that go first. */
  readonly ahead: number;
  /** Places that this host may fill. */
  readonly places: number;
  /** Mean milliseconds that a request holds a place. */
  readonly serviceTime: number;
}

/**
 * Milliseconds until a place is free for a request behind `ahead` others.
 *
 * ```ts
 * expectedWait({ahead: 20, places: 4, serviceTime: 500}); // 2500
 * ```
 */
export function expectedWait({ahead, places, serviceTime}: Backlog): number {
  if (places === 0) return 0;
  return (ahead / places) * serviceTime;
}
