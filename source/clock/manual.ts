/**
 * A clock that moves only when it is told to. Tests and measurements use it to
 * run hours of timers in one turn of the event loop, always in the same order.
 */
import type {Cancel, Clock} from './clock.js';

interface Timer {
  /** Monotonic milliseconds. */
  due: number;
  /** Order of creation; timers that are due at the same time fire in it. */
  readonly sequence: number;
  /** Milliseconds; 0 for a one-shot timer. */
  readonly period: number;
  readonly callback: () => void;
}

/**
 * A clock that moves only in `advance`. It starts at 0, also as wall-clock time.
 *
 * ```ts
 * const clock = new ManualClock();
 * clock.after(100, () => expire());
 * clock.advance(100); // expire() has run
 * ```
 */
export class ManualClock implements Clock {
  private elapsed = 0;
  private timersCreated = 0;
  private readonly timers = new Set<Timer>();

  now(): Date {
    return new Date(this.elapsed);
  }

  monotonic(): number {
    return this.elapsed;
  }

  after(delay: number, callback: () => void): Cancel {
    return this.addTimer(delay, 0, callback);
  }

  every(period: number, callback: () => void): Cancel {
    return this.addTimer(period, period, callback);
  }

  /**
   * Moves time forward by `duration` milliseconds and fires each timer that
   * falls due, in order of time, then of creation.
   */
  advance(duration: number): void {
    const end = this.elapsed + duration;
    let timer = this.earliestTimerUntil(end);
    while (timer) {
      this.elapsed = timer.due;
      this.fire(timer);
      timer = this.earliestTimerUntil(end);
    }
    this.elapsed = end;
  }

  private addTimer(
    delay: number,
    period: number,
    callback: () => void,
  ): Cancel {
    const due = this.elapsed + delay;
    const timer = {due, sequence: this.timersCreated++, period, callback};
    this.timers.add(timer);
    return () => this.timers.delete(timer);
  }

  private earliestTimerUntil(end: number): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of this.timers) {
      if (timer.due > end) continue;
      const isEarlier =
        !first ||
        timer.due < first.due ||
        (timer.due === first.due && timer.sequence < first.sequence);
      if (isEarlier) first = timer;
    }
    return first;
  }

  private fire(timer: Timer): void {
    if (timer.period > 0) timer.due += timer.period;
    else this.timers.delete(timer);
    timer.callback();
  }
}
