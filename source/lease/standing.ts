/**
 * Who holds a lease, according to the log. The log has no conditional append,
 * but its offsets are the same for all readers: each record names the offset
 * of the one that it follows, and counts only if that is still the latest. So
 * the first valid claim wins for every reader alike, and its offset is the
 * fencing number.
 */
import type {LogRecord} from '../platform/index.js';

/** A lease record as it stands in the log. */
export type LeaseRecord = Extract<LogRecord, {kind: 'lease'}>;

/** The latest valid record of one lease. */
export interface LeaseStanding {
  readonly offset: number;
  readonly holder: string;
  /** Offset of the claim by which the holder came to hold it. */
  readonly fence: number;
  readonly released: boolean;
  /** Token of the latest record. */
  readonly token: number;
  /** Milliseconds. */
  readonly duration: number;
}

/** The standings of all leases. */
export type Leases = ReadonlyMap<string, LeaseStanding>;

/**
 * The standings after a record. One that does not count changes nothing.
 *
 * ```ts
 * leases = foldLease(leases, record, entry.offset);
 * ```
 */
export function foldLease(
  before: Leases,
  record: LeaseRecord,
  offset: number,
): Leases {
  const present = before.get(record.lease);
  const latest = present?.offset ?? -1;
  if (record.follows !== latest) return before;
  const standing = standingAfter(present, record, offset);
  return standing ? new Map(before).set(record.lease, standing) : before;
}

function standingAfter(
  present: LeaseStanding | undefined,
  {action, holder, duration, token}: LeaseRecord,
  offset: number,
): LeaseStanding | undefined {
  if (action === 'claim') {
    return {offset, holder, fence: offset, released: false, token, duration};
  }
  if (!present || present.holder !== holder || present.released)
    return undefined;
  const released = action === 'release';
  const {fence} = present;
  return {offset, holder, fence, released, token, duration};
}
