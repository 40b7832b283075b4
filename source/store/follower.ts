/**
 * Keeps a host's view of a keyed topic up to date: the newest records first,
 * then one long read after another. A read that is silent for longer than it
 * may wait is given up and made anew on another connection, and failures are
 * spaced out with a spread, so that hosts do not come back all at once.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Random} from '../random/index.js';
import {
  afterFollow,
  afterReload,
  recordsFrom,
  UNREAD,
  type KeyedState,
  type PassedOn,
} from './keyed.js';
import {StoreError, type KeyedRecord, type RecordStore} from './store.js';

/** Milliseconds for which a read waits at the store. */
const WAIT_MILLISECONDS = 2_000;
/** Milliseconds beyond its wait after which a read counts as lost. */
const ANSWER_MILLISECONDS = 1_000;
/** The same while the store is away, when reads do not wait. */
const PROBE_MILLISECONDS = 600;
/** Milliseconds between two looks at whether the host is still fed. */
const FED_MILLISECONDS = 200;
/**
 * Milliseconds after a change for which more of them are gathered, since each
 * would cost a call; a host that feeds others has the calls of a large fleet.
 */
const GATHER_MILLISECONDS = 50;
const FEEDER_GATHER_MILLISECONDS = 200;
const FIRST_PAUSE_MILLISECONDS = 100;
const LONGEST_PAUSE_MILLISECONDS = 600;

/** What a follower is made from. */
export interface FollowerOptions {
  readonly store: RecordStore;
  readonly topic: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  /** Called with the records that changed the view, in their order. */
  readonly changed: (records: readonly KeyedRecord[]) => void;
  /** Whether other hosts follow the topic for this one. */
  readonly fed: () => boolean;
  /** Whether this host follows the topic for others. */
  readonly feeds: () => boolean;
  /** Called after each answer of the store and each failure to get one. */
  readonly heard: (answered: boolean) => void;
}

/** A view of one keyed topic that follows the store. */
export class KeyedFollower {
  private state: KeyedState = UNREAD;
  private read = false;
  /** Monotonic milliseconds of the store's last answer. */
  answeredAt = -Infinity;
  private failures = 0;
  private stopped = false;
  private wake: Cancel = () => {};

  constructor(private readonly options: FollowerOptions) {}

  get topic(): string {
    return this.options.topic;
  }

  /** Whether the topic has been read once. */
  get complete(): boolean {
    return this.read;
  }

  /** The offset up to which the topic is known; 0 before the first reading. */
  get position(): number {
    return this.state.next ?? 0;
  }

  /** The records that are known from an offset. */
  from(position: number): PassedOn {
    return recordsFrom(this.state, position);
  }

  /** Takes over records that another host has passed on. */
  take(page: PassedOn): void {
    const after = page.whole ? afterReload : afterFollow;
    this.adopt(after(this.state, page));
  }

  /** Follows the topic until the follower is stopped. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.rests) {
          await this.pause(FED_MILLISECONDS);
          continue;
        }
        const before = this.position;
        await this.step();
        this.recovered();
        if (this.position > before) await this.gather();
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        await this.failed(error);
      }
    }
  }

  /** Ends the following after the read that is under way. */
  stop(): void {
    this.stopped = true;
    this.wake();
  }

  private get rests(): boolean {
    return this.state.next !== undefined && this.options.fed();
  }

  private async step(): Promise<void> {
    const {store, topic} = this.options;
    const {next} = this.state;
    const bound = ANSWER_MILLISECONDS;
    if (next === undefined) {
      const page = await store.newest(topic, bound);
      this.adopt(afterReload(this.state, page));
      return;
    }
    const away = this.failures > 0;
    const wait = away ? 0 : WAIT_MILLISECONDS;
    const longest = away ? PROBE_MILLISECONDS : wait + bound;
    const waiting = {from: next, wait};
    const page = await store.followKeyed(topic, waiting, longest);
    this.adopt(afterFollow(this.state, page));
  }

  private adopt({state, changes}: ReturnType<typeof afterFollow>): void {
    this.state = state;
    this.read = true;
    if (changes.length > 0 && !this.stopped) this.options.changed(changes);
  }

  private recovered(): void {
    const {logger, topic} = this.options;
    if (this.failures > 0) {
      logger.info('store-regained', {topic, failures: this.failures});
    }
    this.failures = 0;
    this.answeredAt = this.options.clock.monotonic();
    this.options.heard(true);
  }

  private async failed(error: StoreError): Promise<void> {
    if (error.failure === 'expired') {
      const {logger, topic} = this.options;
      logger.info('store-history-lost', {topic, position: this.position});
      this.state = {...this.state, next: undefined};
      return;
    }
    const {logger, topic} = this.options;
    if (this.failures === 0) {
      logger.warn('store-lost', {topic, detail: error.message});
    }
    this.failures++;
    this.options.heard(false);
    const longest = FIRST_PAUSE_MILLISECONDS * 2 ** (this.failures - 1);
    const pause = Math.min(longest, LONGEST_PAUSE_MILLISECONDS);
    await this.pause(pause * (0.5 + this.options.random.next() / 2));
  }

  private gather(): Promise<void> {
    return this.pause(
      this.options.feeds() ? FEEDER_GATHER_MILLISECONDS : GATHER_MILLISECONDS,
    );
  }

  private pause(duration: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.options.clock.after(duration, resolve);
      this.wake = () => {
        cancel();
        resolve();
      };
    });
  }
}
