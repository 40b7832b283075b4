/**
 * Floors keep classes from starving: while a class waits, it gets at least its
 * floor share of the tokens that its pool starts, measured over a sum that
 * decays with time. Higher tiers pay for this by waiting longer, never by
 * being shed: the tracker adds up how long starts made for a floor have
 * delayed each tier, and the wait bounds of that tier grow by as much.
 */

/** Milliseconds after which the tokens of a start count half. */
export const FLOOR_HALF_LIFE_MILLISECONDS = 10_000;

/** An exponentially decaying sum of tokens, as of a monotonic time. */
interface DecayingSum {
  tokens: number;
  at: number;
}

/**
 * The starts in one pool by class, and the delays that floors have caused.
 * Times are monotonic milliseconds.
 */
export class FloorTracker {
  private readonly sums = new Map<string, DecayingSum>();
  private readonly total: DecayingSum = {tokens: 0, at: 0};
  /** Milliseconds by tier. */
  private readonly delays = new Map<number, number>();

  /** Records that a request of the class has started. */
  recordStart(className: string, tokens: number, now: number): void {
    addTokens(this.total, tokens, now);
    const sum = this.sums.get(className);
    if (sum) addTokens(sum, tokens, now);
    else this.sums.set(className, {tokens, at: now});
  }

  /**
   * Tokens that a class is short of its floor; zero or less if it has its
   * share.
   *
   * ```ts
   * if (tracker.shortfall('drafting', 0.05, now) > 0) startIt();
   * ```
   */
  shortfall(className: string, floorShare: number, now: number): number {
    const total = decayedTokens(this.total, now);
    if (total === 0) return 0;
    const sum = this.sums.get(className);
    return floorShare * total - (sum ? decayedTokens(sum, now) : 0);
  }

  /** Records that a start for the floor of a tier delays all higher tiers. */
  addDelay(tier: number, duration: number): void {
    for (let higher = 0; higher < tier; higher++) {
      this.delays.set(higher, this.totalDelay(higher) + duration);
    }
  }

  /** Milliseconds by which starts for floors have delayed a tier so far. */
  totalDelay(tier: number): number {
    return this.delays.get(tier) ?? 0;
  }
}

function decayedTokens(sum: DecayingSum, now: number): number {
  const age = now - sum.at;
  return sum.tokens * 0.5 ** (age / FLOOR_HALF_LIFE_MILLISECONDS);
}

function addTokens(sum: DecayingSum, tokens: number, now: number): void {
  sum.tokens = decayedTokens(sum, now) + tokens;
  sum.at = now;
}
