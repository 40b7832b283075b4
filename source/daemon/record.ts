/**
 * What a host does with the platform's log: it follows it, folds it, settles
 * requests that may run once by it, and now and then appends a snapshot.
 */
import {ClaimTable, ClaimWriter, AtMostOnceExecutor} from '../claims/index.js';
import type {Clock} from '../clock/index.js';
import {LogReplica} from '../fleet/index.js';
import {
  initialLogState,
  isComplete,
  LogFollower,
  takeSnapshot,
  type LogState,
  type AppliedEntry,
} from '../log/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LogEntry, Platform, Sheet} from '../platform/index.js';

/** What the record plane is made from. */
export interface RecordPlaneOptions {
  readonly incarnation: string;
  /** Records of the log after which a snapshot is due. */
  readonly snapshotRecords: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platform: Platform;
  /** Called when the log's state has changed. */
  readonly changed: (before: LogState, after: LogState) => void;
  /** Called with usage sheets that the log holds. */
  readonly sheets: (sheets: readonly Sheet[]) => void;
  /** Called when the host may have come to know all of the log. */
  readonly caughtUp: () => void;
}

/** The part of a host that deals with the log. */
export class RecordPlane {
  readonly log: LogReplica;
  readonly follower: LogFollower;
  readonly once: AtMostOnceExecutor;
  readonly writer: ClaimWriter;
  private readonly claims = new ClaimTable();
  private relayedAt = -Infinity;

  constructor(private readonly options: RecordPlaneOptions) {
    const {clock, incarnation} = options;
    this.log = this.createLog();
    this.follower = this.createFollower();
    this.writer = this.createWriter();
    this.once = new AtMostOnceExecutor({
      clock,
      incarnation,
      table: this.claims,
      writer: this.writer,
      isLogCaughtUp: () => this.follower.isReachable && this.log.claimsComplete,
    });
  }

  get fold(): LogState {
    return this.log.fold;
  }

  get claimCount(): number {
    return this.claims.size;
  }

  /**
   * Milliseconds since this host knew all of the log, by itself or through a
   * host that did.
   */
  get age(): number {
    const relayed = this.options.clock.monotonic() - this.relayedAt;
    return Math.min(this.follower.age, relayed);
  }

  /** Notes that a host which reads the log knows no more than this one. */
  noteRelayed(): void {
    this.relayedAt = this.options.clock.monotonic();
  }

  /** The offset from which entries are wanted; -1 for all that there are. */
  get wanted(): number {
    const {fold} = this;
    const known = isComplete(fold) && fold.configuration.offset >= 0;
    return known ? fold.next : -1;
  }

  /** Appends a snapshot if one is due, so that old records may expire. */
  snapshotIfDue(mayAct: () => boolean): void {
    const {snapshotRecords, platform, metrics} = this.options;
    const {fold} = this;
    const since = fold.next - 1 - Math.max(fold.snapshotCovers, 0);
    const due = since >= snapshotRecords && isComplete(fold);
    if (!due || !mayAct()) return;
    platform.append([{kind: 'snapshot', snapshot: takeSnapshot(fold)}]).then(
      () => metrics.count('snapshot'),
      () => metrics.count('append-failed', {kind: 'snapshot'}),
    );
  }

  private createLog(): LogReplica {
    const {metrics, changed} = this.options;
    return new LogReplica(initialLogState(0), {
      metrics,
      applied: (folded, entry) => this.noteApplied(folded, entry),
      claims: (record, offset) => {
        this.claims.apply(record, offset);
        this.once.releaseAbandonedClaims(record);
        this.writer.refreshSettled();
      },
      changed,
    });
  }

  private noteApplied(
    {record, verdict}: AppliedEntry,
    {offset}: LogEntry,
  ): void {
    const {metrics, logger, sheets} = this.options;
    if (!record) {
      metrics.count('record-malformed');
      logger.warn('record-malformed', {offset});
      return;
    }
    if (record.kind === 'usage-sheets') sheets(record.sheets);
    if (record.kind !== 'release-note' || !verdict) return;
    metrics.count('release-note', {verdict: verdict.kind});
    const {id} = record.note;
    logger.info('release-note', {id, offset, verdict: verdict.kind});
  }

  private createFollower(): LogFollower {
    const {platform, clock, logger, caughtUp} = this.options;
    return new LogFollower({
      platform,
      clock,
      onFirstOffset: first => {
        this.log.start(first);
        this.claims.removeBefore(first);
      },
      onEntries: entries => this.log.applyEntries(entries),
      nextOffset: () => this.log.next,
      onReachableChange: reachable => logger.info('log-reach', {reachable}),
      onEndReached: caughtUp,
    });
  }

  private createWriter(): ClaimWriter {
    const {platform, clock, metrics, incarnation} = this.options;
    return new ClaimWriter({
      platform,
      clock,
      incarnation,
      isSettled: id => {
        const standing = this.claims.get(id);
        const mine = standing?.incarnation === incarnation;
        return !mine || standing.settlement !== undefined;
      },
      onAppendFailed: () => metrics.count('append-failed', {kind: 'claims'}),
    });
  }
}
