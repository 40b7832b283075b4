/**
 * Time is passed in, so that decisions can be replayed and tested without
 * waiting. Durations and monotonic readings are numbers of milliseconds, and
 * wall-clock readings are `Date` values. Only monotonic readings decide
 * anything; a `Date` is for people and for records that they read.
 */

/** Ends a timer; ending one that has fired does nothing. */
export type Cancel = () => void;

/** The source of time and timers for everything outside the decision modules. */
export interface Clock {
  /** The wall clock, for logs and reports. */
  now(): Date;
  /** Milliseconds on a clock that never steps; only differences mean anything. */
  monotonic(): number;
  /** Calls back once after `delay` milliseconds. */
  after(delay: number, callback: () => void): Cancel;
  /** Calls back every `period` milliseconds. */
  every(period: number, callback: () => void): Cancel;
}

/**
 * The clock of the machine.
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
