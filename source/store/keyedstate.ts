/**
 * What a host knows of a keyed topic, as an immutable value. Offsets decide: a
 * record is applied only if it is newer than what is known of its key, so pages
 * that overlap, arrive late or are not a consistent snapshot can never revert a
 * key to an older record.
 */
import type {KeyedPage, KeyedRecord} from './store.js';

/** The newest known record of each key, removals included. */
export interface KeyedState {
  readonly records: ReadonlyMap<string, KeyedRecord>;
  /** The offset to follow from; undefined before the first read. */
  readonly next: number | undefined;
  /**
   * The end of the newest full page. Removals before this offset may have gone
   * unseen, and a key that was missing there had been removed.
   */
  readonly fullPageEnd: number;
}

/** Records that one host sends to another. */
export interface PeerRecordPage extends KeyedPage {
  /**
   * Whether these are all records that exist, not only those from an offset.
   */
  readonly whole: boolean;
}

/** A state after a page has been applied, with the records that changed it. */
export interface KeyedUpdate {
  readonly state: KeyedState;
  readonly changes: readonly KeyedRecord[];
}

/** The state of a host that has read nothing. */
export const UNREAD: KeyedState = {
  records: new Map(),
  next: undefined,
  fullPageEnd: 0,
};

/**
 * Returns the state after a page of consecutive records.
 *
 * ```ts
 * const {state, changes} = applyPage(before, page);
 * ```
 */
export function applyPage(before: KeyedState, page: KeyedPage): KeyedUpdate {
  const records = new Map(before.records);
  const {fullPageEnd} = before;
  const changes = page.records.filter(record =>
    addIfNewer(records, record, fullPageEnd),
  );
  const next = Math.max(before.next ?? 0, page.end);
  return {state: {...before, records, next}, changes};
}

/**
 * Returns the state after a full page: the newest records of all keys. A key
 * that is missing from it has been removed, unless what is known of the key is
 * newer than the page.
 *
 * ```ts
 * const {state, changes} = applyFullPage(UNREAD, await store.readNewest(topic, 1000));
 * ```
 */
export function applyFullPage(
  before: KeyedState,
  page: KeyedPage,
): KeyedUpdate {
  const listed = new Set(page.records.map(({key}) => key));
  const removed: KeyedRecord[] = [];
  for (const {key, value, offset} of before.records.values()) {
    const isMissing = value !== undefined && !listed.has(key);
    if (!isMissing || offset >= page.end) continue;
    removed.push({key, value: undefined, offset: page.end - 1});
  }
  const {end} = page;
  const records = [...page.records, ...removed];
  const {state, changes} = applyPage(before, {records, end});
  const fullPageEnd = Math.max(before.fullPageEnd, end);
  return {state: {...state, fullPageEnd}, changes};
}

/**
 * Returns the records that a host knows from an offset, for another host. If
 * the host may have missed removals since then, returns all records that exist.
 */
export function recordsFrom(
  {records, next, fullPageEnd}: KeyedState,
  position: number,
): PeerRecordPage {
  const whole = position < fullPageEnd;
  const selected = [...records.values()].filter(({offset, value}) =>
    whole ? value !== undefined : offset >= position,
  );
  selected.sort((one, other) => one.offset - other.offset);
  return {records: selected, end: next ?? 0, whole};
}

/**
 * Adds a record if it is newer than what is known of its key, and returns
 * whether it was. A key that was missing from a full page has been removed
 * since any record before the end of that page.
 */
function addIfNewer(
  records: Map<string, KeyedRecord>,
  record: KeyedRecord,
  fullPageEnd: number,
): boolean {
  const known = records.get(record.key)?.offset ?? fullPageEnd - 1;
  if (record.offset <= known) return false;
  records.set(record.key, record);
  return true;
}
