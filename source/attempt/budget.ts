/**
 * A retry budget limits retries to a fixed share of first attempts, so that
 * retries cannot amplify an overload. It starts with a reserve, because
 * otherwise a host with little traffic could never retry.
 */

/** Retries allowed for each first attempt. */
export const RETRY_SHARE = 0.1;
/** Tokens of a full bucket; each one allows a retry. */
export const MAX_RETRY_TOKENS = 20;

/** A retry budget as an immutable token bucket. */
export class RetryTokenBucket {
  private constructor(readonly tokens: number) {}

  /** Returns a full bucket. */
  static full(): RetryTokenBucket {
    return new RetryTokenBucket(MAX_RETRY_TOKENS);
  }

  /** Returns the bucket after a first attempt, which adds RETRY_SHARE. */
  earn(): RetryTokenBucket {
    if (this.tokens === MAX_RETRY_TOKENS) return this;
    return new RetryTokenBucket(
      Math.min(this.tokens + RETRY_SHARE, MAX_RETRY_TOKENS),
    );
  }

  /** Whether one more retry is allowed. */
  get allowsRetry(): boolean {
    return this.tokens >= 1;
  }

  /**
   * Returns the bucket after a retry. Does not check that a token is left.
   *
   * ```ts
   * if (bucket.allowsRetry) bucket = bucket.spend();
   * ```
   */
  spend(): RetryTokenBucket {
    return new RetryTokenBucket(this.tokens - 1);
  }
}
