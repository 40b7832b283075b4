/**
 * The suspects with which answers of endpoints have begun recently. What endpoints
 * answer is not what crashes them, even if an outage cuts its requests several
 * times in a row.
 */
import type {SuspectKey} from './suspect.js';

/** Time for which an answer speaks for a suspect. */
const RECENT_MILLISECONDS = 10_000;
/** Suspects that are remembered; beyond that the oldest are dropped. */
const MAX_SUSPECTS = 4_096;

/** Recently answered requests and parts. */
export class RecentAnswers {
  /** Monotonic milliseconds of the last answer, the oldest first. */
  private readonly answers = new Map<SuspectKey, number>();

  /** Records that an answer with a suspect has begun. */
  record(key: SuspectKey, now: number): void {
    this.answers.delete(key);
    this.answers.set(key, now);
    if (this.answers.size <= MAX_SUSPECTS) return;
    const [oldest] = this.answers.keys();
    if (oldest !== undefined) this.answers.delete(oldest);
  }

  /** Whether an answer with a suspect has begun recently. */
  has(key: SuspectKey, now: number): boolean {
    return now - (this.answers.get(key) ?? -Infinity) < RECENT_MILLISECONDS;
  }
}
