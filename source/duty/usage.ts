/**
 * Usage windows, through the store. Every host appends what it has counted; the
 * holder of the duties adds up a window that has been over for a while and
 * freezes it by an append that holds only if nothing came in between. The first
 * freeze of a window counts for every reader, and only frozen figures are ever
 * reported, so a report that is sent again says the same.
 */
import {decode, encode} from 'cbor-x';
import * as z from 'zod';

import type {Cancel, Clock} from '../clock/index.js';
import {startOf, type HostAddress} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {
  logRecordSchema,
  type LogRecord,
  type Sheet,
} from '../platform/index.js';
import type {Random} from '../random/index.js';
import {StoreError, type RecordStore} from '../store/index.js';
import {
  adoptFreeze,
  dueFreeze,
  dueReport,
  emptyLedger,
  foldReported,
  UsageSheets,
  type UsageLedger,
} from '../usage/index.js';
import type {DutyCalls, Holder} from './calls.js';

const TOPIC = 'usage';
/** All windows of the platform are one subject. */
const REGION = 'all';
const CALL_MILLISECONDS = 1_200;
/** Milliseconds after its end at which a window's sheets are appended. */
const APPEND_MILLISECONDS = 200;
/** Longest further wait, which spreads the hosts' appends. */
const APPEND_SPREAD_MILLISECONDS = 600;
/** Milliseconds after its end from which a window may be frozen. */
const FREEZE_MILLISECONDS = 2_500;
/** Windows for which one waits for the sheets of hosts that are out of reach. */
const PATIENCE_WINDOWS = 1;
const RETRY_MILLISECONDS = 500;
/** Windows that are still reported by a new holder, at the least. */
const WINDOWS_REPORTED = 4;
/** Windows before the present one that may not be in the store yet. */
const WINDOWS_OPEN = 1;
/** Windows whose figures a host keeps. */
const WINDOWS_KEPT = 20;

type UsageRecord = Extract<LogRecord, {kind: 'usage-sheets' | 'usage-freeze'}>;

/** What usage is made from. */
export interface UsageOptions {
  /** Names this start of the host among the others. */
  readonly incarnation: string;
  /** The hosts whose counts are to be waited for. */
  readonly hosts: () => readonly HostAddress[];
  /** Length of a window in milliseconds. */
  readonly window: number;
  /** Milliseconds after its end within which a window is to be reported. */
  readonly late: number;
  readonly store: RecordStore;
  readonly calls: DutyCalls;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** This host's counts, and the windows as the store has them. */
export class Usage {
  private readonly sheets: UsageSheets;
  /** Counts of other hosts, by host. */
  private readonly entrusted = new Map<string, readonly Sheet[]>();
  private ledger: UsageLedger = emptyLedger();
  private next: number | undefined;
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: UsageOptions) {
    this.sheets = new UsageSheets(REGION, options.incarnation);
  }

  /** Notes that an endpoint began to run a request of a team. */
  add(team: string): void {
    this.sheets.add(this.windowAt(0), {team, requests: 1, tokens: 0});
  }

  /** This host's counts that may not be in the store yet. */
  open(): Sheet[] {
    const oldest = this.windowAt(0) - WINDOWS_OPEN;
    return this.sheets.copies(true).filter(({window}) => window >= oldest);
  }

  /** Keeps the counts of another host, in case it dies with them. */
  keep(host: string, sheets: readonly Sheet[]): void {
    const known = this.entrusted.get(host) ?? [];
    this.entrusted.set(host, newestOf(known, sheets));
  }

  /** Appends what a host that was lost had entrusted to this one. */
  async appendFor(host: string): Promise<void> {
    const sheets = this.entrusted.get(host);
    this.entrusted.delete(host);
    if (!sheets || sheets.length === 0) return;
    const {logger} = this.options;
    const windows = sheets.map(({window}) => window).join();
    logger.info('usage-appended-for', {host, windows});
    await this.appendUntilHeld(sheets);
  }

