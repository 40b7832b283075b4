/**
 * What a host knows of a keyed topic, as an immutable value. Offsets decide: a
 * record is applied only if it is newer than what is known of its key, so pages
 * that overlap, arrive late or are not a consistent snapshot can never revert a
 * key to an older record. Offsets of different eras are not compared: a full page
 * of a later era replaces all that is known, and says so, since it may be older.
 */
import {isSameEra, type StorePosition} from './restores.js';
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
  /** The store's era; undefined before the first read, or if it names none. */
  readonly era: number | undefined;
}

/** Records that one host sends to another. */
export interface PeerRecordPage extends KeyedPage {
  /**
   * Whether these are all records that exist, not only those from an offset.
   */
  readonly whole: boolean;
  /**
   * Offset from which on no record before the end is missing; undefined where the
   * sender does not say, as older programs.
   */
  readonly start?: number | undefined;
}

/** A state after a page has been applied, with the records that changed it. */
export interface KeyedUpdate {
  readonly state: KeyedState;
  readonly changes: readonly KeyedRecord[];
  /**
   * Whether the store has come back from a copy in between. A change may then be
   * older than what it replaces; what is written anew follows as later changes.
   */
  readonly isRestored: boolean;
}

/** The state of a host that has read nothing. */
export const UNREAD: KeyedState = {
  records: new Map(),
  next: undefined,
  fullPageEnd: 0,
  era: undefined,
};

/**
 * Returns the state after a page of consecutive records. One of another era
 * changes nothing, as it may not follow on what is known.
 *
 * ```ts
 * const {state, changes} = applyPage(before, page);
 * ```
 */
export function applyPage(before: KeyedState, page: KeyedPage): KeyedUpdate {
  if (!isSameEra(before.era, page.era)) return unchanged(before);
  const records = new Map(before.records);
  const {fullPageEnd} = before;
  const changes = page.records.filter(record =>
    addIfNewer(records, record, fullPageEnd),
  );
  const next = Math.max(before.next ?? 0, page.end);
  const era = before.era ?? page.era;
  return {state: {...before, records, next, era}, changes, isRestored: false};
}

/**
 * Whether a page of another host leaves no gap behind what is known. A host that
 * has read nothing has a gap behind any page but one of all records.
 *
 * ```ts
 * if (!followsOn(state, page)) askForTheRest();
 * ```
 */
export function followsOn(
  {next = 0, era}: KeyedState,
  page: PeerRecordPage,
): boolean {
  if (page.whole) return true;
  if (page.start === undefined || !isSameEra(era, page.era)) return false;
  return page.start <= next;
}

/**
 * Returns the state after a page of another host. One behind a gap moves no
 * position, so that the records of the gap are still read; its own records are
 * taken by their offsets, as they are newer. A host that has read nothing takes
 * none, as it could not tell them from all that there are.
 *
 * ```ts
 * const {state, changes} = applyPeerPage(before, toRecordPage(message));
 * ```
 */
export function applyPeerPage(
  before: KeyedState,
  page: PeerRecordPage,
): KeyedUpdate {
  if (page.whole) return applyFullPage(before, page);
  if (followsOn(before, page)) return applyPage(before, page);
  const {next} = before;
  if (next === undefined) return unchanged(before);
  const update = applyPage(before, page);
  return {...update, state: {...update.state, next}};
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
  if (!isSameEra(before.era, page.era)) return applyRestored(before, page);
  const listed = new Set(page.records.map(({key}) => key));
  const removed: KeyedRecord[] = [];
  for (const {key, value, offset} of before.records.values()) {
    const isMissing = value !== undefined && !listed.has(key);
    if (!isMissing || offset >= page.end) continue;
    removed.push({key, value: undefined, offset: page.end - 1});
  }
  const {end} = page;
  const records = [...page.records, ...removed];
  const {era} = page;
  const {state, changes} = applyPage(before, {records, end, era});
  const fullPageEnd = Math.max(before.fullPageEnd, end);
  return {state: {...state, fullPageEnd}, changes, isRestored: false};
}

/** Returns the state after a full page of another era than the known one. */
function applyRestored(before: KeyedState, page: KeyedPage): KeyedUpdate {
  const {era, end} = page;
  if (era === undefined || era < (before.era ?? 0)) return unchanged(before);
  const records = new Map(page.records.map(record => [record.key, record]));
  const changes = page.records.filter(
    ({key, value}) => !hasValue(before.records.get(key), value),
  );
  for (const {key, value} of before.records.values()) {
    if (value === undefined || records.has(key)) continue;
    changes.push({key, value: undefined, offset: end - 1});
  }
  const state = {records, next: end, fullPageEnd: end, era};
  return {state, changes, isRestored: true};
}

function hasValue(
  known: KeyedRecord | undefined,
  value: Buffer | undefined,
): boolean {
  if (known?.value === undefined) return value === undefined;
  return value !== undefined && known.value.equals(value);
}

function unchanged(state: KeyedState): KeyedUpdate {
  return {state, changes: [], isRestored: false};
}

/**
 * Returns the records that a host knows from a position, for another host. If
 * the host may have missed removals since then, or the position is of another
 * era, returns all records that exist.
 */
export function recordsFrom(
  {records, next, fullPageEnd, era}: KeyedState,
  position: StorePosition,
): PeerRecordPage {
  const whole = position.offset < fullPageEnd || !isSameEra(position.era, era);
  const selected = [...records.values()].filter(({offset, value}) =>
    whole ? value !== undefined : offset >= position.offset,
  );
  selected.sort((one, other) => one.offset - other.offset);
  const start = whole ? 0 : position.offset;
  return {records: selected, start, end: next ?? 0, whole, era};
}

/**
 * Adds a record if it is newer than what is known of its key, and returns
 * whether it was. A key that was missing from a full page has been removed
 * since any record before the end of that page, an earlier removal too.
 */
function addIfNewer(
  records: Map<string, KeyedRecord>,
  record: KeyedRecord,
  fullPageEnd: number,
): boolean {
  const known = records.get(record.key);
  const offset = known?.offset ?? -1;
  const isPresent = known?.value !== undefined;
  const since = isPresent ? offset : Math.max(offset, fullPageEnd - 1);
  if (record.offset <= since) return false;
  records.set(record.key, record);
  return true;
}
