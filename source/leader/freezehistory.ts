/**
 * The freezes of recent usage windows that a host knows, and which windows may
 * have been frozen in records that the store has lost. After the store has come
 * back from a copy, whoever knows a freeze appends it again; a host that did not
 * lead then freezes no window that a leader may have frozen before.
 */
import {FIRST_ERA, type StoreRestores} from '../store/index.js';
import type {FreezeRecord} from '../usage/index.js';

/** From which window on the store lacks no freeze. */
export interface UsageCertainty {
  /** The store’s era for which this holds. */
  readonly era: number;
  readonly window: number;
}

/** A restore of the store, as a host learns of it. */
export interface NoticedRestore extends UsageCertainty {
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** Time since a leader last read the topic in which nobody else has led. */
const MAX_LEADER_PAUSE_MILLISECONDS = 3_000;

/** The freezes that one host knows. */
export class FreezeHistory {
  /** The first freeze of each window that this host has read as the leader. */
  private readonly records = new Map<number, FreezeRecord>();
  private certainty: UsageCertainty | undefined;
  /** Whether this host led when the store was restored, and knows all freezes. */
  private isComplete = false;
  /** Monotonic milliseconds at which this host last acted as the leader. */
  private ledAt = -Infinity;
  private startedIn = -Infinity;

  constructor(private readonly restores: StoreRestores) {}

  /** Records the window in which this host has started; later calls do nothing. */
  begin(window: number): void {
    if (this.startedIn === -Infinity) this.startedIn = window;
  }

  /** Keeps the first freeze of a window, and drops those before a window. */
  keep(record: FreezeRecord, oldest: number): void {
    for (const window of this.records.keys())
      if (window < oldest) this.records.delete(window);
    if (!this.records.has(record.window))
      this.records.set(record.window, record);
  }

  /** The freezes of the windows from one on. */
  since(oldest: number): FreezeRecord[] {
    return [...this.records.values()].filter(({window}) => window >= oldest);
  }

  /** Records that this host has read the topic as the leader. */
  recordLeading(now: number): void {
    this.ledAt = now;
  }

  /** Records a restore; no window from `window` on was frozen before it. */
  recordRestore({era, window, now}: NoticedRestore): void {
    this.isComplete = now - this.ledAt < MAX_LEADER_PAUSE_MILLISECONDS;
    this.certainty = {era, window};
  }

  /**
   * From which window on the freezes that the store has are complete, for other
   * hosts; undefined while the store has never come back from a copy.
   */
  get certainWindow(): UsageCertainty | undefined {
    const {era = FIRST_ERA} = this.restores;
    if (era === FIRST_ERA) return undefined;
    if (this.certainty?.era === era) return this.certainty;
    return {era, window: this.startedIn};
  }

  /** Takes over what another host says of the freezes that the store has. */
  handleCertainWindow({era, window}: UsageCertainty): void {
    const own = this.certainWindow;
    if (own?.era === era && window < own.window) this.certainty = {era, window};
  }

  /** The oldest window that this host may freeze. */
  get oldestWindowToFreeze(): number {
    const {certainWindow} = this;
    if (!certainWindow || this.isComplete) return -Infinity;
    return certainWindow.window;
  }
}
