/**
 * The suspects that no host sends to endpoints, as an immutable value that hosts
 * merge: of two entries for a suspect the one with the higher revision holds. A
 * blocked suspect is reviewed at long intervals by a single request. An entry
 * that nobody reviews for long is dropped: no request with the suspect comes.
 */
import {keyFromMessage, type BlocklistEntry} from './message.js';
import {isRequest, suspectOf, type SuspectKey} from './suspect.js';

/** A suspect that is or was blocked. */
export interface BlockedSuspect {
  readonly revision: number;
  readonly isBlocked: boolean;
  /** Monotonic milliseconds from which one request with it may be tried. */
  readonly reviewAt: number;
  /** Name of the team whose request it is; empty for a part. */
  readonly team: string;
}

/** The entries by suspect. */
export type Blocklist = ReadonlyMap<SuspectKey, BlockedSuspect>;

/** What is to be known of a suspect to block it. */
export interface BlockOptions {
  /** Name of the team whose request it is; empty for a part. */
  readonly team?: string;
  /** Whether its crashes may have had another cause; it is reviewed soon then. */
  readonly isDoubtful?: boolean;
}

/** Nothing is or was blocked. */
export const EMPTY_BLOCKLIST: Blocklist = new Map();

/**
 * Parts that are blocked at most, so that no run of crashes can block every
 * prompt. Beyond that, further parts are not blocked.
 */
const MAX_BLOCKED_PARTS = 32;
/** Requests of one team that are blocked at most; the oldest gives way. */
const MAX_BLOCKED_REQUESTS_OF_TEAM = 32;
/** Requests of all teams that are blocked at most; further ones are not. */
const MAX_BLOCKED_REQUESTS = 512;
const FIRST_REVIEW_MILLISECONDS = 60_000;
/** The time to the first review where the verdict may be wrong. */
const DOUBTFUL_REVIEW_MILLISECONDS = 20_000;
/** Each failed review doubles the time to the next one, so many times. */
const MAX_REVIEW_DOUBLINGS = 6;
/** Time after an unused review after which an entry is dropped. */
const RETENTION_MILLISECONDS = 3_600_000;
/**
 * Time for which an entry that is not blocked any more is passed on, so that it
 * reaches the hosts that still block the suspect.
 */
const LIFTED_RETENTION_MILLISECONDS = 60_000;
/**
 * An entry of another host that expires within this time is ignored, since this
 * host may just have dropped it.
 */
const EXPIRY_MARGIN_MILLISECONDS = 10_000;

/** Whether requests with a suspect are refused. */
export function isBlocked(blocklist: Blocklist, key: SuspectKey): boolean {
  return blocklist.get(key)?.isBlocked ?? false;
}

/** Whether another suspect like this one can be blocked. */
export function hasRoom(blocklist: Blocklist, key: SuspectKey): boolean {
  const blocked = [...blocklist].filter(
    ([other, entry]) => entry.isBlocked && isRequest(other) === isRequest(key),
  );
  const most = isRequest(key) ? MAX_BLOCKED_REQUESTS : MAX_BLOCKED_PARTS;
  return blocked.length < most;
}

/**
 * The blocked request of a team that gives way to another one of the team;
 * undefined while there is room for it.
 */
export function requestToYield(
  blocklist: Blocklist,
  team: string,
): SuspectKey | undefined {
  const ofTeam = [...blocklist].filter(
    ([key, entry]) => isRequest(key) && entry.isBlocked && entry.team === team,
  );
  if (ofTeam.length < MAX_BLOCKED_REQUESTS_OF_TEAM) return undefined;
  return ofTeam[0]?.[0];
}

/**
 * The list with a suspect blocked, or blocked further after a review.
 *
 * ```ts
 * blocklist = block(blocklist, key, clock.monotonic());
 * ```
 */
export function block(
  before: Blocklist,
  key: SuspectKey,
  now: number,
  options: BlockOptions = {},
): Blocklist {
  const known = before.get(key);
  const revision = (known?.revision ?? 0) + 1;
  const doublings = known?.isBlocked
    ? Math.min(revision - 1, MAX_REVIEW_DOUBLINGS)
    : 0;
  const first = options.isDoubtful
    ? DOUBTFUL_REVIEW_MILLISECONDS
    : FIRST_REVIEW_MILLISECONDS;
  const reviewAt = now + first * 2 ** doublings;
  const team = options.team ?? known?.team ?? '';
  return new Map(before).set(key, {revision, isBlocked: true, reviewAt, team});
}

/** The list with a suspect no longer blocked; the same value if it is not. */
export function lift(
  before: Blocklist,
  key: SuspectKey,
  now: number,
): Blocklist {
  const known = before.get(key);
  if (!known?.isBlocked) return before;
  const revision = known.revision + 1;
  const lifted = {...known, revision, isBlocked: false, reviewAt: now};
  return new Map(before).set(key, lifted);
}

/** The list without the entries that are of no use any more. */
export function withoutExpired(before: Blocklist, now: number): Blocklist {
  const kept = [...before].filter(([, entry]) => !isExpired(entry, now));
  return kept.length === before.size ? before : new Map(kept);
}

/**
 * The list after entries of another host. Of two with the same revision the one
 * that is not blocked holds, since an answer has proved the suspect sound.
 */
export function merge(
  before: Blocklist,
  entries: readonly BlocklistEntry[],
  now: number,
): Blocklist {
  const newer = entries.filter(entry => {
    const {revision, isBlocked, reviewIn, team} = entry;
    const known = before.get(keyFromMessage(entry));
    const reviewAt = now + reviewIn - EXPIRY_MARGIN_MILLISECONDS;
    if (isExpired({revision, isBlocked, reviewAt, team}, now)) return false;
    if (!known) return isBlocked;
    if (revision !== known.revision) return revision > known.revision;
    return known.isBlocked && !isBlocked;
  });
  if (newer.length === 0) return before;
  const after = new Map(before);
  for (const entry of newer) {
    const {revision, isBlocked, reviewIn, team} = entry;
    const reviewAt = now + reviewIn;
    after.set(keyFromMessage(entry), {revision, isBlocked, reviewAt, team});
  }
  return after;
}

/** The entries for the other hosts. */
export function entriesOf(blocklist: Blocklist, now: number): BlocklistEntry[] {
  return [...blocklist].map(([key, entry]) => {
    const {kind, id} = suspectOf(key);
    const {revision, isBlocked, reviewAt, team} = entry;
    const reviewIn = Math.round(reviewAt - now);
    return {kind, part: id, revision, isBlocked, reviewIn, team};
  });
}

function isExpired(
  {isBlocked, reviewAt}: BlockedSuspect,
  now: number,
): boolean {
  const retention = isBlocked
    ? RETENTION_MILLISECONDS
    : LIFTED_RETENTION_MILLISECONDS;
  return now - reviewAt > retention;
}
