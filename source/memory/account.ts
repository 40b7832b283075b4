/**
 * The account of all bytes that a host holds for others. A body is read only when
 * there is room for all of it; until then its connection is not read, so that the
 * caller is held up and not this host. Requests get room in their order, or are
 * refused in time for a retry.
 */
import type {CancellationSignal} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {Refusal} from '../errors/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {canEverFit, hasRoomFor, isSmall, type MemoryBudget} from './budget.js';
import {Holding} from './holding.js';
import {WaitingBodies, type WaitingBody} from './order.js';

/** What Node reads from a connection before this host sees a request. */
const UNREAD_BYTES = 65_536;
/** Time without a waiting request after which the budget counts as left. */
const LEFT_MILLISECONDS = 5_000;

/** A request for room. */
export interface RoomRequest extends WaitingBody {
  /** Milliseconds for which it may wait. */
  readonly patience: number;
  /** Bytes of the body that were read before, in a chunked one. */
  readonly readBefore: number;
}

interface WaitingRequest extends RoomRequest {
  readonly grant: (holding: Holding) => void;
  readonly refuse: (refusal: Refusal) => void;
}

/** What an account is made from. */
export interface MemoryAccountOptions {
  readonly budget: MemoryBudget;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The bytes that one host holds for others. */
export class MemoryAccount {
  readonly budget: MemoryBudget;
  private held = {small: 0, large: 0};
  private answers = 0;
  private unread = 0;
  private readonly small = new WaitingBodies<WaitingRequest>();
  private readonly large = new WaitingBodies<WaitingRequest>();
  private isReached = false;
  /** Set while nobody waits and the budget does not yet count as left. */
  private cancelLeaving: Cancel | undefined;

  constructor(private readonly options: MemoryAccountOptions) {
    const {budget, metrics} = options;
    this.budget = budget;
    const kinds = {
      'small-bodies': () => this.held.small,
      'large-bodies': () => this.held.large,
      answers: () => this.answers,
      waiting: () => this.unread,
    };
    for (const [kind, read] of Object.entries(kinds))
      metrics.gauge('held-bytes', {kind}, read);
    metrics.gauge('budget-bytes', {}, () => budget.total);
  }

  /** Bytes of the largest body that can be taken at all. */
  get largestBody(): number {
    const {bodies, smallBodies} = this.budget;
    return bodies - smallBodies;
  }

  /** Counts bytes of buffered answers; a negative amount frees them. */
  addAnswerBytes(bytes: number): void {
    this.answers += bytes;
  }

  /**
   * Takes room for a body if there is some now and nobody waits for it. Throws a
   * Refusal for a body that is too large for this host.
   */
  tryReserve(bytes: number): Holding | undefined {
    const {budget} = this;
    if (!canEverFit(budget, bytes)) {
      const detail = `the body is over what this host can hold, ${this.largestBody} bytes`;
      throw new Refusal('body-too-large', 'not-run', detail);
    }
    if (this.queueFor(bytes).size > 0) return undefined;
    return hasRoomFor(budget, this.held, bytes) ? this.hold(bytes) : undefined;
  }

  /**
   * Waits for room. Rejects with a Refusal if there is none in time, or if too
   * many wait that are more urgent; never settles once the signal is aborted.
   *
   * ```ts
   * const holding = account.tryReserve(bytes) ?? (await account.reserve(room, stop));
   * ```
   */
  reserve(room: RoomRequest, signal: CancellationSignal): Promise<Holding> {
    return new Promise((resolve, reject) => {
      let settle = () => {};
      const waiting: WaitingRequest = {
        ...room,
        grant: holding => {
          settle();
          resolve(holding);
        },
        refuse: refusal => {
          settle();
          reject(refusal);
        },
      };
      const stopTimer = this.options.clock.after(room.patience, () =>
        this.drop(waiting, 'queue-timeout', 'no memory for the body in time'),
      );
      const stopWatching = signal.onAbort(() => {
        stopTimer();
        if (this.remove(waiting)) this.grantNext();
      });
      settle = () => {
        stopTimer();
        stopWatching();
      };
      if (!signal.aborted) this.enqueue(waiting);
    });
  }

  private enqueue(waiting: WaitingRequest): void {
    this.queueFor(waiting.bytes).push(waiting);
    this.unread += unreadBytes(waiting);
    this.noteReached();
    while (this.unread > this.budget.waiting) {
      const last = this.large.peekLast() ?? this.small.peekLast();
      if (!last) return;
      this.drop(last, 'queue-full', 'too many bodies wait for memory');
    }
    this.grantNext();
  }

  private drop(
    waiting: WaitingRequest,
    code: 'queue-full' | 'queue-timeout',
    detail: string,
  ): void {
    if (!this.remove(waiting)) return;
    this.options.metrics.count('body-not-taken', {reason: code});
    waiting.refuse(new Refusal(code, 'not-run', detail));
    // Smaller ones behind it may have room.
    this.grantNext();
  }

  private remove(waiting: WaitingRequest): boolean {
    if (!this.queueFor(waiting.bytes).remove(waiting)) return false;
    this.unread -= unreadBytes(waiting);
    this.noteLeft();
    return true;
  }

  private hold(bytes: number): Holding {
    const kind = isSmall(bytes) ? 'small' : 'large';
    this.held[kind] += bytes;
    return new Holding(bytes, freed => {
      this.held[kind] -= freed;
      this.grantNext();
    });
  }

  /** Gives room to those that are next; small bodies wait for no large one. */
  private grantNext(): void {
    for (const queue of [this.small, this.large]) {
      let next = queue.peek();
      while (next && hasRoomFor(this.budget, this.held, next.bytes)) {
        queue.shift();
        this.unread -= unreadBytes(next);
        next.grant(this.hold(next.bytes));
        next = queue.peek();
      }
    }
    this.noteLeft();
  }

  private queueFor(bytes: number): WaitingBodies<WaitingRequest> {
    return isSmall(bytes) ? this.small : this.large;
  }

  private noteReached(): void {
    this.cancelLeaving?.();
    this.cancelLeaving = undefined;
    if (this.isReached) return;
    this.isReached = true;
    const {budget, logger} = this.options;
    const {small, large} = this.held;
    logger.warn('memory-budget-reached', {
      budget: budget.total,
      smallBodies: small,
      largeBodies: large,
      answers: this.answers,
    });
  }

  private noteLeft(): void {
    if (!this.isReached || this.small.size > 0 || this.large.size > 0) return;
    const {clock, logger} = this.options;
    this.cancelLeaving ??= clock.after(LEFT_MILLISECONDS, () => {
      this.cancelLeaving = undefined;
      this.isReached = false;
      logger.info('memory-budget-left', {budget: this.budget.total});
    });
  }
}

/** What a request holds while it waits. */
function unreadBytes({bytes, readBefore}: RoomRequest): number {
  return readBefore + Math.min(bytes, UNREAD_BYTES);
}
