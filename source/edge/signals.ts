/**
 * The reload signal, SIGHUP. Without a listener it would end the process, and it
 * may arrive while the program is still loading. So the program listens from the
 * start and keeps the signal until the host can reload.
 */
import type {EventEmitter} from 'node:events';

const RELOAD_SIGNAL = 'SIGHUP';

/** Handles reload signals, and holds back those from before the handler is set. */
export class ReloadSignals {
  /** Whether a signal arrived before the handler was set. */
  private isPending = false;
  private handler: (() => void) | undefined;

  constructor(source: EventEmitter) {
    source.on(RELOAD_SIGNAL, () => {
      if (this.handler) this.handler();
      else this.isPending = true;
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
    this.handler = callback;
    if (this.isPending) callback();
    this.isPending = false;
  }
}
