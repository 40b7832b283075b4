/**
 * Usage by team and window, collected through a topic of the store. Every host
 * appends its own sheets. The leader sums up a window some time after its end
 * and freezes it with a conditional append, which fails if anything was appended
 * in between. The first freeze of a window is the one that all readers use, and
 * only frozen figures are reported, so a repeated report has the same figures.
 */
import type {Cancel, Clock} from '../clock/index.js';
import {incarnationOf, type HostAddress} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Sheet} from '../platform/index.js';
import {RecorderRelay, type RecorderLink} from '../recorder/index.js';
import type {RandomSource} from '../random/index.js';
import {StoreError, type RecordStore} from '../store/index.js';
import {
  applyFreeze,
  nextFreeze,
  nextUnreported,
  emptyLedger,
  foldReported,
  UsageSheets,
  type UsageLedger,
} from '../usage/index.js';
import type {FencedPlatformClient, Leader} from './client.js';
import {FreezeHistory} from './freezehistory.js';
import {UNSTORED_PAST_WINDOWS, UsageReplicas} from './usagereplicas.js';
import {
  RETRY_DELAY_MILLISECONDS,
  UsageTopic,
  type UsageRecord,
} from './usagetopic.js';

/** Usage is counted for the platform as a whole, as if it had one region. */
const REGION = 'all';
/** Milliseconds after the end of a window at which its sheet is appended. */
const APPEND_DELAY_MILLISECONDS = 200;
/** Longest random wait beyond that, which spreads the appends of the hosts. */
const MAX_APPEND_JITTER_MILLISECONDS = 600;
/** Milliseconds after the end of a window from which it may be frozen. */
const FREEZE_DELAY_MILLISECONDS = 2_500;
/** Windows for which a freeze waits for the sheets of unreachable hosts. */
const MISSING_SHEETS_WAIT_WINDOWS = 1;
/** A new leader still reports at least this many past windows. */
const MIN_REPORTED_WINDOWS = 4;
/** Windows for which a host keeps sheets. */
const RETAINED_WINDOWS = 20;
/**
 * Age up to which sheets and freezes are appended again when the store has come
 * back from a copy, which is some seconds old.
 */
const REWRITTEN_MILLISECONDS = 30_000;

/** Time for which the recorder of a zone gathers the sheets of its hosts. */
const GATHERING_MILLISECONDS = 300;
/** Time after which a host no longer waits for its recorder. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_200;

/** Dependencies and settings of a usage meter. */
export interface UsageMeterOptions {
  /** Identifies this incarnation of the host among all hosts. */
  readonly incarnation: string;
  /** The other hosts, whose sheets a freeze waits for. */
  readonly hosts: () => readonly HostAddress[];
  /** How sheets are passed to the host that appends them for this one. */
  readonly relay: RecorderLink<Sheet>;
  /** Length of a window in milliseconds. */
  readonly window: number;
  /** Milliseconds after its end within which a window must be reported. */
  readonly reportDeadline: number;
  readonly store: RecordStore;
  readonly client: FencedPlatformClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The usage of this host, and the usage windows as the store has them. */
export class UsageMeter {
  private readonly sheets: UsageSheets;
  private readonly replicas: UsageReplicas;
  private ledger: UsageLedger = emptyLedger();
  private readonly topic: UsageTopic;
  /** Stores this host's sheets, and those that others send to it. */
  readonly relay: RecorderRelay<Sheet>;
  private stopTimer: Cancel = () => {};
  /** The freezes that this host knows, and what a restored store may lack. */
  readonly freezes: FreezeHistory;

  constructor(private readonly options: UsageMeterOptions) {
    this.sheets = new UsageSheets(REGION, options.incarnation);
    this.replicas = new UsageReplicas(options.logger);
    this.freezes = new FreezeHistory(options.store.restores);
    this.relay = new RecorderRelay({
      ...options.relay,
      clock: options.clock,
      gathering: GATHERING_MILLISECONDS,
      patience: CONFIRMATION_TIMEOUT_MILLISECONDS,
      append: sheets => this.topic.appendSheets(sheets),
    });
    this.topic = new UsageTopic({
      ...options,
      onRecord: record => this.applyRecord(record),
    });
    options.store.restores.onRestore(era => this.appendAnew(era));
  }

  /** Counts a request of a team that an endpoint has begun to run. */
  countRequest(team: string): void {
    this.sheets.add(this.windowAt(0), {team, requests: 1, tokens: 0});
  }

