/**
 * Keeps this host in the group that shares out the duties, and carries them
 * out while it holds them.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {StoreError, type RecordStore} from '../store/index.js';
import type {Holder} from './calls.js';
import {
  afterJoin,
  afterLeave,
  mayAct,
  NO_TERM,
  type Term,
  type TermTimes,
} from './term.js';

const GROUP = 'duties';
const TOPIC = 'duties';
const JOIN_MILLISECONDS = 1_000;
const JOIN_BOUND_MILLISECONDS = 900;
const TIME_TO_LIVE_MILLISECONDS = 3_000;
/** Longest time that a call may be on its way. */
const FLIGHT_MILLISECONDS = 600;

/** Something that the holder does from time to time; never throws. */
export type Duty = (holder: Holder) => Promise<void>;

/** What a desk is made from. */
export interface DutyDeskOptions {
  /** Name of the host, by which the platform knows the holder. */
  readonly name: string;
  /** Names this start of the host. */
  readonly member: string;
  readonly lease: number;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly duties: readonly Duty[];
  /** Whether this host is among those that stand for the duties. */
  readonly stands: () => boolean;
  /** Called after each answer of the store and each failure to get one. */
  readonly heard: (answered: boolean) => void;
}

/** This host's part in the duties. */
export class DutyDesk {
  private term: Term = NO_TERM;
  private readonly times: TermTimes;
  private joining = false;
  private working = false;
  private left = false;
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: DutyDeskOptions) {
    this.times = {
      timeToLive: TIME_TO_LIVE_MILLISECONDS,
      flight: FLIGHT_MILLISECONDS,
      lease: options.lease,
    };
  }

  /** Joins the group and stays in it. */
  start(): void {
    const turn = () => {
      void this.join();
      void this.work();
    };
    this.stopTimer = this.options.clock.every(JOIN_MILLISECONDS, turn);
    turn();
  }

  /** Whether this host may act now. */
  get holds(): boolean {
    return mayAct(this.term, this.options.clock.monotonic());
  }

  /** Gives the duties up, so that another host has them at once. */
  async leave(): Promise<void> {
    this.left = true;
    this.stopTimer();
    this.term = afterLeave(this.term);
    const {store, member, logger} = this.options;
    try {
      await store.leave(GROUP, member, JOIN_BOUND_MILLISECONDS);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      logger.warn('duties-not-left', {detail: error.message});
    }
  }

  private async join(): Promise<void> {
    const idle = this.term.fence === 0 && !this.options.stands();
    if (this.joining || this.left || idle) return;
    this.joining = true;
    const {store, member, clock} = this.options;
    const askedAt = clock.monotonic();
    const joining = {
      group: GROUP,
      member,
      topic: TOPIC,
      timeToLive: TIME_TO_LIVE_MILLISECONDS,
      generation: this.term.generation,
    };
    try {
      const joined = await store.join(joining, JOIN_BOUND_MILLISECONDS);
      const confirmation = {joined, askedAt, now: clock.monotonic()};
      if (!this.left)
        this.adopt(afterJoin(this.term, confirmation, this.times));
      this.options.heard(true);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      this.options.metrics.count('duties-join-failed', {
        reason: error.failure,
      });
      this.options.heard(false);
    } finally {
      this.joining = false;
    }
  }

  private adopt(term: Term): void {
    const before = this.term;
    this.term = term;
    if (term.fence === before.fence) return;
    const {clock} = this.options;
    if (term.fence > 0) {
      const wait = Math.max(term.from - clock.monotonic(), 0);
      clock.after(wait + 1, () => void this.work());
    }
    this.options.logger.info('duties', {
      held: term.fence > 0,
      fence: term.fence,
      generation: term.generation,
    });
  }

  private async work(): Promise<void> {
    if (this.working || !this.holds) return;
    this.working = true;
    const {fence} = this.term;
    const holder = {
      name: this.options.name,
      fence,
      mayAct: () => this.holds && this.term.fence === fence,
    };
    try {
      for (const duty of this.options.duties) await duty(holder);
    } finally {
      this.working = false;
    }
  }
}
