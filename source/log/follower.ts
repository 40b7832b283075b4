/**
 * Reads the platform's log without end. While the log is out of reach it tries
 * again, and everything that was applied stays in force.
 */
import type {Clock} from '../clock/index.js';
import type {LogEntry, LogPage, Platform} from '../platform/index.js';

const WAIT_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 200;

/** What a follower is made from. */
export interface FollowerOptions {
  readonly platform: Platform;
  readonly clock: Clock;
  /** Called with the first offset that the log still holds, when it changes. */
  readonly first: (first: number) => void;
  /** Called for the entries of a page, in order. */
  readonly entries: (entries: readonly LogEntry[]) => void;
  /** Offset of the next entry that is wanted. */
  readonly next: () => number;
  /** Called when the log comes in reach or goes out of it. */
  readonly reach: (reachable: boolean) => void;
  /** Called when all of the log has been applied. */
  readonly atEnd: () => void;
}

/** Follows the log from wherever the host has come. */
export class LogFollower {
  private running = true;
  private first: number | undefined;
  private reachable = false;
  /** Monotonic milliseconds at which the end of the log was last seen. */
  private atEndSince = -Infinity;

  constructor(private readonly options: FollowerOptions) {}

  /** Whether the last read was answered. */
  get inReach(): boolean {
    return this.reachable;
  }

  /** Own monotonic milliseconds of the read that last saw the end of the log. */
  get atEnd(): number {
    return this.atEndSince;
  }

  /** Milliseconds since everything in the log was known to be applied. */
  get age(): number {
    return this.options.clock.monotonic() - this.atEndSince;
  }

  /** Follows until `stop`. */
  async run(): Promise<void> {
    while (this.running) {
      const before = this.options.clock.monotonic();
      const page = await this.read();
      if (!this.running) return;
      if (!page) {
        await this.pause();
        continue;
      }
      this.take(page, before);
    }
  }

  stop(): void {
    this.running = false;
  }

  private async read(): Promise<LogPage | undefined> {
    try {
      const from = this.first === undefined ? 0 : this.options.next();
      const wait = this.reachable ? WAIT_MILLISECONDS : 0;
      return await this.options.platform.read(from, wait);
    } catch {
      this.setReachable(false);
      return undefined;
    }
  }

  private take(page: LogPage, askedAt: number): void {
    if (page.first !== this.first) {
      this.first = page.first;
      this.options.first(page.first);
    }
    this.options.entries(page.entries);
    const atEnd = this.options.next() >= page.end;
    if (atEnd) this.atEndSince = askedAt;
    this.setReachable(true);
    if (atEnd) this.options.atEnd();
  }

  private setReachable(reachable: boolean): void {
    if (reachable === this.reachable) return;
    this.reachable = reachable;
    this.options.reach(reachable);
  }

  private pause(): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.after(RETRY_MILLISECONDS, resolve);
    });
  }
}