  /**
   * Full sheets of this host that may not be in the store yet, for other hosts
   * to keep.
   */
  unstoredSheets(): Sheet[] {
    const oldest = this.windowAt(0) - UNSTORED_PAST_WINDOWS;
    return this.sheets.takeUpdates(true).filter(({window}) => window >= oldest);
  }

  /**
   * Keeps the sheets of another host, in case it dies before it has appended
   * them. `host` is its incarnation.
   */
  keepReplica(host: string, sheets: readonly Sheet[]): void {
    this.replicas.keep(host, sheets);
  }

  /** Number of hosts whose sheets this host keeps. */
  get replicaCount(): number {
    return this.replicas.hostCount;
  }

  /** Appends the sheets that this host has kept for a host that was lost. */
  async appendReplicaOf(host: string): Promise<void> {
    const sheets = this.replicas.take(host);
    if (sheets.length === 0) return;
    const {logger} = this.options;
    const windows = sheets.map(({window}) => window).join();
    logger.info('usage-appended-for', {host, windows});
    await this.appendUntilStored(sheets);
  }

  /** Starts to append this host's sheet after each window. */
  start(): void {
    const {window, clock, random} = this.options;
    this.sheets.ensureSheet(this.windowAt(0));
    this.freezes.begin(this.windowAt(0));
    const timeLeft = window - (clock.now().getTime() % window);
    const jitter = random.next() * MAX_APPEND_JITTER_MILLISECONDS;
    const delay = timeLeft + APPEND_DELAY_MILLISECONDS + jitter;
    this.stopTimer = clock.after(delay, () => {
      void this.appendOwnSheets();
      this.start();
    });
  }

  /** Seals all sheets of this host and appends them, before it stops. */
  async seal(): Promise<void> {
    this.stopTimer();
    this.sheets.sealBefore(Infinity);
    await this.appendOwnSheets();
  }

  /**
   * The leader task: freezes the windows that are complete and reports those
   * that are frozen.
   */
  async freezeAndReport(leader: Leader): Promise<void> {
    try {
      await this.topic.readToEnd();
      this.freezes.recordLeading(this.options.clock.monotonic());
      await this.freezeCompleteWindows(leader);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      const {logger} = this.options;
      logger.warn('usage-not-frozen', {detail: error.message});
    }
    await this.reportFrozenWindows(leader);
  }

  /**
   * Incarnations of the other hosts that must have sealed their sheet of a
   * window: those that were started before its end.
   */
  private expectedIncarnations(window: number): ReadonlySet<string> {
    const {hosts, window: length} = this.options;
    const end = (window + 1) * length;
    const expected = hosts().filter(({started}) => started < end);
    return new Set(expected.map(incarnationOf));
  }

  /** The number of the window that was open `age` milliseconds ago. */
  private windowAt(age: number): number {
    const {clock, window} = this.options;
    return Math.floor((clock.now().getTime() - age) / window);
  }

  /** Appends what has changed in this host's sheets since the last append. */
  private async appendOwnSheets(): Promise<void> {
    this.sheets.sealBefore(this.windowAt(0));
    this.sheets.removeBefore(this.windowAt(0) - RETAINED_WINDOWS);
    this.replicas.removeBefore(this.windowAt(0) - RETAINED_WINDOWS);
    const sheets = this.sheets.takeUpdates(false);
    if (sheets.length === 0) return;
    if (await this.relay.store(sheets)) return;
    const windows = new Set(sheets.map(({window}) => window));
    this.retryAppend(windows);
  }

  /**
   * Appends again what the store may have lost, as it has come back from a copy:
   * this host's sheets, each host at another time, and the freezes that it knows
   * at once, before another leader can freeze these windows.
   */
  private appendAnew(era: number): void {
    const {clock, random, logger} = this.options;
    const oldest = this.windowAt(REWRITTEN_MILLISECONDS);
    const windows = this.sheets
      .takeUpdates(true)
      .map(({window}) => window)
      .filter(window => window >= oldest && window < this.windowAt(0));
    const freezes = this.freezes.since(oldest);
    this.freezes.recordRestore({
      era,
      window: this.windowAt(FREEZE_DELAY_MILLISECONDS),
      now: clock.monotonic(),
    });
    logger.info('usage-appended-anew', {
      sheets: windows.length,
      freezes: freezes.length,
    });
    void this.topic.appendFreezes(freezes);
    if (windows.length === 0) return;
    clock.after(random.next() * MAX_APPEND_JITTER_MILLISECONDS, () => {
      const recent = new Set(windows);
      const sheets = this.sheets
        .takeUpdates(true)
        .filter(({window}) => recent.has(window));
      void this.relay.store(sheets).then(stored => {
        if (!stored) this.retryAppend(recent);
      });
    });
  }

