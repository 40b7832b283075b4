/**
 * The edge of admission: p-queue runs the requests, this project's queue class
 * gives it their order, and timers end those that have waited for too long.
 */
import type {Cancel, Clock} from '../clock/index.js';
import {Refusal} from '../errors/index.js';
import {expectedWait} from './forecast.js';
import {WaitingQueue, type LaneCount, type Pick} from './queue.js';
import {createRunner, type Runnable, type Runner} from './runner.js';
import type {Lane, Room, Ticket} from './ticket.js';

/** The work of one ticket; answers the tokens that it cost. */
export type Work = () => Promise<number>;

interface Waiting extends Runnable {
  readonly refuse: (refusal: Refusal) => void;
  readonly delayedBefore: number;
  cancelTimer: Cancel;
  started: boolean;
}

interface Running {
  readonly ticket: Ticket;
  readonly preempt: () => void;
  /** Monotonic milliseconds. */
  readonly began: number;
  preempted: boolean;
}

/** A ticket's way through admission. */
export interface Entry {
  /** Settles when the work has ended or the ticket was refused. */
  readonly done: Promise<void>;
  /** Ends the wait; does nothing once the work has begun. */
  readonly cancel: (reason: Refusal) => void;
}

/** What an Admission is made from. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly room: Room;
  /** Tickets that may wait. */
  readonly places: number;
  /** Called when the requests that wait or run have changed. */
  readonly changed?: () => void;
}

const FIRST_SERVICE_TIME_MILLISECONDS = 500;
const SERVICE_TIME_WEIGHT = 0.1;
const PREEMPTION_MILLISECONDS = 100;

/** The requests of a host that wait for a place or hold one. */
export class Admission {
  private readonly queue: WaitingQueue<Waiting>;
  private readonly runner: Runner<Waiting>;
  private readonly running = new Set<Running>();
  private readonly serviceTimes = new Map<string, number>();

  constructor(private readonly options: AdmissionOptions) {
    this.queue = new WaitingQueue<Waiting>(options.room);
    this.runner = createRunner(this.queue, options.clock, pick =>
      this.started(pick),
    );
  }

  /**
   * Waits for a place and does the work in it. `done` rejects with a Refusal
   * where the ticket gets none; what the work throws passes through.
   *
   * ```ts
   * const entry = admission.run(ticket, () => relay(), () => abort());
   * await entry.done;
   * ```
   */
  run(ticket: Ticket, work: Work, preempt: () => void): Entry {
    const refusal = this.tooLate(ticket) ?? this.makePlace(ticket.lane);
    if (refusal) return {done: Promise.reject(refusal), cancel: () => {}};
    return this.enter(ticket, work, preempt);
  }

  /** Lets every ticket start that now has room. */
  poke(): void {
    this.runner.concurrency = Infinity;
  }

  get waiting(): number {
    return this.queue.size;
  }

  /** The lanes of a pool in which tickets wait, with how many. */
  waitingIn(pool: string): LaneCount[] {
    return this.queue.waitingIn(pool, this.options.clock.monotonic());
  }

  /**
   * Preempts up to `count` running repeatable tickets of the pool, of tiers
   * below `tier`, the lowest first and in it the one that began last, which
   * wastes least. Answers how many.
   */
  preempt(pool: string, tier: number, count: number): number {
    const candidates = [...this.running].filter(
      ({ticket: {lane}, preempted}) =>
        lane.pool === pool && lane.tier > tier && lane.repeatable && !preempted,
    );
    candidates.sort(
      (one, other) =>
        other.ticket.lane.tier - one.ticket.lane.tier ||
        other.began - one.began,
    );
    const chosen = candidates.slice(0, count);
    for (const running of chosen) {
      running.preempted = true;
      running.preempt();
    }
    return chosen.length;
  }

