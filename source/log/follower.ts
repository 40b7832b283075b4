/**
 * Reads the platform's log continuously, by long polls. While the log is
 * unreachable it keeps trying, and all that was applied before stays in force.
 */
import type {Clock} from '../clock/index.js';
import type {LogEntry, LogPage, Platform} from '../platform/index.js';

/** Longest time that a read waits for new entries, while the log is reachable. */
const LONG_POLL_MILLISECONDS = 1_000;
/** Time from a failed read to the next. */
const RETRY_DELAY_MILLISECONDS = 200;

/** Dependencies and callbacks of a LogFollower. */
export interface LogFollowerOptions {
  readonly platform: Platform;
  readonly clock: Clock;
  /**
   * Called with the first offset that the log still holds: after the first
   * read, and whenever that offset changes.
   */
  readonly onFirstOffset: (first: number) => void;
  /** Called with the entries of each page that was read, in order. */
  readonly onEntries: (entries: readonly LogEntry[]) => void;
  /** Returns the offset of the next entry to read. */
  readonly nextOffset: () => number;
  /** Called when the log becomes reachable or unreachable. */
  readonly onReachableChange: (reachable: boolean) => void;
  /** Called after each read that reached the end of the log. */
  readonly onEndReached: () => void;
}

/** Reads the log from the host's next offset on, until it is stopped. */
export class LogFollower {
  private running = true;
  private first: number | undefined;
  private reachable = false;
  private caughtUpAt = -Infinity;

  constructor(private readonly options: LogFollowerOptions) {}

  /** Whether the last read succeeded. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /**
   * When the latest read that reached the end of the log was sent, in
   * milliseconds of this host's monotonic clock; -Infinity if none has.
   */
  get lastCaughtUpAt(): number {
    return this.caughtUpAt;
  }

  /** Milliseconds for which the host may have missed entries of the log. */
  get age(): number {
    return this.options.clock.monotonic() - this.caughtUpAt;
  }

  /** Reads the log until `stop` is called. */
  async run(): Promise<void> {
    while (this.running) {
      const sentAt = this.options.clock.monotonic();
      const page = await this.read();
      if (!this.running) return;
      if (!page) {
        await this.waitForRetry();
        continue;
      }
      this.handlePage(page, sentAt);
    }
  }

  stop(): void {
    this.running = false;
  }

  /** Reads one page; resolves to undefined if the read failed. */
  private async read(): Promise<LogPage | undefined> {
    try {
      const from = this.first === undefined ? 0 : this.options.nextOffset();
      const wait = this.reachable ? LONG_POLL_MILLISECONDS : 0;
      return await this.options.platform.read(from, wait);
    } catch {
      this.setReachable(false);
      return undefined;
    }
  }

  private handlePage(page: LogPage, sentAt: number): void {
    if (page.first !== this.first) {
      this.first = page.first;
      this.options.onFirstOffset(page.first);
    }
    this.options.onEntries(page.entries);
    const isCaughtUp = this.options.nextOffset() >= page.end;
    if (isCaughtUp) this.caughtUpAt = sentAt;
    this.setReachable(true);
    if (isCaughtUp) this.options.onEndReached();
  }

  private setReachable(reachable: boolean): void {
    if (reachable === this.reachable) return;
    this.reachable = reachable;
    this.options.onReachableChange(reachable);
  }

  private waitForRetry(): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.after(RETRY_DELAY_MILLISECONDS, resolve);
    });
  }
}
