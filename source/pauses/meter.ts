/** Measures the pauses of the stream that one caller gets. */
import type {Metrics} from '../metrics/index.js';

/** The pauses of one stream, across all attempts at it. */
export class PauseMeter {
  kept = 0;
  exceeded = 0;
  private lastEventAt: number | undefined;

  /** `limit` is the longest pause in milliseconds that is in time. */
  constructor(private readonly limit: number) {}

  /**
   * Records events that are sent at a monotonic time; returns the milliseconds
   * since the ones before, undefined for the first.
   *
   * ```ts
   * const gap = meter.recordEvent(clock.monotonic());
   * ```
   */
  recordEvent(now: number): number | undefined {
    const {lastEventAt} = this;
    this.lastEventAt = now;
    if (lastEventAt === undefined) return undefined;
    const gap = now - lastEventAt;
    if (gap > this.limit) this.exceeded++;
    else this.kept++;
    return gap;
  }
}

/**
 * Counts the pauses of a stream that has ended by its route.
 *
 * ```ts
 * countPauses(metrics, route.name, context.pauses);
 * ```
 */
export function countPauses(
  metrics: Metrics,
  route: string,
  {kept, exceeded}: PauseMeter,
): void {
  if (kept > 0) metrics.count('pause', {route, result: 'kept'}, kept);
  if (exceeded > 0)
    metrics.count('pause', {route, result: 'exceeded'}, exceeded);
}
