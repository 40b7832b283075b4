/** Dispatches queued requests again without an event on this host. */
import type {Admission} from '../admission/index.js';
import type {Cancel, Clock} from '../clock/index.js';

/**
 * Milliseconds between two dispatches while requests are queued, since a
 * response to another host frees capacity without an event on this one.
 */
const REDISPATCH_DELAY_MILLISECONDS = 25;

/** Dispatches the requests of an admission queue periodically. */
export class Redispatcher {
  private cancel: Cancel | undefined;

  constructor(
    private readonly admission: Admission,
    private readonly clock: Clock,
  ) {}

  /**
   * Dispatches queued requests periodically while there are any, for capacity
   * that becomes free without a response on this host.
   */
  redispatchSoon(): void {
    if (this.cancel || this.admission.waiting === 0) return;
    this.cancel = this.clock.after(REDISPATCH_DELAY_MILLISECONDS, () => {
      this.cancel = undefined;
      this.admission.dispatch();
      this.redispatchSoon();
    });
  }
}
