/**
 * Whether this host holds the duties, as an immutable value. The store deals
 * out the partitions of a group, and the member that holds the first one holds
 * the duties. The store may pass it on without asking, so a holder acts only
 * for a while after it was last confirmed, counted from before it asked, and a
 * new one first waits until no call of its predecessor can be under way.
 */
import type {Joined} from '../store/index.js';

/** The partition whose member holds the duties. */
const DUTY_PARTITION = 0;

/** The times that all hosts keep to, in milliseconds. */
export interface TermTimes {
  /** After so long without a call the store counts a member as gone. */
  readonly timeToLive: number;
  /** For how long before that a holder no longer acts. */
  readonly flight: number;
  /** Time within which the duties may not go back and forth. */
  readonly lease: number;
}

/** What a host knows of its hold on the duties. */
export interface Term {
  /** The generation that the store named last. */
  readonly generation: number;
  /** The generation in which the duties came here; they increase. */
  readonly fence: number;
  /** Monotonic milliseconds from which this host may act. */
  readonly from: number;
  /** Monotonic milliseconds until which it may act. */
  readonly until: number;
  /** Monotonic milliseconds at which the store was last asked. */
  readonly askedAt: number;
}

/** The term of a host that has not joined. */
export const NO_TERM: Term = {
  generation: 0,
  fence: 0,
  from: Infinity,
  until: -Infinity,
  askedAt: -Infinity,
};

/** An answer of the store to a member. */
export interface Confirmation {
  readonly joined: Joined;
  /** Monotonic milliseconds, before the call and after it. */
  readonly askedAt: number;
  readonly now: number;
}

/**
 * The term after an answer.
 *
 * ```ts
 * term = afterJoin(term, {joined, askedAt, now}, times);
 * ```
 */
export function afterJoin(
  before: Term,
  {joined, askedAt, now}: Confirmation,
  {timeToLive, flight, lease}: TermTimes,
): Term {
  const {generation, partitions} = joined;
  if (generation < before.generation) return before;
  if (!partitions.includes(DUTY_PARTITION)) return {...NO_TERM, generation};
  const until = askedAt + timeToLive - flight;
  const wait = lease + flight;
  const unchanged = generation === before.generation;
  // Another host that held the duties for less than this has not acted, since
  // its time was up before its wait was over.
  const harmless = wait + flight - timeToLive;
  const held = unchanged || askedAt - before.askedAt <= harmless;
  if (before.fence > 0 && held) return {...before, generation, until, askedAt};
  return {generation, fence: generation, from: now + wait, until, askedAt};
}

/** The term of a host that has given its partitions back. */
export function afterLeave({generation}: Term): Term {
  return {...NO_TERM, generation};
}

/**
 * Whether a call may be sent now. To be asked in the same turn as the write.
 *
 * ```ts
 * if (mayAct(term, clock.monotonic())) socket.write(call);
 * ```
 */
export function mayAct({from, until}: Term, now: number): boolean {
  return now >= from && now < until;
}
