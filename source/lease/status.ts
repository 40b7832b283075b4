/**
 * Derives from the log who holds a lease. The log has no conditional append, but
 * its offsets are the same for all readers: each record names the offset of the
 * record that it follows, and is valid only if that one is still the latest. So
 * all readers agree on the first valid claim, whose offset is the fencing token.
 */
import type {LogRecord} from '../platform/index.js';

/** A lease record in the log. */
export type LeaseRecord = Extract<LogRecord, {kind: 'lease'}>;

/** The status of one lease after its latest valid record. */
export interface LeaseStatus {
  /** Offset of the latest valid record in the log. */
  readonly offset: number;
  readonly holder: string;
  /** Fencing token: offset of the claim with which the holder got the lease. */
  readonly fence: number;
  readonly released: boolean;
  /** Token by which the holder recognizes its own latest record. */
  readonly token: number;
  /** Milliseconds for which the latest record is valid. */
  readonly duration: number;
}

/** The status of every lease, by its name. */
export type Leases = ReadonlyMap<string, LeaseStatus>;

/**
 * Returns the leases after a record. An invalid record changes nothing.
 *
 * ```ts
 * leases = applyLeaseRecord(leases, record, entry.offset);
 * ```
 */
export function applyLeaseRecord(
  before: Leases,
  record: LeaseRecord,
  offset: number,
): Leases {
  const current = before.get(record.lease);
  const latest = current?.offset ?? -1;
  if (record.follows !== latest) return before;
  const status = statusAfter(current, record, offset);
  return status ? new Map(before).set(record.lease, status) : before;
}

/**
 * Returns the status after a record that follows the latest one, or undefined if
 * the record is invalid. Only the holder may renew or release a lease. Any host
 * may claim it, also before it expires: updateRole() decides when to claim.
 */
function statusAfter(
  current: LeaseStatus | undefined,
  {action, holder, duration, token}: LeaseRecord,
  offset: number,
): LeaseStatus | undefined {
  if (action === 'claim') {
    return {offset, holder, fence: offset, released: false, token, duration};
  }
  if (!current || current.holder !== holder || current.released)
    return undefined;
  const released = action === 'release';
  const {fence} = current;
  return {offset, holder, fence, released, token, duration};
}
