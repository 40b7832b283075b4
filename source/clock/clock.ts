/**
 * Components receive their clock as a parameter, so that decisions can be
 * replayed and tested without waiting. Durations and monotonic time are numbers
 * of milliseconds; wall-clock time is a `Date`. Only monotonic time is used for
 * decisions. A `Date` is for people and for records that they read.
 */

/** Stops a timer. Stopping a one-shot timer that has fired does nothing. */
export type Cancel = () => void;

/** The source of time and timers for all code outside the decision modules. */
export interface Clock {
  /** Wall-clock time, for logs and reports. */
  now(): Date;
  /**
   * Milliseconds on a clock that is never adjusted. The origin is arbitrary: only
   * differences between two readings mean anything.
   */
  monotonic(): number;
  /** Calls `callback` once, after `delay` milliseconds. */
  after(delay: number, callback: () => void): Cancel;
  /** Calls `callback` every `period` milliseconds until it is stopped. */
  every(period: number, callback: () => void): Cancel;
}

/**
 * The clock and timers of the machine.
 *
 * ```ts
 * const clock = new SystemClock();
 * const cancel = clock.after(500, () => retry());
 * ```
 */
export class SystemClock implements Clock {
  now(): Date {
    return new Date();
  }

  monotonic(): number {
    return performance.now();
  }

  after(delay: number, callback: () => void): Cancel {
    const timer = setTimeout(callback, delay);
    return () => clearTimeout(timer);
  }

  every(period: number, callback: () => void): Cancel {
    const timer = setInterval(callback, period);
    return () => clearInterval(timer);
  }
}
