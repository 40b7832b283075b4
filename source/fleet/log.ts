/**
 * The log's records among hosts. A host that cannot reach the log gets them
 * from one that has applied more, with their offsets, so a withdrawal reaches
 * every host that can reach any host that knows of it.
 */
import {
  afterGap,
  foldEntry,
  fromSnapshot,
  isComplete,
  takeSnapshot,
  type Fold,
  type Folded,
} from '../log/index.js';
import type {Message} from '../messages/index.js';
import type {Metrics} from '../metrics/index.js';
import {
  logRecordSchema,
  type LogEntry,
  type LogRecord,
} from '../platform/index.js';

/** Entries that are kept for other hosts. */
const ENTRIES_KEPT = 4_096;
/** Entries in one message. */
const ENTRIES_SENT_MOST = 1_024;

type LogEntries = Extract<Message, {kind: 'log-entries'}>;

/** What a log desk is made from. */
export interface LogDeskOptions {
  readonly metrics: Metrics;
  /** Called for each record that was applied, in order. */
  readonly applied: (folded: Folded, entry: LogEntry) => void;
  /** Called for each record with claims, which are read apart. */
  readonly claims: (
    record: Extract<LogRecord, {kind: 'claims'}>,
    offset: number,
  ) => void;
  /** Called after a run of entries. */
  readonly changed: (before: Fold, after: Fold) => void;
}

/** The fold of a host, and the entries that it can pass on. */
export class LogDesk {
  private readonly recent: LogEntry[] = [];
  /** Offset of the next entry to read claims from; undefined until it is known. */
  private claimsNext: number | undefined;

  constructor(
    public fold: Fold,
    private readonly options: LogDeskOptions,
  ) {}

  /** Offset of the next entry to ask the log for. */
  get next(): number {
    return Math.min(this.fold.next, this.claimsNext ?? this.fold.next);
  }

  /** Whether every claim that the log holds has been read. */
  get claimsComplete(): boolean {
    return this.claimsNext !== undefined && this.claimsNext >= this.fold.next;
  }

  /** Begins with the first entry that the log holds. */
  start(first: number): void {
    this.claimsNext ??= first;
    if (first > this.claimsNext) this.claimsNext = first;
    if (first > this.fold.next) {
      this.options.metrics.count('log-gap');
      this.fold = afterGap(this.fold, first);
    }
  }

  /** Applies entries, from the log or from another host. */
  take(entries: readonly LogEntry[]): void {
    const before = this.fold;
    for (const entry of entries) this.takeEntry(entry);
    if (this.fold !== before) this.options.changed(before, this.fold);
  }

  /** Answers a host that asks for entries from an offset. */
  answer(from: number): LogEntries | undefined {
    const {fold, recent} = this;
    const oldest = recent[0]?.offset ?? fold.next;
    if (from < oldest) {
      if (!isComplete(fold)) return undefined;
      return {kind: 'log-entries', snapshot: takeSnapshot(fold), entries: []};
    }
    const start = from - oldest;
    const entries = recent.slice(start, start + ENTRIES_SENT_MOST);
    return {kind: 'log-entries', entries: entries.map(entry => ({...entry}))};
  }

  /** Takes over what another host has answered. */
  takeAnswer({snapshot, entries}: LogEntries): void {
    if (snapshot && snapshot.covers >= this.fold.next) {
      const before = this.fold;
      this.fold = fromSnapshot(before, snapshot);
      this.recent.length = 0;
      this.options.changed(before, this.fold);
    }
    this.options.metrics.count('log-relayed', {}, entries.length);
    this.take(entries);
  }

  private takeEntry(entry: LogEntry): void {
    const isClaimsNext = entry.offset === this.claimsNext;
    if (isClaimsNext) this.claimsNext = entry.offset + 1;
    const isNext = entry.offset === this.fold.next;
    if (!isNext && !isClaimsNext) return;
    const folded = foldEntry(this.fold, entry);
    const record = isNext ? folded.record : recordOf(entry);
    if (isClaimsNext && record?.kind === 'claims') {
      this.options.claims(record, entry.offset);
    }
    if (!isNext) return;
    this.fold = folded.fold;
    this.recent.push(entry);
    if (this.recent.length > ENTRIES_KEPT) this.recent.shift();
    this.options.applied(folded, entry);
  }
}

function recordOf(entry: LogEntry): LogRecord | undefined {
  const parsed = logRecordSchema.safeParse(entry.value);
  return parsed.success ? parsed.data : undefined;
}
