/**
 * Derives a host's state from the log, record by record. All functions are
 * pure. A host that joins after old records have expired can't evaluate the
 * remaining ones without a snapshot: it keeps the entries that it reads, and
 * once it has a snapshot, applies those that come after the snapshot's offset.
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

/** The state that the log determines, without the claims (see ClaimTable). */
export interface FleetState {
  readonly configuration: Configuration;
  readonly leases: Leases;
  readonly usage: UsageLedger;
}

/** What a host has derived from the log so far, and how far it has read. */
export interface Fold extends FleetState {
  /** Offset of the first entry read since the last gap. */
  readonly first: number;
  /** Offset of the next entry to apply. */
  readonly next: number;
  /** Entries that wait for a snapshot; undefined if the state is complete. */
  readonly held: readonly LogEntry[] | undefined;
  /** Number of entries that no record schema accepts. */
  readonly malformed: number;
  /**
   * Number of snapshots whose configuration has the offset of this host's, but
   * another digest.
   */
  readonly diverged: number;
  /** Highest offset that a snapshot covers; -1 if none was read. */
  readonly snapshotCovers: number;
}

/**
 * The state after an entry, with the entry's record: undefined if the entry was
 * skipped or malformed.
 */
export interface Folded {
  readonly fold: Fold;
  readonly record: LogRecord | undefined;
  /**
   * Whether a release note took effect; undefined for other records, and for a
   * note that waits for a snapshot.
   */
  readonly verdict: NoteVerdict | undefined;
}

/**
 * Returns the state before any entry is applied, for a log whose first entry
 * has the offset `first`. It needs a snapshot unless that is 0.
 */
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
 * Returns the state of a host that may have missed entries before `first`, the
 * first offset that the log still holds. If it has, the configuration, leases
 * and usage stay in force until a snapshot replaces them.
 */
export function afterGap(before: Fold, first: number): Fold {
  if (first <= before.next) return before;
  return {...before, first, next: first, held: []};
}

/**
 * Returns the state of a host that adopts a snapshot from another host. Entries
 * that waited for a snapshot are dropped; those after the snapshot's offset
 * have to be read again.
 */
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

/** Whether no entry is missing, so that every record can be evaluated. */
export function isComplete(state: Fold): boolean {
  return state.held === undefined;
}

/**
 * Returns the state after one entry. An entry that was applied before is
 * skipped, and so is one that does not follow the last: the caller has to read
 * again from `next`.
 *
 * ```ts
 * for (const entry of page.entries) ({state} = applyEntry(state, entry));
 * ```
 */
export function foldEntry(before: Fold, entry: LogEntry): Folded {
  if (entry.offset !== before.next) {
    return {fold: before, record: undefined, verdict: undefined};
  }
  const advanced = {...before, next: entry.offset + 1};
  const parsed = logRecordSchema.safeParse(entry.value);
  if (!parsed.success) {
    const malformed = advanced.malformed + 1;
    return {
      fold: {...advanced, malformed},
      record: undefined,
      verdict: undefined,
    };
  }
  const record = parsed.data;
  if (record.kind === 'snapshot') {
    const after = applySnapshotRecord(advanced, record.snapshot);
    return {fold: after, record, verdict: undefined};
  }
  if (advanced.held) {
    const pending = [...advanced.held, entry];
    return {fold: {...advanced, held: pending}, record, verdict: undefined};
  }
  return applyRecord(advanced, record, entry.offset);
}

function applyRecord(before: Fold, record: LogRecord, offset: number): Folded {
  switch (record.kind) {
    case 'release-note': {
      const after = applyNote(before.configuration, record.note, offset);
      const {configuration, verdict} = after;
      return {fold: {...before, configuration}, record, verdict};
    }
    case 'lease': {
      const leases = foldLease(before.leases, record, offset);
      return {fold: {...before, leases}, record, verdict: undefined};
    }
    case 'usage-freeze': {
      const usage = foldFreeze(before.usage, record, before.leases);
      return {fold: {...before, usage}, record, verdict: undefined};
    }
    case 'usage-reported': {
      const usage = foldReported(before.usage, record);
      return {fold: {...before, usage}, record, verdict: undefined};
    }
    default:
      return {fold: before, record, verdict: undefined};
  }
}

/**
 * Applies a snapshot to a state that waits for one; otherwise only compares the
 * two configurations.
 */
function applySnapshotRecord(before: Fold, snapshot: Snapshot): Fold {
  const snapshotCovers = Math.max(before.snapshotCovers, snapshot.covers);
  if (before.held)
    return rebuildFromSnapshot(
      {...before, snapshotCovers},
      before.held,
      snapshot,
    );
  const {offset, digest} = snapshot.configuration;
  const same = offset === before.configuration.offset;
  const differs = same && digest !== before.configuration.digest;
  const diverged = before.diverged + (differs ? 1 : 0);
  return {...before, snapshotCovers, diverged};
}

/**
 * Restores a snapshot and applies the pending entries that come after it.
 * Returns the state unchanged if entries between the two have expired.
 */
function rebuildFromSnapshot(
  before: Fold,
  pending: readonly LogEntry[],
  snapshot: Snapshot,
): Fold {
  const {first, next} = before;
  if (snapshot.covers < first - 1) return before;
  let after: Fold = {...before, ...restore(snapshot), held: undefined};
  for (const entry of pending) {
    if (entry.offset <= snapshot.covers) continue;
    const parsed = logRecordSchema.safeParse(entry.value);
    if (parsed.success)
      ({fold: after} = applyRecord(after, parsed.data, entry.offset));
  }
  return {...after, next};
}
