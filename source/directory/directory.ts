/**
 * The endpoints that a host may use, from their entries in the store. An entry
 * that is removed while the store is well means that the endpoint has left.
 * Entries also lapse while the store is away, though their endpoints live, so
 * one that is missing after an outage is kept for a while before it is gone.
 */
import type {EndpointEntry} from './entry.js';

/** Milliseconds after an outage in which entries may lapse. */
const OUTAGE_MILLISECONDS = 2_500;
/** Milliseconds for which a lapsed entry is waited for at the most. */
const LAPSE_MILLISECONDS_MOST = 1_500;
/**
 * Milliseconds of the time in which a leaving endpoint may still be sent to
 * that pass before a host has word of it and before a request is there.
 */
const WORD_MILLISECONDS = 500;
/** Share of a service's entries that go at once only when they lapse. */
const LAPSE_SHARE = 0.5;
const LAPSE_ENTRIES_LEAST = 3;

/** An endpoint, as a host knows it. */
export interface KnownEndpoint {
  readonly entry: EndpointEntry;
  /** Monotonic milliseconds at which this start of it became known. */
  readonly knownAt: number;
  /** Monotonic milliseconds until which it is in its cold start. */
  readonly coldUntil: number;
  /** Monotonic milliseconds at which a lapsed one is gone. */
  readonly lapsesAt: number | undefined;
}

/** The endpoints by id. */
export type Directory = ReadonlyMap<string, KnownEndpoint>;

/** An entry that was read; without one it is gone, or says nothing usable. */
export interface EntryChange {
  readonly id: string;
  readonly entry: EndpointEntry | undefined;
}

/** What is known of the store at the time of a change. */
export interface StoreHealth {
  readonly now: number;
  /** Monotonic milliseconds at which the store was last found away. */
  readonly lostAt: number;
  /** Milliseconds for which a lapsed entry is waited for. */
  readonly lapse: number;
}

/**
 * Milliseconds for which a lapsed entry is waited for. It may mean that the
 * endpoint leaves, and one that leaves may be sent to for so long only.
 *
 * ```ts
 * const lapse = lapseTime(settings.drainMilliseconds);
 * ```
 */
export function lapseTime(drain: number): number {
  const rest = Math.max(drain - WORD_MILLISECONDS, 0);
  return Math.min(rest, LAPSE_MILLISECONDS_MOST);
}

/**
 * The directory after a run of changes.
 *
 * ```ts
 * directory = afterEntries(directory, changes, {now, lostAt});
 * ```
 */
export function afterEntries(
  before: Directory,
  changes: readonly EntryChange[],
  health: StoreHealth,
): Directory {
  const after = new Map(before);
  const lapses = lapsing(before, changes, health);
  for (const {id, entry} of changes) {
    const known = after.get(id);
    if (entry) after.set(id, knownAs(known, entry, health.now));
    else if (known && lapses) after.set(id, lapsed(known, health));
    else after.delete(id);
  }
  return after;
}

/** The directory without the entries that were waited for in vain. */
export function afterLapses(before: Directory, now: number): Directory {
  const overdue = [...before].filter(
    ([, {lapsesAt}]) => lapsesAt !== undefined && now >= lapsesAt,
  );
  if (overdue.length === 0) return before;
  const after = new Map(before);
  for (const [id] of overdue) after.delete(id);
  return after;
}

function knownAs(
  known: KnownEndpoint | undefined,
  entry: EndpointEntry,
  now: number,
): KnownEndpoint {
  const same = known !== undefined && known.entry.born === entry.born;
  return {
    entry,
    knownAt: same ? known.knownAt : now,
    coldUntil: entry.coldFor > 0 ? now + entry.coldFor : -Infinity,
    lapsesAt: undefined,
  };
}

function lapsed(
  known: KnownEndpoint,
  {now, lapse}: StoreHealth,
): KnownEndpoint {
  return {...known, lapsesAt: known.lapsesAt ?? now + lapse};
}

/** Whether removals are lapses: after an outage, or when most go at once. */
function lapsing(
  before: Directory,
  changes: readonly EntryChange[],
  {now, lostAt}: StoreHealth,
): boolean {
  if (now - lostAt < OUTAGE_MILLISECONDS) return true;
  const removed = changes.filter(
    ({id, entry}) =>
      entry === undefined && before.get(id)?.entry.leaving === false,
  );
  const least = Math.max(LAPSE_ENTRIES_LEAST, before.size * LAPSE_SHARE);
  return removed.length >= least;
}
