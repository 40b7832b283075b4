/**
 * The prompt parts that no host sends to endpoints, as an immutable value that
 * hosts merge: of two entries for a part the one with the higher revision holds.
 * A blocked part is reviewed at long intervals by a single request. An entry
 * that nobody reviews for long is dropped: no request with the part comes.
 */
import {MAX_EXCHANGED_ENTRIES, type BlocklistEntry} from './message.js';

/** A part that is or was blocked. */
export interface BlockedPart {
  readonly revision: number;
  readonly isBlocked: boolean;
  /** Monotonic milliseconds from which one request with the part may be tried. */
  readonly reviewAt: number;
}

/** The entries by part. */
export type Blocklist = ReadonlyMap<string, BlockedPart>;

/** Nothing is or was blocked. */
export const EMPTY_BLOCKLIST: Blocklist = new Map();

/**
 * Parts that are blocked at most, so that no run of crashes can block every
 * prompt. Beyond that, further parts are not blocked.
 */
const MAX_BLOCKED_PARTS = 32;
const FIRST_REVIEW_MILLISECONDS = 60_000;
/** Each failed review doubles the time to the next one, so many times. */
const MAX_REVIEW_DOUBLINGS = 6;
/** Time after an unused review after which an entry is dropped. */
const RETENTION_MILLISECONDS = 3_600_000;
/**
 * Time for which an entry that is not blocked any more is passed on, so that it
 * reaches the hosts that still block the part.
 */
const LIFTED_RETENTION_MILLISECONDS = 60_000;
/**
 * An entry of another host that expires within this time is ignored, since this
 * host may just have dropped it.
 */
const EXPIRY_MARGIN_MILLISECONDS = 10_000;

/** Whether requests with a part are refused. */
export function isBlocked(blocklist: Blocklist, part: string): boolean {
  return blocklist.get(part)?.isBlocked ?? false;
}

/** Whether another part can be blocked. */
export function hasRoom(blocklist: Blocklist): boolean {
  const blocked = [...blocklist.values()].filter(entry => entry.isBlocked);
  return blocked.length < MAX_BLOCKED_PARTS;
}

/**
 * The list with a part blocked, or blocked further after a review.
 *
 * ```ts
 * blocklist = block(blocklist, part, clock.monotonic());
 * ```
 */
export function block(before: Blocklist, part: string, now: number): Blocklist {
  const known = before.get(part);
  const revision = (known?.revision ?? 0) + 1;
  const doublings = known?.isBlocked
    ? Math.min(revision - 1, MAX_REVIEW_DOUBLINGS)
    : 0;
  const reviewAt = now + FIRST_REVIEW_MILLISECONDS * 2 ** doublings;
  return new Map(before).set(part, {revision, isBlocked: true, reviewAt});
}

/** The list with a part no longer blocked; the same value if it is not. */
export function lift(before: Blocklist, part: string, now: number): Blocklist {
  const known = before.get(part);
  if (!known?.isBlocked) return before;
  const revision = known.revision + 1;
  return new Map(before).set(part, {revision, isBlocked: false, reviewAt: now});
}

/** The list without the entries that are of no use any more. */
export function withoutExpired(before: Blocklist, now: number): Blocklist {
  const kept = [...before].filter(([, entry]) => !isExpired(entry, now));
  return kept.length === before.size ? before : new Map(kept);
}

/**
 * The list after entries of another host. Of two with the same revision the one
 * that is not blocked holds, since an answer has proved the part sound.
 */
export function merge(
  before: Blocklist,
  entries: readonly BlocklistEntry[],
  now: number,
): Blocklist {
  const newer = entries.filter(({part, revision, isBlocked, reviewIn}) => {
    const known = before.get(part);
    const reviewAt = now + reviewIn - EXPIRY_MARGIN_MILLISECONDS;
    if (isExpired({revision, isBlocked, reviewAt}, now)) return false;
    if (!known) return isBlocked;
    if (revision !== known.revision) return revision > known.revision;
    return known.isBlocked && !isBlocked;
  });
  if (newer.length === 0) return before;
  const after = new Map(before);
  for (const {part, revision, isBlocked, reviewIn} of newer)
    after.set(part, {revision, isBlocked, reviewAt: now + reviewIn});
  return after;
}

/** The entries for the other hosts. */
export function entriesOf(blocklist: Blocklist, now: number): BlocklistEntry[] {
  return [...blocklist]
    .slice(-MAX_EXCHANGED_ENTRIES)
    .map(([part, {revision, isBlocked, reviewAt}]) => ({
      part,
      revision,
      isBlocked,
      reviewIn: Math.round(reviewAt - now),
    }));
}

function isExpired({isBlocked, reviewAt}: BlockedPart, now: number): boolean {
  const retention = isBlocked
    ? RETENTION_MILLISECONDS
    : LIFTED_RETENTION_MILLISECONDS;
  return now - reviewAt > retention;
}
