/**
 * Whether this host is the leader, as an immutable value. The store assigns the
 * partitions of a group to its members, and the member that has the first one
 * is the leader. The store may reassign that partition without asking. A leader
 * therefore acts only for a limited time after its last confirmation, counted
 * from before it asked, and a new leader first waits until no call of its
 * predecessor can still be under way.
 */
import {FIRST_ERA, isSameEra, type GroupAssignment} from '../store/index.js';

/**
 * Fencing tokens of one era of the store, in which its generations increase; the
 * next era has higher ones.
 */
const TOKENS_PER_ERA = 2 ** 32;

/** The partition whose member is the leader. */
const LEADER_PARTITION = 0;

/** The durations that all hosts share, in milliseconds. */
export interface TermDurations {
  /** Time without a call after which the store considers a member gone. */
  readonly timeToLive: number;
  /**
   * Longest time that a call to the platform may be under way. A leader stops
   * acting this long before its time to live is over.
   */
  readonly maxCallDelay: number;
  /** Time within which leadership must not leave a host and come back to it. */
  readonly lease: number;
}

/** What a host knows of its own leadership. */
export interface Term {
  /** The last generation of the group that the store named. */
  readonly generation: number;
  /** The store's era of that generation; undefined where it is not known. */
  readonly era: number | undefined;
  /**
   * Fencing token: made of the era and the generation in which this host became leader, so later
   * leaders have higher ones; 0 where this host is not the leader.
   */
  readonly fence: number;
  /** Monotonic milliseconds from which this host may act. */
  readonly from: number;
  /** Monotonic milliseconds until which this host may act. */
  readonly until: number;
  /** Monotonic milliseconds at which the store was last asked. */
  readonly askedAt: number;
}

/** The term of a host that has not joined the group. */
export const NO_TERM: Term = {
  generation: 0,
  era: undefined,
  fence: 0,
  from: Infinity,
  until: -Infinity,
  askedAt: -Infinity,
};

/** The store's reply to a member that joined or stayed. */
export interface JoinReply {
  readonly joined: GroupAssignment;
  /** Monotonic milliseconds just before the call. */
  readonly askedAt: number;
  /** Monotonic milliseconds just after the call. */
  readonly now: number;
}

/**
 * The term after a reply of the store. Replies of an older generation, or of an
 * older era, change nothing. In a later era the generations begin with an earlier
 * one, and the store may have given leadership to another host meanwhile.
 *
 * ```ts
 * term = termAfterJoin(term, {joined, askedAt, now}, durations);
 * ```
 */
export function termAfterJoin(
  before: Term,
  {joined, askedAt, now}: JoinReply,
  {timeToLive, maxCallDelay, lease}: TermDurations,
): Term {
  const {generation, partitions} = joined;
  const era = joined.era ?? before.era;
  const sameEra = isSameEra(era, before.era);
  const isOlder = sameEra
    ? generation < before.generation
    : (era ?? FIRST_ERA) < (before.era ?? FIRST_ERA);
  if (isOlder) return before;
  if (!partitions.includes(LEADER_PARTITION))
    return {...NO_TERM, generation, era};
  const until = askedAt + timeToLive - maxCallDelay;
  const activationDelay = lease + maxCallDelay;
  const sameGeneration = generation === before.generation;
  // A host that was leader in between for no longer than this has not acted:
  // its term ended before its activation delay was over.
  const harmlessGap = activationDelay + maxCallDelay - timeToLive;
  const keepsTerm =
    sameEra && (sameGeneration || askedAt - before.askedAt <= harmlessGap);
  if (before.fence > 0 && keepsTerm)
    return {...before, generation, era, until, askedAt};
  return {
    generation,
    era,
    fence: fenceOf(era, generation),
    from: now + activationDelay,
    until,
    askedAt,
  };
}

/** The fencing token of a leader whose term begins in a generation. */
function fenceOf(era: number | undefined, generation: number): number {
  const restores = Math.max((era ?? FIRST_ERA) - FIRST_ERA, 0);
  return restores * TOKENS_PER_ERA + generation;
}

/** The term of a host that has left the group and given up its partitions. */
export function termAfterLeave({generation, era}: Term): Term {
  return {...NO_TERM, generation, era};
}

/**
 * Whether a call may be sent now. To be checked in the turn of the event loop in
 * which the call is written.
 *
 * ```ts
 * if (mayAct(term, clock.monotonic())) socket.write(call);
 * ```
 */
export function mayAct({from, until}: Term, now: number): boolean {
  return now >= from && now < until;
}
