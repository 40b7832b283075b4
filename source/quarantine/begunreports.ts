/**
 * Gathers the suspects with which answers have begun at this host until it tells
 * the other hosts. Each host waits for another short time, so that most of them
 * hear it from another one before they would tell it.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {RandomSource} from '../random/index.js';
import type {BegunSuspect} from './message.js';
import {suspectOf, type SuspectKey} from './suspect.js';

/** Milliseconds for each host over which they spread the news. */
const SPREAD_MILLISECONDS_PER_HOST = 2;

/** Dependencies of the reports. */
export interface BegunReportsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** The number of hosts. */
  readonly hostCount: () => number;
  /** Sends to all other hosts that answers with these suspects have begun. */
  readonly send: (begun: readonly BegunSuspect[]) => void;
}

/** The begun answers that the other hosts have not been told of. */
export class BegunReports {
  /** Monotonic milliseconds of the answers. */
  private readonly unsent = new Map<SuspectKey, number>();
  private stopTimer: Cancel | undefined;

  constructor(private readonly options: BegunReportsOptions) {}

  /** Adds an answer that has begun at a monotonic time; sends it soon. */
  add(key: SuspectKey, begunAt: number): void {
    this.unsent.set(key, begunAt);
    if (this.stopTimer) return;
    const {clock, hostCount, random} = this.options;
    const spread = hostCount() * SPREAD_MILLISECONDS_PER_HOST;
    this.stopTimer = clock.after(random.next() * spread, () => {
      this.stopTimer = undefined;
      this.send();
    });
  }

  /** Drops an answer that another host has told of, if that is as late. */
  drop(key: SuspectKey, begunAt: number): void {
    if ((this.unsent.get(key) ?? Infinity) <= begunAt) this.unsent.delete(key);
  }

  private send(): void {
    if (this.unsent.size === 0) return;
    const now = this.options.clock.monotonic();
    const begun = [...this.unsent].map(([key, at]) => {
      const {kind, id} = suspectOf(key);
      return {kind, part: id, ago: now - at};
    });
    this.unsent.clear();
    this.options.send(begun);
  }
}
