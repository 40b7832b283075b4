/**
 * The signals to reload and to stop. Without a listener any of them would end the
 * process, and they may arrive while the program is still loading. So the program
 * listens from its first line: a reload waits until the host can reload, and a
 * stop is handled by what is running at the time.
 */
import type {EventEmitter} from 'node:events';

const RELOAD_SIGNAL = 'SIGHUP';
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** A signal that stops the process. */
export type StopSignal = (typeof STOP_SIGNALS)[number];

/** Handles the signals; a reload from before its handler is set is held back. */
export class ProcessSignals {
  /** Whether a reload signal arrived before its handler was set. */
  private isReloadPending = false;
  private reload: (() => void) | undefined;

  /** Calls `stop` on each signal to stop, until `onStop` replaces it. */
  constructor(
    source: EventEmitter,
    private stop: (signal: StopSignal) => void,
  ) {
    for (const signal of STOP_SIGNALS)
      source.on(signal, () => this.stop(signal));
    source.on(RELOAD_SIGNAL, () => {
      if (this.reload) this.reload();
      else this.isReloadPending = true;
    });
  }

  /**
   * Sets the handler, which is called on each signal. Calls it once immediately
   * if any signals arrived before.
   *
   * ```ts
   * signals.onReload(() => host.reload(readSettings()));
   * ```
   */
  onReload(callback: () => void): void {
    this.reload = callback;
    if (this.isReloadPending) callback();
    this.isReloadPending = false;
  }

  /**
   * Replaces the handler of the signals to stop.
   *
   * ```ts
   * signals.onStop(() => drainAndExit());
   * ```
   */
  onStop(callback: (signal: StopSignal) => void): void {
    this.stop = callback;
  }
}
