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
import {applyLeaseRecord, type Leases} from '../lease/index.js';
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
import {restoreSnapshot} from './snapshot.js';

/** The state that the log determines, without the claims (see ClaimTable). */
export interface FleetState {
  readonly configuration: Configuration;
  readonly leases: Leases;
  readonly usage: UsageLedger;
}

/** What a host has derived from the log so far, and how far it has read. */
export interface LogState extends FleetState {
  /** Offset of the first entry read since the last gap. */
  readonly first: number;
  /** Offset of the next entry to apply. */
  readonly next: number;
  /** Entries that wait for a snapshot; undefined if the state is complete. */
  readonly pendingEntries: readonly LogEntry[] | undefined;
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
export interface AppliedEntry {
  readonly state: LogState;
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
export function initialLogState(first: number): LogState {
  return {
    configuration: emptyConfiguration(),
    leases: new Map(),
    usage: emptyLedger(),
    first,
    next: first,
    pendingEntries: first === 0 ? undefined : [],
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
export function stateAfterGap(before: LogState, first: number): LogState {
  if (first <= before.next) return before;
  return {...before, first, next: first, pendingEntries: []};
}

/**
 * Returns the state of a host that adopts a snapshot from another host. Entries
 * that waited for a snapshot are dropped; those after the snapshot's offset
 * have to be read again.
 */
export function stateFromSnapshot(
  before: LogState,
  snapshot: Snapshot,
): LogState {
  const next = snapshot.covers + 1;
  const {covers: snapshotCovers} = snapshot;
  return {
    ...before,
    ...restoreSnapshot(snapshot),
    first: next,
    next,
    pendingEntries: undefined,
    snapshotCovers,
  };
}

/** Whether no entry is missing, so that every record can be evaluated. */
export function isComplete(state: LogState): boolean {
  return state.pendingEntries === undefined;
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
export function applyEntry(before: LogState, entry: LogEntry): AppliedEntry {
  if (entry.offset !== before.next) {
    return {state: before, record: undefined, verdict: undefined};
  }
  const advanced = {...before, next: entry.offset + 1};
  const parsed = logRecordSchema.safeParse(entry.value);
  if (!parsed.success) {
    const malformed = advanced.malformed + 1;
    return {
      state: {...advanced, malformed},
      record: undefined,
      verdict: undefined,
    };
  }
  const record = parsed.data;
  if (record.kind === 'snapshot') {
    const after = applySnapshotRecord(advanced, record.snapshot);
    return {state: after, record, verdict: undefined};
  }
  if (advanced.pendingEntries) {
    const pending = [...advanced.pendingEntries, entry];
    return {
      state: {...advanced, pendingEntries: pending},
      record,
      verdict: undefined,
    };
  }
  return applyRecord(advanced, record, entry.offset);
}

function applyRecord(
  before: LogState,
  record: LogRecord,
  offset: number,
): AppliedEntry {
  switch (record.kind) {
    case 'release-note': {
      const after = applyNote(before.configuration, record.note, offset);
      const {configuration, verdict} = after;
      return {state: {...before, configuration}, record, verdict};
    }
    case 'lease': {
      const leases = applyLeaseRecord(before.leases, record, offset);
      return {state: {...before, leases}, record, verdict: undefined};
    }
    case 'usage-freeze': {
      const usage = foldFreeze(before.usage, record, before.leases);
      return {state: {...before, usage}, record, verdict: undefined};
    }
    case 'usage-reported': {
      const usage = foldReported(before.usage, record);
      return {state: {...before, usage}, record, verdict: undefined};
    }
    default:
      return {state: before, record, verdict: undefined};
  }
}

/**
 * Applies a snapshot to a state that waits for one; otherwise only compares the
 * two configurations.
 */
function applySnapshotRecord(before: LogState, snapshot: Snapshot): LogState {
  const snapshotCovers = Math.max(before.snapshotCovers, snapshot.covers);
  if (before.pendingEntries)
    return rebuildFromSnapshot(
      {...before, snapshotCovers},
      before.pendingEntries,
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
  before: LogState,
  pending: readonly LogEntry[],
  snapshot: Snapshot,
): LogState {
  const {first, next} = before;
  if (snapshot.covers < first - 1) return before;
  let after: LogState = {
    ...before,
    ...restoreSnapshot(snapshot),
    pendingEntries: undefined,
  };
  for (const entry of pending) {
    if (entry.offset <= snapshot.covers) continue;
    const parsed = logRecordSchema.safeParse(entry.value);
    if (parsed.success)
      ({state: after} = applyRecord(after, parsed.data, entry.offset));
  }
  return {...after, next};
}
