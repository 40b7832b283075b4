/**
 * Applies the entries of the log and relays them between hosts. A host that
 * cannot reach the log gets entries, with their offsets, from a host that has
 * applied more, so that a withdrawal reaches every host that can reach any host
 * that knows of it.
 */
import {
  stateAfterGap,
  applyEntry,
  stateFromSnapshot,
  isComplete,
  takeSnapshot,
  type LogState,
  type AppliedEntry,
} from '../log/index.js';
import type {Message} from '../messages/index.js';
import type {Metrics} from '../metrics/index.js';
import {
  logRecordSchema,
  type LogEntry,
  type LogRecord,
} from '../platform/index.js';

/** Recent entries that are kept for other hosts. */
const MAX_RECENT_ENTRIES = 4_096;
/** Most entries in one message. */
const MAX_ENTRIES_PER_MESSAGE = 1_024;

type LogEntries = Extract<Message, {kind: 'log-entries'}>;

/** Dependencies and callbacks of `LogReplica`. */
export interface LogReplicaOptions {
  readonly metrics: Metrics;
  /**
   * Called for each entry that was applied, in order. `folded` has no record if
   * the entry is malformed.
   */
  readonly applied: (folded: AppliedEntry, entry: LogEntry) => void;
  /** Called for each claims record; claims have their own read position. */
  readonly claims: (
    record: Extract<LogRecord, {kind: 'claims'}>,
    offset: number,
  ) => void;
  /** Called after a batch of entries or a snapshot has changed the fold. */
  readonly changed: (before: LogState, after: LogState) => void;
}

/** A host's fold of the log, and the recent entries that it can relay. */
export class LogReplica {
  private readonly recent: LogEntry[] = [];
  /** Offset of the next entry to read claims from; undefined before `start`. */
  private nextClaimsOffset: number | undefined;

  constructor(
    public fold: LogState,
    private readonly options: LogReplicaOptions,
  ) {}

  /** Offset of the next entry to request from the log. */
  get next(): number {
    return Math.min(this.fold.next, this.nextClaimsOffset ?? this.fold.next);
  }

  /** Whether every claim that the log holds has been read. */
  get claimsComplete(): boolean {
    return (
      this.nextClaimsOffset !== undefined &&
      this.nextClaimsOffset >= this.fold.next
    );
  }

  /**
   * Sets the offset of the first entry that the log still holds. If entries
   * before it were missed, the fold waits for a snapshot to build on.
   */
  start(first: number): void {
    this.nextClaimsOffset ??= first;
    if (first > this.nextClaimsOffset) this.nextClaimsOffset = first;
    if (first > this.fold.next) {
      this.options.metrics.count('log-gap');
      this.fold = stateAfterGap(this.fold, first);
    }
  }

  /**
   * Applies entries from the log or from another host. Skips those that were
   * applied before or do not follow the last one.
   */
  applyEntries(entries: readonly LogEntry[]): void {
    const before = this.fold;
    for (const entry of entries) this.applyEntry(entry);
    if (this.fold !== before) this.options.changed(before, this.fold);
  }

  /**
   * The response to a host that requests entries from an offset: entries, or a
   * snapshot if entries from that offset are no longer kept. Undefined if a
   * snapshot is needed and this fold is not complete enough for one.
   */
  answer(from: number): LogEntries | undefined {
    const {fold, recent} = this;
    const oldest = recent[0]?.offset ?? fold.next;
    if (from < oldest) {
      if (!isComplete(fold)) return undefined;
      return {kind: 'log-entries', snapshot: takeSnapshot(fold), entries: []};
    }
    const start = from - oldest;
    const entries = recent.slice(start, start + MAX_ENTRIES_PER_MESSAGE);
    return {kind: 'log-entries', entries: entries.map(entry => ({...entry}))};
  }

  /**
   * Applies another host's response, as returned by `answer`. A snapshot that
   * covers less than this host has applied is ignored.
   */
  applyAnswer({snapshot, entries}: LogEntries): void {
    if (snapshot && snapshot.covers >= this.fold.next) {
      const before = this.fold;
      this.fold = stateFromSnapshot(before, snapshot);
      this.recent.length = 0;
      this.options.changed(before, this.fold);
    }
    this.options.metrics.count('log-relayed', {}, entries.length);
    this.applyEntries(entries);
  }

  private applyEntry(entry: LogEntry): void {
    const isNextForClaims = entry.offset === this.nextClaimsOffset;
    if (isNextForClaims) this.nextClaimsOffset = entry.offset + 1;
    const isNextForFold = entry.offset === this.fold.next;
    if (!isNextForFold && !isNextForClaims) return;
    const folded = applyEntry(this.fold, entry);
    const record = isNextForFold ? folded.record : parseRecord(entry);
    if (isNextForClaims && record?.kind === 'claims') {
      this.options.claims(record, entry.offset);
    }
    if (!isNextForFold) return;
    this.fold = folded.state;
    this.recent.push(entry);
    if (this.recent.length > MAX_RECENT_ENTRIES) this.recent.shift();
    this.options.applied(folded, entry);
  }
}

function parseRecord(entry: LogEntry): LogRecord | undefined {
  const parsed = logRecordSchema.safeParse(entry.value);
  return parsed.success ? parsed.data : undefined;
}
