/**
 * Decides, once a host has been told to stop, whether a request can be expected to
 * end before the host does: by what such requests have taken lately, or by their
 * route's target where there were none, and never by more than its time limit. One
 * that may run only once, and is no stream, gets twice that time, since its caller
 * may not send it again after it was cut.
 */
import type {Route} from '../routing/index.js';

/** Durations of each route that are remembered. */
const MAX_DURATIONS = 32;
/** Multiple of the expected duration for requests that may run only once. */
const RUN_ONCE_FACTOR = 2;

/** A request that is about to be sent to an endpoint. */
export interface RequestToSend {
  readonly route: Route;
  /** Milliseconds until its final response is due. */
  readonly timeLeft: number;
}

/** When a host stops, and how long its requests take. */
export class StopSchedule {
  /** Monotonic milliseconds at which requests in progress are ended. */
  private stopAt = Infinity;
  /** Milliseconds that requests have taken, by route, the oldest first. */
  private readonly durations = new Map<string, number[]>();

  /** Sets the monotonic milliseconds at which requests in progress are ended. */
  announce(stopAt: number): void {
    this.stopAt = stopAt;
  }

  /** Records how long an endpoint took for a request that was answered. */
  recordDuration({name}: Route, milliseconds: number): void {
    const durations = this.durations.get(name) ?? [];
    durations.push(milliseconds);
    if (durations.length > MAX_DURATIONS) durations.shift();
    this.durations.set(name, durations);
  }

  /**
   * Whether a request may be sent now.
   *
   * ```ts
   * if (!schedule.allows(context, clock.monotonic())) refuse('the host stops');
   * ```
   */
  allows(request: RequestToSend, now: number): boolean {
    if (this.stopAt === Infinity) return true;
    return now + this.expectedDuration(request) <= this.stopAt;
  }

  private expectedDuration({route, timeLeft}: RequestToSend): number {
    const durations = this.durations.get(route.name) ?? [route.target];
    const runsOnce = !route.repeatable && !route.streaming;
    const factor = runsOnce ? RUN_ONCE_FACTOR : 1;
    return Math.min(timeLeft, Math.max(...durations) * factor);
  }
}
