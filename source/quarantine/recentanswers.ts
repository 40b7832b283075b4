/**
 * The parts with which answers of endpoints have begun recently. A part that
 * endpoints answer is not what crashes them, even if an outage cuts its requests
 * several times in a row.
 */

/** Time for which an answer speaks for a part. */
const RECENT_MILLISECONDS = 10_000;
/** Parts that are remembered; beyond that the oldest are dropped. */
const MAX_PARTS = 4_096;

/** Recently answered parts. */
export class RecentAnswers {
  /** Monotonic milliseconds of the last answer, the oldest first. */
  private readonly answers = new Map<string, number>();

  /** Records that an answer with a part has begun. */
  record(part: string, now: number): void {
    this.answers.delete(part);
    this.answers.set(part, now);
    if (this.answers.size <= MAX_PARTS) return;
    const [oldest] = this.answers.keys();
    if (oldest !== undefined) this.answers.delete(oldest);
  }

  /** Whether an answer with a part has begun recently. */
  has(part: string, now: number): boolean {
    return now - (this.answers.get(part) ?? -Infinity) < RECENT_MILLISECONDS;
  }
}
