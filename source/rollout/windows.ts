/**
 * Evidence by time, so that trouble of some seconds is compared with what the old
 * version had in the same seconds.
 */
import {evidenceSince, type Evidence} from './evidence.js';

/** Length of a window: trouble that begins in its midst is diluted little. */
const WINDOW_MILLISECONDS = 1_000;
/** Windows that are kept; older trouble counts for the whole time only. */
const MAX_WINDOWS = 30;
/** Windows that count as recent: enough for some answers of a small share. */
const RECENT_WINDOWS = 3;

interface Snapshot {
  readonly at: number;
  readonly evidence: Evidence;
}

/** The windows of cumulative evidence. */
export class EvidenceWindows {
  private windows: readonly Evidence[] = [];
  /** The evidence at the ends of the last windows, the oldest first. */
  private snapshots: readonly Snapshot[] = [];

  /** Takes the evidence until now, in monotonic milliseconds. */
  update(evidence: Evidence, now: number): void {
    const last = this.snapshots.at(-1);
    if (last && now - last.at < WINDOW_MILLISECONDS) return;
    if (last) {
      const window = evidenceSince(evidence, last.evidence);
      this.windows = [...this.windows, window].slice(-MAX_WINDOWS);
    }
    const snapshots = [...this.snapshots, {at: now, evidence}];
    this.snapshots = snapshots.slice(-RECENT_WINDOWS);
  }

  /** The evidence of each window, and of the time after the last one. */
  of(evidence: Evidence): readonly Evidence[] {
    const last = this.snapshots.at(-1);
    if (!last) return [];
    return [...this.windows, evidenceSince(evidence, last.evidence)];
  }

  /** The evidence of the last seconds. */
  recent(evidence: Evidence): Evidence {
    const [first] = this.snapshots;
    return first ? evidenceSince(evidence, first.evidence) : evidence;
  }
}
