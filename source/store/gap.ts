/**
 * Whether a host lacks records of a topic that another host has sent it parts of.
 * It asks hosts that are ahead for the rest; where nobody gives it in time, the host
 * reads the store.
 */
import {isBefore, type StorePosition} from './restores.js';

/** Milliseconds for which other hosts may give the records of a gap. */
const GAP_PATIENCE_MILLISECONDS = 1_000;

/** A gap behind what is known of a topic. */
interface Gap {
  /** Monotonic milliseconds at which it was found. */
  readonly since: number;
  /** Where the topic is known again. */
  readonly end: StorePosition;
}

/** The gap in a topic, if there is one. */
export class GapWatch {
  private gap: Gap | undefined;

  /**
   * Records that a page up to `end` lies behind a gap; returns whether it is the
   * first one.
   */
  open(end: StorePosition, now: number): boolean {
    const isFirst = this.gap === undefined;
    this.gap = {since: this.gap?.since ?? now, end};
    return isFirst;
  }

  /** Records how far the topic is known without a gap. */
  update(position: StorePosition): void {
    if (this.gap && !isBefore(position, this.gap.end)) this.gap = undefined;
  }

  /** Whether other hosts have had the time to give the records. */
  isOverdue(now: number): boolean {
    if (!this.gap) return false;
    return now - this.gap.since >= GAP_PATIENCE_MILLISECONDS;
  }
}
