/**
 * How often the store has come back from an older copy. Each time, offsets and
 * generations that it had given out since the copy are given out again, and name
 * something else. They can be compared only within one era.
 */

/** The era of a store that has never come back from a copy. */
export const FIRST_ERA = 1;

/** A place in a topic. */
export interface StorePosition {
  readonly offset: number;
  /** The store's era; undefined where it is not known. */
  readonly era?: number | undefined;
}

/**
 * Whether one position is before another. Positions of which the era of one is
 * not known are taken to be of the same era.
 *
 * ```ts
 * isBefore({offset: 40, era: 1}, {offset: 3, era: 2}); // true
 * ```
 */
export function isBefore(one: StorePosition, other: StorePosition): boolean {
  if (isSameEra(one.era, other.era)) return one.offset < other.offset;
  return (one.era ?? 0) < (other.era ?? 0);
}

/** Whether offsets of two eras can be compared. */
export function isSameEra(
  one: number | undefined,
  other: number | undefined,
): boolean {
  return one === undefined || other === undefined || one === other;
}

/** Tells when the store has come back from an older copy. */
export class StoreRestores {
  private latest: number | undefined;
  private readonly listeners: Array<(era: number) => void> = [];

  /** The newest era that is known; undefined before the first answer. */
  get era(): number | undefined {
    return this.latest;
  }

  /** Calls a function with the new era after each restore. */
  onRestore(listener: (era: number) => void): void {
    this.listeners.push(listener);
  }

  /** Records the era of an answer, or that another host has seen. */
  report(era: number | undefined): void {
    if (era === undefined) return;
    const before = this.latest;
    if (before !== undefined && era <= before) return;
    this.latest = era;
    if (before === undefined) return;
    for (const listener of this.listeners) listener(era);
  }
}
