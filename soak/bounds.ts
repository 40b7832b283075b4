/** The bounds that a soak holds processes to, as decisions about what was read. */

/** Milliseconds within which a host is ready, once all is there that it waits for. */
const START_MILLISECONDS_MOST = 10_000;
/** Milliseconds of processor time in which Node itself has started. */
const BOOT_PROCESSOR_MILLISECONDS = 250;

/** What is known of a process when a signal comes. */
export interface SignalReading {
  /** Milliseconds of processor time since its start. */
  readonly processorTime: number;
  /** Whether the first line of the program has run: it listens for SIGHUP. */
  readonly listens: boolean;
}

/** What is known of a host that starts. */
export interface StartReading {
  readonly isReady: boolean;
  /** Whether something is missing that it waits for. */
  readonly isBlocked: boolean;
  /** Milliseconds for which its main thread has waited for a processor so far. */
  readonly processorWait: number;
  /** Whether the soak, and with it the store, was late itself since the last reading. */
  readonly isStarved: boolean;
}

/** The start of one process, against its bound. */
export class StartBound {
  private begunAt: number;
  private lastAt: number;
  private waitBefore = 0;

  constructor(now: number) {
    this.begunAt = now;
    this.lastAt = now;
  }

  /** Whether the host is overdue; time in which it is blocked or all are late does not count. */
  isOverdue(
    {isReady, isBlocked, processorWait, isStarved}: StartReading,
    now: number,
  ): boolean {
    if (isStarved) this.begunAt += now - this.lastAt;
    this.lastAt = now;
    if (isReady || isBlocked) {
      this.begunAt = now;
      this.waitBefore = processorWait;
    }
    const waited = processorWait - this.waitBefore;
    return now - this.begunAt - waited > START_MILLISECONDS_MOST;
  }
}

/** Whether Node itself was still starting when a signal came. */
export function isBooting({processorTime, listens}: SignalReading): boolean {
  return !listens && processorTime < BOOT_PROCESSOR_MILLISECONDS;
}

/** Whether the platform ends a process for its resident memory. */
export function isTooLarge(resident: number, limit: number): boolean {
  return resident > limit;
}