  /** Begins to append this host's counts after each window. */
  start(): void {
    const {window, clock, random} = this.options;
    this.sheets.begin(this.windowAt(0));
    const left = window - (clock.now().getTime() % window);
    const spread = random.next() * APPEND_SPREAD_MILLISECONDS;
    const wait = left + APPEND_MILLISECONDS + spread;
    this.stopTimer = clock.after(wait, () => {
      void this.append();
      this.start();
    });
  }

  /** Appends all that this host has counted, for good. */
  async seal(): Promise<void> {
    this.stopTimer();
    this.sheets.sealBefore(Infinity);
    await this.append();
  }

  /** The holder's part: freezes what is complete and reports what is frozen. */
  async carryOut(holder: Holder): Promise<void> {
    try {
      await this.read();
      await this.freeze(holder);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      const {logger} = this.options;
      logger.warn('usage-not-frozen', {detail: error.message});
    }
    await this.reportAll(holder);
  }

  /** The starts of hosts whose sheets of a window are still to come. */
  private expected(window: number): ReadonlySet<string> {
    const {hosts, window: length} = this.options;
    const end = (window + 1) * length;
    const there = hosts().filter(({started}) => started < end);
    return new Set(there.map(startOf));
  }

  private windowAt(ago: number): number {
    const {clock, window} = this.options;
    return Math.floor((clock.now().getTime() - ago) / window);
  }

  private async append(): Promise<void> {
    this.sheets.sealBefore(this.windowAt(0));
    this.sheets.forgetBefore(this.windowAt(0) - WINDOWS_KEPT);
    const sheets = this.sheets.copies(false);
    if (sheets.length === 0) return;
    if (await this.appendSheets(sheets)) return;
    const windows = new Set(sheets.map(({window}) => window));
    this.appendLater(windows);
  }

  /** Appends sheets whose append may have been lost, as whole ones. */
  private appendLater(windows: ReadonlySet<number>): void {
    this.options.clock.after(RETRY_MILLISECONDS, () => {
      const whole = this.sheets.copies(true);
      const sheets = whole.filter(({window}) => windows.has(window));
      if (sheets.length === 0) return;
      void this.appendSheets(sheets).then(done => {
        if (!done) this.appendLater(windows);
      });
    });
  }

  /** Appends sheets that nobody else has, again until the store has them. */
  private async appendUntilHeld(sheets: readonly Sheet[]): Promise<void> {
    if (await this.appendSheets(sheets)) return;
    const {clock, logger} = this.options;
    const kept = this.windowAt(0) - WINDOWS_KEPT;
    const left = sheets.filter(({window}) => window >= kept);
    if (left.length === 0) return logger.warn('usage-given-up', {kept});
    clock.after(RETRY_MILLISECONDS, () => void this.appendUntilHeld(left));
  }

  /** Appends sheets; answers whether the store has said that it has them. */
  private async appendSheets(sheets: readonly Sheet[]): Promise<boolean> {
    const {store, logger} = this.options;
    try {
      const record = recordOf({kind: 'usage-sheets', sheets: [...sheets]});
      await store.append(TOPIC, [record], CALL_MILLISECONDS);
      return true;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      const windows = sheets.map(({window}) => window).join();
      logger.warn('usage-not-appended', {windows, detail: error.message});
      return false;
    }
  }

  /** Reads the topic to its end. */
  private async read(): Promise<void> {
    const {store} = this.options;
    this.next ??= await store.oldest(TOPIC, CALL_MILLISECONDS);
    for (;;) {
      const waiting = {from: this.next, wait: 0};
      try {
        const page = await store.follow(TOPIC, waiting, CALL_MILLISECONDS);
        for (const bytes of page.records) this.fold(bytes);
        this.next = page.end;
        if (page.records.length === 0) return;
      } catch (error) {
        const expired =
          error instanceof StoreError && error.failure === 'expired';
        if (!expired) throw error;
        this.next = await store.oldest(TOPIC, CALL_MILLISECONDS);
      }
    }
  }

