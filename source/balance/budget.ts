/**
 * The retry budget: how many retries this host may send to a service. The
 * budget limits the retries of all hosts, in any window, relative to the
 * requests of all hosts. Hosts don't coordinate: each counts its own requests,
 * takes an equal part of the fixed allowance, and uses only a fraction of the
 * result as a margin for hosts that are missing from its host count.
 */

/** The limit on retries, over all hosts. */
export interface RetryBudget {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond the ratio, over all hosts, in each window. */
  readonly allowance: number;
  /** Milliseconds. */
  readonly window: number;
}

/** Requests and retries of one service in a slice of the window. */
interface Slice {
  /** Monotonic milliseconds at which the slice begins. */
  readonly from: number;
  readonly requests: number;
  readonly retries: number;
}

/** The slices of the last window, oldest first. */
export type RetryHistory = readonly Slice[];

const SLICE_COUNT = 10;
/**
 * Fraction of the budget that a host uses; the rest is the margin for hosts
 * that are missing from its host count.
 */
const USED_BUDGET_FRACTION = 0.75;

/** A history without any request. */
export const EMPTY_RETRY_HISTORY: RetryHistory = [];

/**
 * The history with one more request or retry. Drops the slices that are older
 * than the window.
 */
export function addToHistory(
  before: RetryHistory,
  kind: 'request' | 'repeat',
  {window}: RetryBudget,
  now: number,
): RetryHistory {
  const width = window / SLICE_COUNT;
  const current = before.filter(({from}) => now - from < window);
  const last = current[current.length - 1];
  const isOpen = last !== undefined && now - last.from < width;
  const slice = isOpen ? last : {from: now, requests: 0, retries: 0};
  const next = {
    from: slice.from,
    requests: slice.requests + (kind === 'request' ? 1 : 0),
    retries: slice.retries + (kind === 'repeat' ? 1 : 0),
  };
  return [...(isOpen ? current.slice(0, -1) : current), next];
}

/** The host that wants to retry. */
export interface RetryingHost {
  /** The number of hosts among which the allowance is divided. */
  readonly hosts: number;
  /** Monotonic milliseconds of its start. */
  readonly startedAt: number;
}

/**
 * Whether one more retry is within the budget. In its first window a host uses
 * what its last incarnation has left: that may have used its part just before.
 *
 * ```ts
 * if (mayRetry(history, budget, {hosts, startedAt}, now)) send();
 * ```
 */
export function mayRetry(
  history: RetryHistory,
  {ratio, allowance, window}: RetryBudget,
  {hosts, startedAt}: RetryingHost,
  now: number,
): boolean {
  let requests = 0;
  let retries = 0;
  for (const slice of history) {
    if (now - slice.from >= window) continue;
    requests += slice.requests;
    retries += slice.retries;
  }
  const isInFirstWindow = now - startedAt < window;
  const allowanceFraction = isInFirstWindow
    ? 1 - USED_BUDGET_FRACTION
    : USED_BUDGET_FRACTION;
  const ownAllowance = (allowance * allowanceFraction) / Math.max(hosts, 1);
  return retries + 1 <= ratio * requests * USED_BUDGET_FRACTION + ownAllowance;
}
