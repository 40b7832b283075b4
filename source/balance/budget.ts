/**
 * How many repeats this host may send to a service. The bound counts the
 * repeats of all hosts in any window against the requests of all hosts, so each
 * host keeps to its own requests and an equal part of the fixed allowance, and
 * leaves a margin for hosts that the count of hosts has missed.
 */

/** The bound on repeats, over all hosts. */
export interface RepeatBound {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beyond that, over all hosts. */
  readonly allowance: number;
  /** Milliseconds. */
  readonly window: number;
}

/** Requests and repeats of one service in a slice of the window. */
interface Slice {
  readonly from: number;
  readonly requests: number;
  readonly repeats: number;
}

/** The slices of the last window, the oldest first. */
export type RepeatCount = readonly Slice[];

const SLICES = 10;
/** Share of the bound that is used. */
const USED_SHARE = 0.75;

/** Nothing counted yet. */
export const NO_REPEATS: RepeatCount = [];

/** The count with one more request or repeat. */
export function counted(
  before: RepeatCount,
  what: 'request' | 'repeat',
  {window}: RepeatBound,
  now: number,
): RepeatCount {
  const width = window / SLICES;
  const kept = before.filter(({from}) => now - from < window);
  const last = kept[kept.length - 1];
  const open = last !== undefined && now - last.from < width;
  const slice = open ? last : {from: now, requests: 0, repeats: 0};
  const next = {
    from: slice.from,
    requests: slice.requests + (what === 'request' ? 1 : 0),
    repeats: slice.repeats + (what === 'repeat' ? 1 : 0),
  };
  return [...(open ? kept.slice(0, -1) : kept), next];
}

/**
 * Whether one more repeat keeps to the bound.
 *
 * ```ts
 * if (mayRepeat(count, bound, hosts, now)) send();
 * ```
 */
export function mayRepeat(
  count: RepeatCount,
  {ratio, allowance, window}: RepeatBound,
  hosts: number,
  now: number,
): boolean {
  let requests = 0;
  let repeats = 0;
  for (const slice of count) {
    if (now - slice.from >= window) continue;
    requests += slice.requests;
    repeats += slice.repeats;
  }
  const most = ratio * requests + allowance / Math.max(hosts, 1);
  return repeats + 1 <= most * USED_SHARE;
}
