/**
 * The signal that asks for a reload. It may come while the program is still
 * loading, when it would end the process, so it is listened for at once and
 * kept until somebody can obey it.
 */
import type {EventEmitter} from 'node:events';

const RELOAD = 'SIGHUP';

/** Keeps the signals that came before they could be obeyed. */
export class ReloadSignals {
  private came = false;
  private obey: (() => void) | undefined;

  constructor(source: EventEmitter) {
    source.on(RELOAD, () => {
      if (this.obey) this.obey();
      else this.came = true;
    });
  }

  /**
   * Calls back at each signal, and now if one has come already.
   *
   * ```ts
   * signals.onReload(() => host.reload(readSettings()));
   * ```
   */
  onReload(callback: () => void): void {
    this.obey = callback;
    if (this.came) callback();
    this.came = false;
  }
}
