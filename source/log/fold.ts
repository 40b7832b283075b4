/**
 * How a host's view of the fleet follows from the log, record by record. A
 * host that joins after old records have expired cannot judge what it finds
 * until it has a snapshot: it keeps the entries, and applies those that come
 * after what the snapshot covers.
 */
import {
  applyNote,
  emptyConfiguration,
  type Configuration,
  type NoteVerdict,
} from '../configuration/index.js';
import {foldLease, type Leases} from '../lease/index.js';
import {
  logRecordSchema,
  type LogEntry,
  type LogRecord,
  type Snapshot,
} from '../platform/index.js';
import {
  emptyLedger,
  foldFreeze,
  foldReported,
  type UsageLedger,
} from '../usage/index.js';
import {restore} from './snapshot.js';

/** What follows from the log, but for claims. */
export interface FleetState {
  readonly configuration: Configuration;
  readonly leases: Leases;
  readonly usage: UsageLedger;
}

/** What a host has made of the log so far. */
export interface Fold extends FleetState {
  /** Offset of the first entry that was read since the last gap. */
  readonly first: number;
  /** Offset of the next entry to apply. */
  readonly next: number;
  /** Entries that wait for a snapshot; undefined once there is a base. */
  readonly held: readonly LogEntry[] | undefined;
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
    configuration: emptyConfiguration(),
    leases: new Map(),
    usage: emptyLedger(),
    first,
    next: first,
    held: first === 0 ? undefined : [],
    malformed: 0,
    diverged: 0,
    snapshotCovers: -1,
  };
}

/**
 * The fold of a host that fell behind what the log still holds. What was in
 * force stays so until a snapshot gives it a new base.
 */
export function afterGap(before: Fold, first: number): Fold {
  if (first <= before.next) return before;
  return {...before, first, next: first, held: []};
}

/** The fold of a host that takes over what a snapshot covers. */
export function fromSnapshot(before: Fold, snapshot: Snapshot): Fold {
  const next = snapshot.covers + 1;
  const {covers: snapshotCovers} = snapshot;
  return {
    ...before,
    ...restore(snapshot),
    first: next,
    next,
    held: undefined,
    snapshotCovers,
  };
}

/** Whether the fold has a base from which every record can be judged. */
export function isComplete(fold: Fold): boolean {
  return fold.held === undefined;
}

/**
 * The fold after one entry. An entry that was applied before is passed over,
 * and so is one that does not follow the last: its reader has to ask again.
 *
 * ```ts
 * for (const entry of page.entries) ({fold} = foldEntry(fold, entry));
 * ```
 */
export function foldEntry(before: Fold, entry: LogEntry): Folded {
  if (entry.offset !== before.next) {
    return {fold: before, record: undefined, verdict: undefined};
  }
  const fold = {...before, next: entry.offset + 1};
  const parsed = logRecordSchema.safeParse(entry.value);
  if (!parsed.success) {
    const malformed = fold.malformed + 1;
    return {fold: {...fold, malformed}, record: undefined, verdict: undefined};
  }
  const record = parsed.data;
  if (record.kind === 'snapshot') {
    const after = foldSnapshot(fold, record.snapshot);
    return {fold: after, record, verdict: undefined};
  }
  if (fold.held) {
    const held = [...fold.held, entry];
    return {fold: {...fold, held}, record, verdict: undefined};
  }
  return foldRecord(fold, record, entry.offset);
}

function foldRecord(fold: Fold, record: LogRecord, offset: number): Folded {
  switch (record.kind) {
    case 'release-note': {
      const after = applyNote(fold.configuration, record.note, offset);
      const {configuration, verdict} = after;
      return {fold: {...fold, configuration}, record, verdict};
    }
    case 'lease': {
      const leases = foldLease(fold.leases, record, offset);
      return {fold: {...fold, leases}, record, verdict: undefined};
    }
    case 'usage-freeze': {
      const usage = foldFreeze(fold.usage, record, fold.leases);
      return {fold: {...fold, usage}, record, verdict: undefined};
    }
    case 'usage-reported': {
      const usage = foldReported(fold.usage, record);
      return {fold: {...fold, usage}, record, verdict: undefined};
    }
    default:
      return {fold, record, verdict: undefined};
  }
}

function foldSnapshot(fold: Fold, snapshot: Snapshot): Fold {
  const snapshotCovers = Math.max(fold.snapshotCovers, snapshot.covers);
  if (fold.held) return based({...fold, snapshotCovers}, fold.held, snapshot);
  const {offset, digest} = snapshot.configuration;
  const same = offset === fold.configuration.offset;
  const differs = same && digest !== fold.configuration.digest;
  const diverged = fold.diverged + (differs ? 1 : 0);
  return {...fold, snapshotCovers, diverged};
}

/** The fold on the base of a snapshot, if nothing between them has expired. */
function based(
  fold: Fold,
  held: readonly LogEntry[],
  snapshot: Snapshot,
): Fold {
  const {first, next} = fold;
  if (snapshot.covers < first - 1) return fold;
  let after: Fold = {...fold, ...restore(snapshot), held: undefined};
  for (const entry of held) {
    if (entry.offset <= snapshot.covers) continue;
    const parsed = logRecordSchema.safeParse(entry.value);
    if (parsed.success)
      ({fold: after} = foldRecord(after, parsed.data, entry.offset));
  }
  return {...after, next};
}
