/**
 * How much of a host's memory may be used for what it holds for others, and for
 * which part of it. The parts are fixed, so that none can take the room of another.
 */

/** Share of the memory of a host that its process may use. */
const USABLE_SHARE = 0.8;
/**
 * Megabytes that the process needs for itself: the program, the state of the
 * fleet, and the heads of queued requests.
 */
const PROCESS_MEGABYTES = 96;
/**
 * Resident bytes for each byte that is held: memory that was freed is returned
 * only by a later garbage collection.
 */
const RESIDENT_PER_HELD_BYTE = 1.5;
/** For buffered answers: the largest one that is buffered. */
const ANSWER_BYTES = 16_777_216;
/** What a host that is too small for that has for all else. */
const MIN_REQUEST_BYTES = 25_165_824;
const BYTES_PER_MEGABYTE = 1_048_576;
/** The parts of all but the answers, as shares of it. */
const WAITING_SHARE = 1 / 4;
const SMALL_BODIES_SHARE = 1 / 8;

/** Bodies of fewer bytes do not wait for larger ones. */
export const SMALL_BODY_BYTES = 65_536;

/** What a host may hold for others, in bytes. */
export interface MemoryBudget {
  readonly total: number;
  /** For buffered answers. */
  readonly answers: number;
  /** For connections whose request waits with an unread body. */
  readonly waiting: number;
  /** For bodies of callers. */
  readonly bodies: number;
  /** Of these, what larger bodies leave to small ones. */
  readonly smallBodies: number;
}

/** Bodies that a host holds, in bytes. */
export interface HeldBodies {
  readonly small: number;
  readonly large: number;
}

/**
 * Returns the budget of a host with so much memory.
 *
 * ```ts
 * const budget = memoryBudgetOf(350);
 * ```
 */
export function memoryBudgetOf(memoryMegabytes: number): MemoryBudget {
  const left = memoryMegabytes * USABLE_SHARE - PROCESS_MEGABYTES;
  const held = Math.floor((left * BYTES_PER_MEGABYTE) / RESIDENT_PER_HELD_BYTE);
  const requests = Math.max(held - ANSWER_BYTES, MIN_REQUEST_BYTES);
  const waiting = Math.floor(requests * WAITING_SHARE);
  return {
    total: ANSWER_BYTES + requests,
    answers: ANSWER_BYTES,
    waiting,
    bodies: requests - waiting,
    smallBodies: Math.floor(requests * SMALL_BODIES_SHARE),
  };
}

/** Whether a body of so many bytes is a small one. */
export function isSmall(bytes: number): boolean {
  return bytes < SMALL_BODY_BYTES;
}

/** Whether a body can be taken at all, however few others are held. */
export function canEverFit(budget: MemoryBudget, bytes: number): boolean {
  return hasRoomFor(budget, {small: 0, large: 0}, bytes);
}

/**
 * Whether there is room for a body beside those that are held.
 *
 * ```ts
 * const isTaken = hasRoomFor(budget, {small: 0, large: 4_194_304}, 1_000_000);
 * ```
 */
export function hasRoomFor(
  {bodies, smallBodies}: MemoryBudget,
  {small, large}: HeldBodies,
  bytes: number,
): boolean {
  if (small + large + bytes > bodies) return false;
  return isSmall(bytes) || large + bytes <= bodies - smallBodies;
}
