/**
 * A clock that moves only when it is told to. Tests and measurements use it to
 * run hours of timers in one turn of the loop, in the same order every time.
 */
import type {Cancel, Clock} from './clock.js';

interface Timer {
  due: number;
  readonly order: number;
  readonly period: number;
  readonly callback: () => void;
}

/**
 * A clock under the caller's control.
 *
 * ```ts
 * const clock = new ManualClock();
 * clock.after(100, () => expire());
 * clock.advance(100); // expire() has run
 * ```
 */
export class ManualClock implements Clock {
  private elapsed = 0;
  private created = 0;
  private readonly timers = new Set<Timer>();

  now(): Date {
    return new Date(this.elapsed);
  }

  monotonic(): number {
    return this.elapsed;
  }

  after(delay: number, callback: () => void): Cancel {
    return this.add(delay, 0, callback);
  }

  every(period: number, callback: () => void): Cancel {
    return this.add(period, period, callback);
  }

  /** Moves time forward by `duration` milliseconds, firing timers in order. */
  advance(duration: number): void {
    const end = this.elapsed + duration;
    let timer = this.earliest(end);
    while (timer) {
      this.elapsed = timer.due;
      this.fire(timer);
      timer = this.earliest(end);
    }
    this.elapsed = end;
  }

  private add(delay: number, period: number, callback: () => void): Cancel {
    const due = this.elapsed + delay;
    const timer = {due, order: this.created++, period, callback};
    this.timers.add(timer);
    return () => this.timers.delete(timer);
  }

  private earliest(end: number): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of this.timers) {
      if (timer.due > end) continue;
      const sooner =
        !first ||
        timer.due < first.due ||
        (timer.due === first.due && timer.order < first.order);
      if (sooner) first = timer;
    }
    return first;
  }

  private fire(timer: Timer): void {
    if (timer.period > 0) timer.due += timer.period;
    else this.timers.delete(timer);
    timer.callback();
  }
}
