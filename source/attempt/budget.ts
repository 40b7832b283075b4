/**
 * Retries may be a fixed share of first attempts and no more, so that they
 * cannot feed an overload. A few are always allowed, or a quiet host could
 * never retry at all.
 */

/** Retries allowed for each first attempt. */
export const RETRY_SHARE = 0.1;
/** Retries that a budget can hold. */
export const RETRY_RESERVE = 20;

/** An immutable budget of retries. */
export class RetryBudget {
  private constructor(readonly tokens: number) {}

  /** A full budget. */
  static full(): RetryBudget {
    return new RetryBudget(RETRY_RESERVE);
  }

  /** The budget after a first attempt. */
  earn(): RetryBudget {
    if (this.tokens === RETRY_RESERVE) return this;
    return new RetryBudget(Math.min(this.tokens + RETRY_SHARE, RETRY_RESERVE));
  }

  get allows(): boolean {
    return this.tokens >= 1;
  }

  /**
   * The budget after a retry.
   *
   * ```ts
   * if (budget.allows) budget = budget.spend();
   * ```
   */
  spend(): RetryBudget {
    return new RetryBudget(this.tokens - 1);
  }
}
