/**
 * Cancellation of a request's work. An AbortController would say the same, but
 * each one makes an event target and each listener an event: measured over
 * whole requests, that was a tenth of the router's time.
 */

/** What can be watched for cancellation. */
export interface Signal {
  readonly aborted: boolean;
  /** Calls back once on cancellation, at once if it is past; answers how to stop. */
  onAbort(callback: () => void): () => void;
}

/**
 * A signal with its switch.
 *
 * ```ts
 * const cancellation = new Cancellation();
 * cancellation.onAbort(() => socket.destroy());
 * cancellation.abort();
 * ```
 */
export class Cancellation<Reason = undefined> implements Signal {
  aborted = false;
  reason: Reason | undefined;
  private callbacks: Array<() => void> = [];

  /** Cancels; a second call does nothing. */
  abort(reason?: Reason): void {
    if (this.aborted) return;
    this.aborted = true;
    this.reason = reason;
    for (const callback of this.callbacks.splice(0)) callback();
  }

  onAbort(callback: () => void): () => void {
    if (this.aborted) {
      callback();
      return () => {};
    }
    this.callbacks.push(callback);
    return () => {
      const index = this.callbacks.indexOf(callback);
      if (index >= 0) this.callbacks.splice(index, 1);
    };
  }
}
