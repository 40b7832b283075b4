/**
 * The signals to a daemon. Without a listener any of them would end it at once,
 * and they may arrive while the program is still loading. SIGHUP asks daemons to
 * read their settings again; those of this one are flags, so it changes nothing.
 */
import type {EventEmitter} from 'node:events';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const RELOAD_SIGNAL = 'SIGHUP';

/** Handles the signals of a process. */
export class DaemonSignals {
  /** Calls `stop` on each signal to stop, until `onStop` replaces it. */
  constructor(
    source: EventEmitter,
    private stop: (signal: string) => void,
  ) {
    for (const signal of STOP_SIGNALS)
      source.on(signal, () => this.stop(signal));
    source.on(RELOAD_SIGNAL, () => {});
  }

  /**
   * Replaces the handler of the signals to stop.
   *
   * ```ts
   * signals.onStop(() => drainAndExit());
   * ```
   */
  onStop(callback: (signal: string) => void): void {
    this.stop = callback;
  }
}
