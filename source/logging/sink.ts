/**
 * Writes log lines in batches and never blocks on a slow reader. Lines above the
 * rate limit, or for which the buffer is full, are counted and dropped. Warnings
 * and errors have a rate limit of their own, so that a flood of lower-level lines
 * cannot displace them.
 */
import {write} from 'node:fs';

import type {Cancel, Clock} from '../clock/index.js';
import {avoidWaiting} from './nonblocking.js';

/** Rate limit, for warnings and errors and for all other lines separately. */
const MAX_LINES_PER_SECOND = 150;
/** Most that is buffered, counted as the length of the strings. */
const MAX_BUFFERED_LENGTH = 262_144;
const BATCH_INTERVAL_MILLISECONDS = 100;
const SECOND_MILLISECONDS = 1_000;
const FAILURE_LEVELS: ReadonlySet<string> = new Set(['warn', 'error']);

/** Lines of one kind that were accepted and dropped in the current second. */
interface LineCounts {
  lines: number;
  dropped: number;
}

/** Writes lines to a file descriptor, limited in rate and in buffered length. */
export class BoundedSink {
  private buffered: string[] = [];
  private bufferedLength = 0;
  private isWriting = false;
  private readonly informational: LineCounts = {lines: 0, dropped: 0};
  private readonly failures: LineCounts = {lines: 0, dropped: 0};
  private secondStartedAt = -Infinity;
  private stopTimer: Cancel | undefined;
  /** Called when everything that was accepted has been written. */
  private readonly onWritten: Array<() => void> = [];

  constructor(
    private readonly descriptor: number,
    private readonly clock: Clock,
  ) {
    avoidWaiting(descriptor);
  }

  /** Accepts one line, or counts it as dropped. */
  writeLine(level: string, line: string): void {
    this.startSecondIfDue();
    const counts = FAILURE_LEVELS.has(level)
      ? this.failures
      : this.informational;
    const isFull = this.bufferedLength + line.length > MAX_BUFFERED_LENGTH;
    if (isFull || counts.lines >= MAX_LINES_PER_SECOND) {
      counts.dropped++;
      return;
    }
    counts.lines++;
    this.buffer(line);
  }

  /**
   * Writes the buffered lines without waiting for the batch timer, for a process
   * that is about to end. Resolves when they are written, which takes as long as
   * the reader does.
   *
   * ```ts
   * await Promise.race([sink.flush(), wait(MAX_FLUSH_MILLISECONDS)]);
   * ```
   */
  flush(): Promise<void> {
    this.stopTimer?.();
    this.stopTimer = undefined;
    const written = new Promise<void>(resolve => this.onWritten.push(resolve));
    this.writeBatch();
    return written;
  }

  /** Starts a new second if the last is over, and logs what that one dropped. */
  private startSecondIfDue(): void {
    const now = this.clock.monotonic();
    if (now - this.secondStartedAt < SECOND_MILLISECONDS) return;
    this.secondStartedAt = now;
    const {informational, failures} = this;
    if (informational.dropped + failures.dropped > 0) {
      const event = 'lines-dropped';
      const fields = {news: informational.dropped, failures: failures.dropped};
      const line = {time: this.clock.now().toISOString(), event, fields};
      this.buffer(`${JSON.stringify(line)}\n`);
    }
    for (const counts of [informational, failures]) {
      counts.lines = 0;
      counts.dropped = 0;
    }
  }

  private buffer(line: string): void {
    this.buffered.push(line);
    this.bufferedLength += line.length;
    this.stopTimer ??= this.clock.after(BATCH_INTERVAL_MILLISECONDS, () => {
      this.stopTimer = undefined;
      this.writeBatch();
    });
  }

  private writeBatch(): void {
    if (this.isWriting) return;
    if (this.buffered.length === 0) {
      for (const resolve of this.onWritten.splice(0)) resolve();
      return;
    }
    const batch = Buffer.from(this.buffered.join(''));
    this.buffered = [];
    this.bufferedLength = 0;
    this.isWriting = true;
    this.writeRest(batch);
  }

  /** Writes what is left of a batch, in as many parts as the reader takes. */
  private writeRest(rest: Buffer): void {
    write(this.descriptor, rest, (error, written) => {
      const left = rest.subarray(error ? 0 : written);
      if (left.length > 0 && (!error || error.code === 'EAGAIN')) {
        const again = () => this.writeRest(left);
        this.clock.after(error ? BATCH_INTERVAL_MILLISECONDS : 0, again);
        return;
      }
      // Another error is ignored: a reader that has gone away must not make the
      // host fail, and there is nowhere to report it. The lines are lost.
      this.isWriting = false;
      this.writeBatch();
    });
  }
}
