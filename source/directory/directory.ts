/**
 * The endpoints that a host may use, from their entries in the store. An entry
 * that is removed while the store is reachable means that the endpoint has left.
 * Entries also lapse during an outage of the store, though their endpoints are
 * alive, so one that is missing after an outage is kept for a while before it is
 * removed.
 */
import type {EndpointEntry} from './entry.js';

/** Milliseconds after an outage in which a removal may be a lapse. */
const OUTAGE_GRACE_MILLISECONDS = 2_500;
/** Longest time for which a lapsed entry is kept. */
const MAX_LAPSE_GRACE_MILLISECONDS = 1_500;
/**
 * The part of an endpoint's drain time that passes before a host learns that it
 * leaves, and before a request of that host arrives.
 */
const NOTICE_DELAY_MILLISECONDS = 500;
/** Share of all entries that are removed at once only when they lapse. */
const MASS_REMOVAL_SHARE = 0.5;
/** Removals at once from which they may be lapses, in a small directory. */
const MASS_REMOVAL_MIN_ENTRIES = 3;

/** What a host knows of an endpoint. */
export interface KnownEndpoint {
  readonly entry: EndpointEntry;
  /** Monotonic milliseconds at which this incarnation of it became known. */
  readonly knownAt: number;
  /** Monotonic milliseconds until which it is in its cold start. */
  readonly coldUntil: number;
  /**
   * Monotonic milliseconds at which it is removed unless its entry returns;
   * undefined where the entry has not lapsed.
   */
  readonly removeAt: number | undefined;
}

/** The endpoints by id. */
export type Directory = ReadonlyMap<string, KnownEndpoint>;

/** A change of an endpoint's entry. */
export interface EntryChange {
  readonly id: string;
  /** The new entry; undefined where it was removed or could not be parsed. */
  readonly entry: EndpointEntry | undefined;
}

/** The time of a change, and what the host knows of the store at that time. */
export interface StoreHealth {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Monotonic milliseconds at which the store was last found unreachable. */
  readonly lostAt: number;
  /** Milliseconds for which a lapsed entry is kept. */
  readonly lapse: number;
  /** Whether the changes come from an older copy of the store. */
  readonly isRestored?: boolean;
  /**
   * Whether endpoints may still write again what the store has lost, in which
   * case a later entry may say something older.
   */
  readonly isRewritten?: boolean;
}

/**
 * Milliseconds for which a lapsed entry is kept, given the drain time of
 * endpoints in milliseconds. The removal may mean after all that the endpoint is
 * leaving, and requests may be sent to a leaving endpoint only during its drain
 * time.
 *
 * ```ts
 * const lapse = lapseTime(settings.drainMilliseconds);
 * ```
 */
export function lapseGracePeriod(drain: number): number {
  const rest = Math.max(drain - NOTICE_DELAY_MILLISECONDS, 0);
  return Math.min(rest, MAX_LAPSE_GRACE_MILLISECONDS);
}

/**
 * The directory after a batch of changes. Takes the removals in it for lapses
 * if there was an outage recently or most endpoints are removed at once.
 *
 * ```ts
 * directory = applyEntryChanges(directory, changes, {now, lostAt, lapse});
 * ```
 */
export function applyEntryChanges(
  before: Directory,
  changes: readonly EntryChange[],
  health: StoreHealth,
): Directory {
  const after = new Map(before);
  const lapses = areRemovalsLapses(before, changes, health);
  for (const {id, entry} of changes) {
    const known = after.get(id);
    if (entry && known && isOlder(entry, known.entry, health)) continue;
    if (entry) after.set(id, updatedEndpoint(known, entry, health.now));
    else if (known && lapses) after.set(id, lapsedEndpoint(known, health));
    else after.delete(id);
  }
  return after;
}

/**
 * The directory without the endpoints whose entries have lapsed and did not
 * return in time. Returns `before` itself where there are none.
 */
export function removeLapsed(before: Directory, now: number): Directory {
  const overdue = [...before].filter(
    ([, {removeAt: deadline}]) => deadline !== undefined && now >= deadline,
  );
  if (overdue.length === 0) return before;
  const after = new Map(before);
  for (const [id] of overdue) after.delete(id);
  return after;
}

/**
 * Whether an entry was written before the known one of the same endpoint, by an
 * earlier incarnation or by the same one, which can be only after the store has
 * come back from a copy. In the copy, one that does not say so is older if the
 * endpoint is known to be leaving.
 */
function isOlder(
  entry: EndpointEntry,
  known: EndpointEntry,
  {isRestored = false, isRewritten = false}: StoreHealth,
): boolean {
  if (!isRestored && !isRewritten) return false;
  if (entry.born === undefined || known.born === undefined) return false;
  if (entry.born !== known.born) return entry.born < known.born;
  if (entry.sequence === undefined || known.sequence === undefined)
    return isRestored && known.leaving && !entry.leaving;
  return entry.sequence < known.sequence;
}

function updatedEndpoint(
  known: KnownEndpoint | undefined,
  entry: EndpointEntry,
  now: number,
): KnownEndpoint {
  const isSame = known !== undefined && known.entry.born === entry.born;
  return {
    entry,
    knownAt: isSame ? known.knownAt : now,
    coldUntil: entry.coldFor > 0 ? now + entry.coldFor : -Infinity,
    removeAt: undefined,
  };
}

function lapsedEndpoint(
  known: KnownEndpoint,
  {now, lapse}: StoreHealth,
): KnownEndpoint {
  return {...known, removeAt: known.removeAt ?? now + lapse};
}

/**
 * Whether the removals in a batch are lapses: after an outage, or when most
 * entries go at once, apart from those of endpoints that were leaving anyway.
 */
function areRemovalsLapses(
  before: Directory,
  changes: readonly EntryChange[],
  {now, lostAt, isRestored}: StoreHealth,
): boolean {
  if (isRestored) return true;
  if (now - lostAt < OUTAGE_GRACE_MILLISECONDS) return true;
  const removed = changes.filter(
    ({id, entry}) =>
      entry === undefined && before.get(id)?.entry.leaving === false,
  );
  const threshold = Math.max(
    MASS_REMOVAL_MIN_ENTRIES,
    before.size * MASS_REMOVAL_SHARE,
  );
  return removed.length >= threshold;
}
