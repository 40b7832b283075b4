/**
 * No class starves: while a class waits, it gets at least its floor share of
 * the tokens that its pool starts, measured over a period that fades. Higher
 * tiers pay for this in waiting and never by being shed: the ledger adds up
 * how long floor starts have held them up, and their bounds move by as much.
 */

/** Milliseconds after which a start counts half. */
export const FLOOR_HALF_LIFE_MILLISECONDS = 10_000;

interface Share {
  tokens: number;
  at: number;
}

/** The starts of one pool. */
export class FloorLedger {
  private readonly shares = new Map<string, Share>();
  private readonly total: Share = {tokens: 0, at: 0};
  private readonly delays = new Map<number, number>();

  /** Notes a start. */
  started(className: string, tokens: number, now: number): void {
    add(this.total, tokens, now);
    const share = this.shares.get(className);
    if (share) add(share, tokens, now);
    else this.shares.set(className, {tokens, at: now});
  }

  /**
   * Tokens that a class is short of its floor; none or fewer is enough.
   *
   * ```ts
   * if (ledger.shortfall('drafting', 0.05, now) > 0) startIt();
   * ```
   */
  shortfall(className: string, floorShare: number, now: number): number {
    const total = faded(this.total, now);
    if (total === 0) return 0;
    const share = this.shares.get(className);
    return floorShare * total - (share ? faded(share, now) : 0);
  }

  /** Notes that a floor start of a tier holds up all higher ones. */
  delay(tier: number, duration: number): void {
    for (let higher = 1; higher < tier; higher++) {
      this.delays.set(higher, this.delayed(higher) + duration);
    }
  }

  /** Milliseconds for which floor starts have held up a tier so far. */
  delayed(tier: number): number {
    return this.delays.get(tier) ?? 0;
  }
}

function faded(share: Share, now: number): number {
  const age = now - share.at;
  return share.tokens * 0.5 ** (age / FLOOR_HALF_LIFE_MILLISECONDS);
}

function add(share: Share, tokens: number, now: number): void {
  share.tokens = faded(share, now) + tokens;
  share.at = now;
}
