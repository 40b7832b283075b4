/**
 * Feeds other hosts with what the store says, and notes what this host is fed:
 * records go out as soon as they come in, and a word several times a second
 * says how far they reach and how old the store's answer behind them is.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {PassedOn} from '../store/index.js';
import {answeredAt, feedPlan, isFed, type FeedWord} from './feed.js';
import type {Feed, Gossip, HostAddress, TopicPosition} from './message.js';
import {positionOf, recordsMessage} from './records.js';

const WORD_MILLISECONDS = 400;
/** Milliseconds for which records are gathered into one message. */
const GATHER_MILLISECONDS = 20;
/** Least milliseconds between two requests for the same records. */
const ASK_MILLISECONDS = 300;

/** What a feeder is made from. */
export interface FeederOptions {
  readonly self: HostAddress;
  readonly clock: Clock;
  /** The other hosts that are in reach and stay. */
  readonly hosts: () => readonly HostAddress[];
  readonly send: (host: string, message: Gossip) => void;
  /** How far this host knows each topic. */
  readonly positions: () => readonly TopicPosition[];
  readonly records: (topic: string, position: number) => PassedOn;
  /** Monotonic milliseconds of the store's last answer to this host. */
  readonly answeredAt: () => number;
  /** Monotonic milliseconds at which the store was last found away. */
  readonly lostAt: () => number;
  /** Called where a feeder has found the store away. */
  readonly lost: (at: number) => void;
}

/** This host's part in the feeding. */
export class Feeder {
  private words: ReadonlyMap<string, FeedWord> = new Map();
  private follows = true;
  private feeds: readonly string[] = [];
  /** How far the records of each topic have been passed on. */
  private readonly passed = new Map<string, number>();
  private readonly askedAt = new Map<string, number>();
  private stopTimer: Cancel = () => {};
  private stopGathering: Cancel | undefined;

  constructor(private readonly options: FeederOptions) {}

  start(): void {
    this.stopTimer = this.options.clock.every(WORD_MILLISECONDS, () =>
      this.tell(),
    );
  }

  stop(): void {
    this.stopTimer();
    this.stopGathering?.();
  }

  /** Whether this host may leave it to others to follow the store. */
  get fed(): boolean {
    return !this.follows && isFed(this.words, this.options.clock.monotonic());
  }

  /** Whether this host follows the store for others. */
  get hasFed(): boolean {
    return this.feeds.length > 0;
  }

  /** Notes that records have come in, and passes them on soon. */
  changed(): void {
    if (!this.hasFed) return;
    this.stopGathering ??= this.options.clock.after(GATHER_MILLISECONDS, () =>
      this.passOn(),
    );
  }

  /** Takes in a feeder's word. */
  take({from, positions, age, lostAgo}: Feed): void {
    const {lost, clock} = this.options;
    const now = clock.monotonic();
    const word = {heardAt: now, answeredAt: now - age};
    this.words = new Map(this.words).set(from.name, word);
    if (lostAgo !== undefined) lost(now - lostAgo);
    for (const {topic, position} of positions) {
      const known = positionOf(this.options.positions(), topic);
      if (position > known) this.ask(from.name, topic, known);
    }
  }

  private tell(): void {
    const {self, clock, hosts, positions, send} = this.options;
    const plan = feedPlan(self, hosts());
    this.follows = plan.follows;
    this.feeds = plan.feeds;
    if (plan.feeds.length === 0) return this.passed.clear();
    this.passOn();
    const now = clock.monotonic();
    const lostAgo = now - this.options.lostAt();
    const word: Feed = {
      kind: 'feed',
      from: self,
      positions: [...positions()],
      age: now - Math.max(this.options.answeredAt(), this.heardOf(now)),
      lostAgo: Number.isFinite(lostAgo) ? lostAgo : undefined,
    };
    if (!Number.isFinite(word.age)) return;
    for (const host of plan.feeds) send(host, word);
  }

  private heardOf(now: number): number {
    return answeredAt(this.words, now);
  }

  private passOn(): void {
    this.stopGathering?.();
    this.stopGathering = undefined;
    const {self, positions, records, send} = this.options;
    for (const {topic, position} of positions()) {
      const from = this.passed.get(topic) ?? position;
      this.passed.set(topic, position);
      if (position <= from) continue;
      const message = recordsMessage(self, topic, records(topic, from));
      for (const host of this.feeds) send(host, message);
    }
  }

  private ask(host: string, topic: string, position: number): void {
    const {clock, self, send} = this.options;
    const now = clock.monotonic();
    const last = this.askedAt.get(topic) ?? -Infinity;
    if (now - last < ASK_MILLISECONDS) return;
    this.askedAt.set(topic, now);
    send(host, {kind: 'wanted', from: self, topic, position});
  }
}
