/**
 * Counts the requests and retries of a host by service, and tells whether the
 * budget allows another retry.
 */
import {
  addToHistory,
  EMPTY_RETRY_HISTORY,
  mayRetry,
  type RetryBudget,
  type RetryHistory,
} from '../balance/index.js';
import type {Clock} from '../clock/index.js';

/** The retries of one host. */
export class RetryCounter {
  /** Recent requests and retries by service. */
  private readonly histories = new Map<string, RetryHistory>();
  /** Monotonic milliseconds of the start of this host. */
  private readonly startedAt: number;

  constructor(
    /** The current budget. */
    public budget: RetryBudget,
    private readonly clock: Clock,
  ) {
    this.startedAt = clock.monotonic();
  }

  /** Counts a request or a retry towards the budget of its service. */
  count(service: string, kind: 'request' | 'repeat'): void {
    const before = this.histories.get(service) ?? EMPTY_RETRY_HISTORY;
    const now = this.clock.monotonic();
    this.histories.set(service, addToHistory(before, kind, this.budget, now));
  }

  /** Whether the budget, shared by so many hosts, allows one more retry. */
  allowsRetry(service: string, hosts: number): boolean {
    const history = this.histories.get(service) ?? EMPTY_RETRY_HISTORY;
    const {budget, startedAt, clock} = this;
    return mayRetry(history, budget, {hosts, startedAt}, clock.monotonic());
  }
}
