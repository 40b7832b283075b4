/**
 * What a host knows of a keyed topic, as an immutable value. Offsets decide:
 * a record counts only if it is newer than what is known of its key, so pages
 * that overlap, come late or are no snapshot can never take a key back.
 */
import type {KeyedPage, KeyedRecord} from './store.js';

/** The newest record known of each key, removals among them. */
export interface KeyedState {
  readonly records: ReadonlyMap<string, KeyedRecord>;
  /** The offset to follow from; undefined before the first reading. */
  readonly next: number | undefined;
  /** Removals before this offset may have gone unseen. */
  readonly completeFrom: number;
}

/** Records that one host passes on to another. */
export interface PassedOn extends KeyedPage {
  /** Whether these are all records that there are. */
  readonly whole: boolean;
}

/** A state after a page, with the records that changed it. */
export interface KeyedUpdate {
  readonly state: KeyedState;
  readonly changes: readonly KeyedRecord[];
}

/** The state of a host that has read nothing. */
export const UNREAD: KeyedState = {
  records: new Map(),
  next: undefined,
  completeFrom: 0,
};

/**
 * The state after a run of records.
 *
 * ```ts
 * const {state, changes} = afterFollow(before, page);
 * ```
 */
export function afterFollow(before: KeyedState, page: KeyedPage): KeyedUpdate {
  const records = new Map(before.records);
  const {completeFrom} = before;
  const changes = page.records.filter(record =>
    adopt(records, record, completeFrom),
  );
  const next = Math.max(before.next ?? 0, page.end);
  return {state: {...before, records, next}, changes};
}

/**
 * The state after the newest records of all keys. A key that is missing has
 * been removed, unless what is known of it is newer than the page.
 *
 * ```ts
 * const {state, changes} = afterReload(UNREAD, await store.newest(topic, 1000));
 * ```
 */
export function afterReload(before: KeyedState, page: KeyedPage): KeyedUpdate {
  const listed = new Set(page.records.map(({key}) => key));
  const removed: KeyedRecord[] = [];
  for (const {key, value, offset} of before.records.values()) {
    const missing = value !== undefined && !listed.has(key);
    if (!missing || offset >= page.end) continue;
    removed.push({key, value: undefined, offset: page.end - 1});
  }
  const {end} = page;
  const records = [...page.records, ...removed];
  const {state, changes} = afterFollow(before, {records, end});
  const completeFrom = Math.max(before.completeFrom, end);
  return {state: {...state, completeFrom}, changes};
}

/**
 * The records that a host knows from an offset, for another host. Where it may
 * have missed removals since then, it passes on all that there is.
 */
export function recordsFrom(
  {records, next, completeFrom}: KeyedState,
  position: number,
): PassedOn {
  const whole = position < completeFrom;
  const kept = [...records.values()].filter(({offset, value}) =>
    whole ? value !== undefined : offset >= position,
  );
  kept.sort((one, other) => one.offset - other.offset);
  return {records: kept, end: next ?? 0, whole};
}

/**
 * Takes over a record that is newer than what is known of its key. A key that
 * was missing when all were known has been removed since the record.
 */
function adopt(
  records: Map<string, KeyedRecord>,
  record: KeyedRecord,
  completeFrom: number,
): boolean {
  const known = records.get(record.key)?.offset ?? completeFrom - 1;
  if (record.offset <= known) return false;
  records.set(record.key, record);
  return true;
}