  private enter(ticket: Ticket, work: Work, preempt: () => void): Entry {
    const {pool, tier} = ticket.lane;
    let refuse: (refusal: Refusal) => void = () => {};
    const refused = new Promise<void>((_, reject) => {
      refuse = reject;
    });
    const waiting: Waiting = {
      ...ticket,
      refuse,
      delayedBefore: this.queue.floor(pool).delayed(tier),
      cancelTimer: () => {},
      started: false,
    };
    const hold = () => this.hold(waiting, work, preempt);
    const run = this.runner.add(hold, {ticket: waiting});
    if (!waiting.started) this.arm(waiting, ticket.bound - this.age(ticket));
    this.options.changed?.();
    return {
      done: Promise.race([run, refused]),
      cancel: reason => this.drop(waiting, reason),
    };
  }

  private started({ticket, byFloor}: Pick<Waiting>): void {
    ticket.cancelTimer();
    ticket.started = true;
    if (!byFloor) return;
    const {pool, tier} = ticket.lane;
    const places = Math.max(this.options.room.places(pool), 1);
    this.queue.floor(pool).delay(tier, this.serviceTime(pool) / places);
  }

  private async hold(
    ticket: Waiting,
    work: Work,
    preempt: () => void,
  ): Promise<void> {
    const began = this.options.clock.monotonic();
    const running = {ticket, preempt, began, preempted: false};
    this.running.add(running);
    let tokens = 0;
    try {
      tokens = await work();
    } finally {
      this.running.delete(running);
      this.learn(ticket.lane.pool, this.options.clock.monotonic() - began);
      this.queue.settle(ticket, tokens);
      this.options.changed?.();
    }
  }

  private tooLate(ticket: Ticket): Refusal | undefined {
    const {lane} = ticket;
    const places = this.options.room.places(lane.pool);
    const serviceTime = this.serviceTime(lane.pool);
    const ahead = this.queue.ahead(lane);
    const wait = expectedWait({ahead, places, serviceTime});
    if (wait <= ticket.bound - this.age(ticket)) return undefined;
    const detail = `a place is ${Math.round(wait)} ms away`;
    return new Refusal('target-unreachable', 'not-run', detail);
  }

  private makePlace(lane: Lane): Refusal | undefined {
    if (this.queue.size < this.options.places) return undefined;
    const victim = this.queue.victim(lane.tier);
    if (!victim) {
      return new Refusal(
        'queue-full',
        'not-run',
        `tier ${lane.tier} waits in full`,
      );
    }
    const detail = `gave its place to tier ${lane.tier}`;
    this.drop(victim, new Refusal('shed', 'not-run', detail));
    return undefined;
  }

  private arm(waiting: Waiting, delay: number): void {
    waiting.cancelTimer = this.options.clock.after(Math.max(delay, 0), () =>
      this.expire(waiting),
    );
  }

  private expire(waiting: Waiting): void {
    const {pool, tier} = waiting.lane;
    const delayed =
      this.queue.floor(pool).delayed(tier) - waiting.delayedBefore;
    const left = waiting.bound + delayed - this.age(waiting);
    if (left > 0) return this.arm(waiting, left);
    if (this.preempt(pool, tier, 1) > 0 || this.yielding(pool, tier)) {
      return this.arm(waiting, PREEMPTION_MILLISECONDS);
    }
    const detail = `waited ${waiting.bound} ms`;
    this.drop(waiting, new Refusal('queue-timeout', 'not-run', detail));
  }

  /** Whether a preempted ticket is still giving up its place. */
  private yielding(pool: string, tier: number): boolean {
    for (const {ticket, preempted} of this.running) {
      const {lane} = ticket;
      if (preempted && lane.pool === pool && lane.tier > tier) return true;
    }
    return false;
  }

  private drop(waiting: Waiting, refusal: Refusal): void {
    if (!this.queue.remove(waiting)) return;
    waiting.cancelTimer();
    waiting.refuse(refusal);
    this.options.changed?.();
  }

  private age(ticket: Ticket): number {
    return this.options.clock.monotonic() - ticket.arrived;
  }

  private serviceTime(pool: string): number {
    return this.serviceTimes.get(pool) ?? FIRST_SERVICE_TIME_MILLISECONDS;
  }

  private learn(pool: string, duration: number): void {
    const before = this.serviceTime(pool);
    const after = before + SERVICE_TIME_WEIGHT * (duration - before);
    this.serviceTimes.set(pool, after);
  }
}
