/**
 * Writes lines in batches and never waits for whoever reads them. Lines above
 * the rate, or that find the reader behind, are counted and left out; failures
 * have a rate of their own, so that a flood of good news cannot displace them.
 */
import {write} from 'node:fs';

import type {Cancel, Clock} from '../clock/index.js';

/** Lines a second of each kind that are written. */
const LINES_PER_SECOND = 150;
/** Bytes that may wait for the reader. */
const WAITING_BYTES_MOST = 262_144;
const BATCH_MILLISECONDS = 100;
const SECOND_MILLISECONDS = 1_000;
const FAILURE_LEVELS: ReadonlySet<string> = new Set(['warn', 'error']);

interface Allowance {
  lines: number;
  dropped: number;
}

/** Writes to a file descriptor, within bounds. */
export class BoundedSink {
  private waiting: string[] = [];
  private bytes = 0;
  private writing = false;
  private readonly news: Allowance = {lines: 0, dropped: 0};
  private readonly failures: Allowance = {lines: 0, dropped: 0};
  private secondBegan = -Infinity;
  private stopTimer: Cancel | undefined;

  constructor(
    private readonly descriptor: number,
    private readonly clock: Clock,
  ) {}

  /** Takes one line. */
  take(level: string, line: string): void {
    this.turnSecond();
    const kind = FAILURE_LEVELS.has(level) ? this.failures : this.news;
    const full = this.bytes + line.length > WAITING_BYTES_MOST;
    if (full || kind.lines >= LINES_PER_SECOND) {
      kind.dropped++;
      return;
    }
    kind.lines++;
    this.push(line);
  }

  /** Writes what waits, for a process that is about to end. */
  flush(): void {
    this.stopTimer?.();
    this.stopTimer = undefined;
    this.writeBatch();
  }

  private turnSecond(): void {
    const now = this.clock.monotonic();
    if (now - this.secondBegan < SECOND_MILLISECONDS) return;
    this.secondBegan = now;
    const {news, failures} = this;
    if (news.dropped + failures.dropped > 0) {
      const event = 'lines-dropped';
      const fields = {news: news.dropped, failures: failures.dropped};
      const line = {time: this.clock.now().toISOString(), event, fields};
      this.push(`${JSON.stringify(line)}\n`);
    }
    for (const allowance of [news, failures]) {
      allowance.lines = 0;
      allowance.dropped = 0;
    }
  }

  private push(line: string): void {
    this.waiting.push(line);
    this.bytes += line.length;
    this.stopTimer ??= this.clock.after(BATCH_MILLISECONDS, () => {
      this.stopTimer = undefined;
      this.writeBatch();
    });
  }

  private writeBatch(): void {
    if (this.writing || this.waiting.length === 0) return;
    const batch = this.waiting.join('');
    this.waiting = [];
    this.bytes = 0;
    this.writing = true;
    write(this.descriptor, batch, () => {
      // A reader that has gone away is no reason to fail, and there is nobody
      // to tell: the lines are lost.
      this.writing = false;
      this.writeBatch();
    });
  }
}