  private fold(bytes: Buffer): void {
    const record = parsedRecord(bytes);
    if (record?.kind === 'usage-freeze') {
      this.ledger = adoptFreeze(this.ledger, record);
    } else if (record?.kind === 'usage-sheets') {
      for (const sheet of record.sheets) this.sheets.receive(sheet);
    } else {
      this.options.metrics.count('record-malformed', {topic: TOPIC});
    }
  }

  private async freeze({name, fence, mayAct}: Holder): Promise<void> {
    const {store, logger} = this.options;
    for (;;) {
      const record = dueFreeze(this.sheets, this.ledger, {
        region: REGION,
        holder: name,
        fence,
        present: this.windowAt(FREEZE_MILLISECONDS),
        patience: PATIENCE_WINDOWS,
        expects: window => this.expected(window),
      });
      if (!record || !mayAct()) return;
      const at = this.next ?? 0;
      try {
        const bytes = [recordOf(record)];
        await store.append(TOPIC, bytes, CALL_MILLISECONDS, at);
        const {window, figures, includes} = record;
        const teams = figures.length;
        const hosts = includes.length;
        logger.info('usage-frozen', {window, teams, hosts, offset: at});
      } catch (error) {
        // What came in between, or an append whose answer was lost, is read
        // before the window is looked at again.
        const settled =
          error instanceof StoreError && error.failure === 'conflict';
        if (!settled) throw error;
      }
      await this.read();
    }
  }

  private async reportAll(holder: Holder): Promise<void> {
    const {window: length, late} = this.options;
    const oldest = this.windowAt(Math.max(late, WINDOWS_REPORTED * length));
    for (;;) {
      const frozen = dueReport(this.ledger, REGION);
      if (!frozen || !holder.mayAct()) return;
      const {window, figures} = frozen;
      if (window < oldest) this.giveUp(window);
      else if (!(await this.report(window, figures, holder))) return;
      const reported = {
        kind: 'usage-reported',
        region: REGION,
        window,
      } as const;
      this.ledger = foldReported(this.ledger, reported);
      this.sheets.settle(this.ledger, this.windowAt(0));
    }
  }

  /** Passes over a window that is too old, such as a former holder's own. */
  private giveUp(window: number): void {
    const {logger, metrics} = this.options;
    logger.warn('usage-passed-over', {window});
    metrics.count('usage-passed-over');
  }

  private async report(
    window: number,
    figures: ReadonlyArray<{team: string; requests: number}>,
    holder: Holder,
  ): Promise<boolean> {
    const counts = Object.fromEntries(
      figures.map(({team, requests}) => [team, requests]),
    );
    const outcome = await this.options.calls.report({window, counts}, holder);
    const {fence} = holder;
    this.options.logger.info('usage-reported', {window, fence, outcome});
    return outcome === 'done';
  }
}

/** The newest sheet of each window, since a message may come after a later one. */
function newestOf(
  known: readonly Sheet[],
  sheets: readonly Sheet[],
): readonly Sheet[] {
  const newest = new Map(known.map(sheet => [sheet.window, sheet]));
  for (const sheet of sheets) {
    const before = newest.get(sheet.window)?.sequence ?? 0;
    if (before <= sheet.sequence) newest.set(sheet.window, sheet);
  }
  const oldest = Math.max(...newest.keys()) - WINDOWS_OPEN;
  return [...newest.values()].filter(({window}) => window >= oldest);
}

function recordOf(record: UsageRecord): Buffer {
  return encode(record);
}

const usageRecordSchema = z.custom<UsageRecord>(value => {
  const parsed = logRecordSchema.safeParse(value);
  if (!parsed.success) return false;
  return parsed.data.kind.startsWith('usage-');
});

function parsedRecord(bytes: Buffer): UsageRecord | undefined {
  try {
    return usageRecordSchema.parse(decode(bytes));
  } catch {
    return undefined;
  }
}