  /**
   * Appends this host's sheets of some windows again, in full, until the store
   * has confirmed them: the earlier append may have been lost.
   */
  private retryAppend(windows: ReadonlySet<number>): void {
    this.options.clock.after(RETRY_DELAY_MILLISECONDS, () => {
      const full = this.sheets.takeUpdates(true);
      const sheets = full.filter(({window}) => windows.has(window));
      if (sheets.length === 0) return;
      void this.topic.appendSheets(sheets).then(stored => {
        if (!stored) this.retryAppend(windows);
      });
    });
  }

  /**
   * Appends sheets that no other host has, again and again until the store has
   * confirmed them or their windows are too old.
   */
  private async appendUntilStored(sheets: readonly Sheet[]): Promise<void> {
    if (await this.topic.appendSheets(sheets)) return;
    const {clock, logger} = this.options;
    const oldest = this.windowAt(0) - RETAINED_WINDOWS;
    const recent = sheets.filter(({window}) => window >= oldest);
    if (recent.length === 0)
      return logger.warn('usage-given-up', {kept: oldest});
    clock.after(
      RETRY_DELAY_MILLISECONDS,
      () => void this.appendUntilStored(recent),
    );
  }

  private applyRecord(record: UsageRecord): void {
    if (record.kind === 'usage-freeze') {
      this.freezes.keep(record, this.windowAt(REWRITTEN_MILLISECONDS));
      this.ledger = applyFreeze(this.ledger, record);
    } else {
      for (const sheet of record.sheets) this.sheets.applyUpdate(sheet);
    }
  }

  private async freezeCompleteWindows({
    name,
    fence,
    mayAct,
  }: Leader): Promise<void> {
    const {logger} = this.options;
    for (;;) {
      const record = nextFreeze(this.sheets, this.ledger, {
        region: REGION,
        holder: name,
        fence,
        oldestWindow: this.freezes.oldestWindowToFreeze,
        currentWindow: this.windowAt(FREEZE_DELAY_MILLISECONDS),
        maxWaitWindows: MISSING_SHEETS_WAIT_WINDOWS,
        expectedIncarnations: window => this.expectedIncarnations(window),
      });
      if (!record || !mayAct()) return;
      const offset = this.topic.offset ?? 0;
      try {
        await this.topic.appendFreezeAt(record, offset);
        const {window, figures, includes} = record;
        const teams = figures.length;
        const hosts = includes.length;
        logger.info('usage-frozen', {window, teams, hosts, offset});
      } catch (error) {
        // A conflict: something was appended in between, or an earlier append
        // whose response was lost went through. The loop reads it before it
        // looks at the window again.
        const isConflict =
          error instanceof StoreError && error.failure === 'conflict';
        if (!isConflict) throw error;
      }
      await this.topic.readToEnd();
    }
  }

  private async reportFrozenWindows(leader: Leader): Promise<void> {
    const {window: length, reportDeadline: deadline} = this.options;
    const oldest = this.windowAt(
      Math.max(deadline, MIN_REPORTED_WINDOWS * length),
    );
    for (;;) {
      const frozen = nextUnreported(this.ledger, REGION);
      if (!frozen || !leader.mayAct()) return;
      const {window, figures} = frozen;
      if (window < oldest) this.skipWindow(window);
      else if (!(await this.reportWindow(window, figures, leader))) return;
      const reported = {
        kind: 'usage-reported',
        region: REGION,
        window,
      } as const;
      this.ledger = foldReported(this.ledger, reported);
      this.sheets.carryOver(this.ledger, this.windowAt(0));
    }
  }

  /** Skips a window that is too old, such as one of a former leader. */
  private skipWindow(window: number): void {
    const {logger, metrics} = this.options;
    logger.warn('usage-passed-over', {window});
    metrics.count('usage-passed-over');
  }

  private async reportWindow(
    window: number,
    figures: ReadonlyArray<{team: string; requests: number}>,
    leader: Leader,
  ): Promise<boolean> {
    const counts = Object.fromEntries(
      figures.map(({team, requests}) => [team, requests]),
    );
    const outcome = await this.options.client.reportUsage(
      {window, counts},
      leader,
    );
    const {fence} = leader;
    this.options.logger.info('usage-reported', {window, fence, outcome});
    return outcome === 'done';
  }
}
