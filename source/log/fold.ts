/**
 * How a host's configuration follows from the log, record by record. A host
 * that joins after old records have expired cannot judge the notes it finds
 * until it has a snapshot: it keeps them, and applies those that come after
 * what the snapshot covers.
 */
import {
  applyNote,
  applySnapshot,
  emptyConfiguration,
  type Configuration,
  type ConfigurationSnapshot,
  type NoteVerdict,
  type ReleaseNote,
} from '../configuration/index.js';
import {
  logRecordSchema,
  type LogEntry,
  type LogRecord,
} from '../platform/index.js';

interface HeldNote {
  readonly offset: number;
  readonly note: ReleaseNote;
}

/** What a host has made of the log so far. */
export interface Fold {
  /** Offset of the next entry to apply. */
  readonly next: number;
  readonly configuration: Configuration;
  /** Notes that wait for a snapshot; undefined once there is a base. */
  readonly held: readonly HeldNote[] | undefined;
  /** Entries that fit no schema. */
  readonly malformed: number;
  /** Snapshots that contradict what this host has folded itself. */
  readonly diverged: number;
  /** Offset that the latest snapshot covers; -1 for none. */
  readonly snapshotCovers: number;
}

/** The fold after an entry, with what the entry was. */
export interface Folded {
  readonly fold: Fold;
  readonly record: LogRecord | undefined;
  readonly verdict: NoteVerdict | undefined;
}

/** A fold that starts at the first entry that the log still holds. */
export function emptyFold(first: number): Fold {
  return {
    next: first,
    configuration: emptyConfiguration(),
    held: first === 0 ? undefined : [],
    malformed: 0,
    diverged: 0,
    snapshotCovers: -1,
  };
}

/** Whether the fold has a base from which every note can be judged. */
export function isComplete(fold: Fold): boolean {
  return fold.held === undefined;
}

/**
 * The fold after one entry. An entry that was applied before is passed over.
 *
 * ```ts
 * for (const entry of page.entries) ({fold} = foldEntry(fold, entry));
 * ```
 */
export function foldEntry(before: Fold, entry: LogEntry): Folded {
  const {offset} = entry;
  if (offset < before.next) {
    return {fold: before, record: undefined, verdict: undefined};
  }
  const fold = {...before, next: offset + 1};
  const parsed = logRecordSchema.safeParse(entry.value);
  if (!parsed.success) {
    const malformed = fold.malformed + 1;
    return {fold: {...fold, malformed}, record: undefined, verdict: undefined};
  }
  const record = parsed.data;
  if (record.kind === 'release-note') return foldNote(fold, record, offset);
  if (record.kind === 'snapshot') {
    const after = foldSnapshot(fold, record.snapshot);
    return {fold: after, record, verdict: undefined};
  }
  return {fold, record, verdict: undefined};
}

function foldNote(
  fold: Fold,
  record: Extract<LogRecord, {kind: 'release-note'}>,
  offset: number,
): Folded {
  const {note} = record;
  if (fold.held) {
    const held = [...fold.held, {offset, note}];
    return {fold: {...fold, held}, record, verdict: undefined};
  }
  const {configuration, verdict} = applyNote(fold.configuration, note, offset);
  return {fold: {...fold, configuration}, record, verdict};
}

function foldSnapshot(fold: Fold, snapshot: ConfigurationSnapshot): Fold {
  const {configuration} = fold;
  const covers = Math.max(fold.snapshotCovers, snapshot.offset);
  if (!fold.held) {
    const same = snapshot.offset === configuration.offset;
    const differs = same && snapshot.digest !== configuration.digest;
    const diverged = fold.diverged + (differs ? 1 : 0);
    return {...fold, snapshotCovers: covers, diverged};
  }
  let after = applySnapshot(configuration, snapshot);
  for (const {offset, note} of fold.held) {
    ({configuration: after} = applyNote(after, note, offset));
  }
  return {
    ...fold,
    configuration: after,
    held: undefined,
    snapshotCovers: covers,
  };
}
