/**
 * Feeds other hosts with the records of the store, and tracks the reports that
 * feed this host. Records are forwarded as soon as they arrive. A report
 * several times a second states how far the feeder knows each topic and how old
 * the store's response is on which that is based.
 */
import type {Cancel, Clock} from '../clock/index.js';
import {
  isBefore,
  type PeerRecordPage,
  type StorePosition,
  type TopicDigest,
} from '../store/index.js';
import {
  latestAnsweredAt,
  planFeed,
  isFeedFresh,
  withoutSilent,
  type FeedReport,
} from './feed.js';
import type {
  Feed,
  GossipMessage,
  HostAddress,
  TopicPosition,
} from './message.js';
import {positionOf, createRecordsMessage} from './records.js';

const REPORT_INTERVAL_MILLISECONDS = 400;
/** One in so many reports has digests of what is known. */
const DIGEST_INTERVAL_REPORTS = 10;
/** Milliseconds for which records are batched into one message. */
const BATCH_DELAY_MILLISECONDS = 20;
/** Least milliseconds between two requests for the records of a topic. */
const MIN_REQUEST_INTERVAL_MILLISECONDS = 300;

/**
 * Time for which a feeder follows the store that has had no fresh report. It
 * would else take what it has read itself, and others pass on, for theirs.
 */
const FALLBACK_MILLISECONDS = 10_000;

/** What a feeder is created from. */
export interface FeederOptions {
  readonly self: HostAddress;
  readonly clock: Clock;
  /** The other hosts that are reachable and not leaving. */
  readonly hosts: () => readonly HostAddress[];
  readonly send: (host: string, message: GossipMessage) => void;
  /** How far this host knows each topic. */
  readonly positions: () => readonly TopicPosition[];
  readonly records: (topic: string, position: StorePosition) => PeerRecordPage;
  /** Of each topic, a digest of what this host knows; none if it is not given. */
  readonly digests?: () => readonly TopicDigest[];
  /** Called with what a feeder knows of topics, to be compared. */
  readonly onDigests?: (digests: readonly TopicDigest[], host: string) => void;
  /** Monotonic milliseconds of the store's last response to this host. */
  readonly answeredAt: () => number;
  /**
   * Monotonic milliseconds at which the store was last found unreachable;
   * -Infinity for never.
   */
  readonly storeLostAt: () => number;
  /**
   * Called with the monotonic milliseconds at which a feeder has found the
   * store unreachable.
   */
  readonly onStoreLost: (at: number) => void;
}

/**
 * Feeds other hosts if this host is a feeder, and tells whether it is fed
 * itself.
 */
export class Feeder {
  private reports: ReadonlyMap<string, FeedReport> = new Map();
  private follows = true;
  /** Whether it was fed at the last report. */
  private wasFed = false;
  /** Monotonic milliseconds until which this host follows the store itself. */
  private fallbackUntil = -Infinity;
  private feeds: readonly string[] = [];
  /** For each topic, up to where records have been forwarded. */
  private readonly forwardedUpTo = new Map<string, StorePosition>();
  private readonly requestedAt = new Map<string, number>();
  private reportsSent = 0;
  private stopTimer: Cancel = () => {};
  private stopBatching: Cancel | undefined;

  constructor(private readonly options: FeederOptions) {}

  start(): void {
    this.stopTimer = this.options.clock.every(
      REPORT_INTERVAL_MILLISECONDS,
      () => this.sendReports(),
    );
  }

  stop(): void {
    this.stopTimer();
    this.stopBatching?.();
  }

  /** Whether this host can leave it to feeders to follow the store. */
  get isFed(): boolean {
    const now = this.options.clock.monotonic();
    if (this.follows || now < this.fallbackUntil) return false;
    return isFeedFresh(this.reports, now, this.isFeeding);
  }

  /**
   * Monotonic milliseconds of the store's last answer, to this host or to a feeder;
   * -Infinity for none.
   */
  get storeAnsweredAt(): number {
    const now = this.options.clock.monotonic();
    return Math.max(this.options.answeredAt(), this.latestReportedAnswer(now));
  }

  /** Number of feeders whose last report is kept. */
  get reportCount(): number {
    return this.reports.size;
  }

  /** Whether this host follows the store for others. */
  get isFeeding(): boolean {
    return this.feeds.length > 0;
  }

  /**
   * Called when records have arrived; forwards them shortly afterwards, in a
   * batch.
   */
  handleNewRecords(): void {
    if (!this.isFeeding) return;
    this.stopBatching ??= this.options.clock.after(
      BATCH_DELAY_MILLISECONDS,
      () => this.forwardRecords(),
    );
  }

  /**
   * Handles a feeder's report, and requests the records that it has and this
   * host lacks.
   */
  handleReport({from, positions, digests, age, lostAgo}: Feed): void {
    const {onStoreLost, clock} = this.options;
    const now = clock.monotonic();
    const report = {heardAt: now, answeredAt: now - age};
    this.reports = withoutSilent(this.reports, now).set(from.name, report);
    if (lostAgo !== undefined) onStoreLost(now - lostAgo);
    for (const {topic} of positions) {
      const known = positionOf(this.options.positions(), topic);
      if (isBefore(known, positionOf(positions, topic)))
        this.requestRecords(from.name, topic, known);
    }
    if (digests) this.options.onDigests?.(digests, from.name);
  }

  private sendReports(): void {
    const {self, clock, hosts, positions, send} = this.options;
    const plan = planFeed(self, hosts());
    this.follows = plan.follows;
    this.feeds = plan.feeds;
    const {isFed} = this;
    if (this.wasFed && !isFed && this.isFeeding)
      this.fallbackUntil = clock.monotonic() + FALLBACK_MILLISECONDS;
    this.wasFed = isFed;
    if (plan.feeds.length === 0) return this.forwardedUpTo.clear();
    this.forwardRecords();
    const now = clock.monotonic();
    const lostAgo = now - this.options.storeLostAt();
    const hasDigests = this.reportsSent++ % DIGEST_INTERVAL_REPORTS === 0;
    const digests = hasDigests ? this.options.digests?.() : undefined;
    const report: Feed = {
      kind: 'feed',
      from: self,
      positions: [...positions()],
      ...(digests && {digests: [...digests]}),
      age: now - this.storeAnsweredAt,
      lostAgo: Number.isFinite(lostAgo) ? lostAgo : undefined,
    };
    if (!Number.isFinite(report.age)) return;
    for (const host of plan.feeds) send(host, report);
  }

  private latestReportedAnswer(now: number): number {
    return latestAnsweredAt(this.reports, now);
  }

  private forwardRecords(): void {
    this.stopBatching?.();
    this.stopBatching = undefined;
    const {self, positions, records, send} = this.options;
    for (const {topic} of positions()) {
      const position = positionOf(positions(), topic);
      const from = this.forwardedUpTo.get(topic) ?? position;
      this.forwardedUpTo.set(topic, position);
      if (!isBefore(from, position)) continue;
      const message = createRecordsMessage(self, topic, records(topic, from));
      for (const host of this.feeds) send(host, message);
    }
  }

  private requestRecords(
    host: string,
    topic: string,
    {offset: position, era}: StorePosition,
  ): void {
    const {clock, self, send} = this.options;
    const now = clock.monotonic();
    const last = this.requestedAt.get(topic) ?? -Infinity;
    if (now - last < MIN_REQUEST_INTERVAL_MILLISECONDS) return;
    this.requestedAt.set(topic, now);
    send(host, {kind: 'wanted', from: self, topic, position, era});
  }
}
