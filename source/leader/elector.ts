/**
 * Leader election through a group of the store: keeps a candidate in the group
 * and runs the leader tasks while this host is the leader. When the leader
 * changes is decided in `term.ts`.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {StoreError, type RecordStore} from '../store/index.js';
import type {Leader} from './client.js';
import {
  mayAct,
  NO_TERM,
  termAfterJoin,
  termAfterLeave,
  type Term,
  type TermDurations,
} from './term.js';

/** Names in the store, the same on all hosts. */
const GROUP = 'duties';
const TOPIC = 'duties';
const JOIN_INTERVAL_MILLISECONDS = 1_000;
const JOIN_TIMEOUT_MILLISECONDS = 900;
const MEMBER_TIME_TO_LIVE_MILLISECONDS = 3_000;
/** Longest time that a call to the platform may be under way. */
const MAX_CALL_DELAY_MILLISECONDS = 600;

/**
 * A task that the leader runs periodically. An error that it throws is logged
 * and counted, and the task is run again at the next tick.
 */
export type LeaderTask = (leader: Leader) => Promise<void>;

/** Dependencies and settings of a leader elector. */
export interface LeaderElectorOptions {
  /** Name of the host, by which the platform knows the leader. */
  readonly name: string;
  /** Name in the group; each incarnation of the host has its own. */
  readonly member: string;
  /**
   * Milliseconds within which leadership must not leave a host and come back
   * to it.
   */
  readonly lease: number;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Run one after the other, in this order. */
  readonly tasks: readonly LeaderTask[];
  /** Whether this host is a candidate for leader. */
  readonly isCandidate: () => boolean;
  /** Called after each response of the store and after each failed call to it. */
  readonly heard: (answered: boolean) => void;
}

/** Takes part in the election of the leader and runs the leader tasks. */
export class LeaderElector {
  private term: Term = NO_TERM;
  private readonly durations: TermDurations;
  private isJoining = false;
  private isRunningTasks = false;
  private hasLeft = false;
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: LeaderElectorOptions) {
    this.durations = {
      timeToLive: MEMBER_TIME_TO_LIVE_MILLISECONDS,
      maxCallDelay: MAX_CALL_DELAY_MILLISECONDS,
      lease: options.lease,
    };
  }

  /**
   * Joins the group while this host is a candidate, stays in it, and runs the
   * tasks while this host is the leader.
   */
  start(): void {
    const tick = () => {
      void this.join();
      void this.runTasks();
    };
    this.stopTimer = this.options.clock.every(JOIN_INTERVAL_MILLISECONDS, tick);
    tick();
  }

  /** Whether this host is the leader and may act now. */
  get isActiveLeader(): boolean {
    return mayAct(this.term, this.options.clock.monotonic());
  }

  /** Leaves the group, so that another host can become leader at once. */
  async leave(): Promise<void> {
    this.hasLeft = true;
    this.stopTimer();
    this.term = termAfterLeave(this.term);
    const {store, member, logger} = this.options;
    try {
      await store.leave(GROUP, member, JOIN_TIMEOUT_MILLISECONDS);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      logger.warn('duties-not-left', {detail: error.message});
    }
  }

  private async join(): Promise<void> {
    const isBystander = this.term.fence === 0 && !this.options.isCandidate();
    if (this.isJoining || this.hasLeft || isBystander) return;
    this.isJoining = true;
    const {store, member, clock} = this.options;
    const askedAt = clock.monotonic();
    const joining = {
      group: GROUP,
      member,
      topic: TOPIC,
      timeToLive: MEMBER_TIME_TO_LIVE_MILLISECONDS,
      generation: this.term.generation,
    };
    try {
      const joined = await store.join(joining, JOIN_TIMEOUT_MILLISECONDS);
      const reply = {joined, askedAt, now: clock.monotonic()};
      if (!this.hasLeft)
        this.setTerm(termAfterJoin(this.term, reply, this.durations));
      this.options.heard(true);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      this.options.metrics.count('duties-join-failed', {
        reason: error.failure,
      });
      this.options.heard(false);
    } finally {
      this.isJoining = false;
    }
  }

  private setTerm(term: Term): void {
    const before = this.term;
    this.term = term;
    if (term.fence === before.fence) return;
    const {clock} = this.options;
    if (term.fence > 0) {
      const wait = Math.max(term.from - clock.monotonic(), 0);
      clock.after(wait + 1, () => void this.runTasks());
    }
    this.options.logger.info('duties', {
      held: term.fence > 0,
      fence: term.fence,
      generation: term.generation,
    });
  }

  private async runTasks(): Promise<void> {
    if (this.isRunningTasks || !this.isActiveLeader) return;
    this.isRunningTasks = true;
    const {fence} = this.term;
    const leader = {
      name: this.options.name,
      fence,
      mayAct: () => this.isActiveLeader && this.term.fence === fence,
    };
    try {
      for (const task of this.options.tasks) await this.runTask(task, leader);
    } finally {
      this.isRunningTasks = false;
    }
  }

  private async runTask(task: LeaderTask, leader: Leader): Promise<void> {
    try {
      await task(leader);
    } catch (error) {
      const {logger, metrics} = this.options;
      const reason = error instanceof Error ? error.name : 'unknown';
      const detail = error instanceof Error ? (error.stack ?? '') : 'unknown';
      metrics.count('duty-failed', {reason});
      logger.error('duty-failed', {reason, detail});
    }
  }
}
