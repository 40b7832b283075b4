/**
 * The topic of the store through which hosts share their usage: sheets, which
 * every host appends, and freezes, which the leader appends.
 */
import {decode, encode} from 'cbor-x';
import * as z from 'zod';

import type {Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {
  logRecordSchema,
  type LogRecord,
  type Sheet,
} from '../platform/index.js';
import {StoreError, TopicReader, type RecordStore} from '../store/index.js';
import type {FreezeRecord} from '../usage/index.js';

const TOPIC = 'usage';
const STORE_TIMEOUT_MILLISECONDS = 1_200;
/** Time from an append that has failed to the next. */
export const RETRY_DELAY_MILLISECONDS = 500;

/** A record of the topic. */
export type UsageRecord = Extract<
  LogRecord,
  {kind: 'usage-sheets' | 'usage-freeze'}
>;

/** Dependencies of a usage topic. */
export interface UsageTopicOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called with each record that is read, in the order of the topic. */
  readonly onRecord: (record: UsageRecord) => void;
}

/** Reads the usage records of all hosts, and appends those of this one. */
export class UsageTopic {
  private readonly reader: TopicReader;

  constructor(private readonly options: UsageTopicOptions) {
    this.reader = new TopicReader({
      store: options.store,
      topic: TOPIC,
      timeout: STORE_TIMEOUT_MILLISECONDS,
      onRecord: bytes => this.handleRecord(bytes),
    });
  }

  /** The offset of the next record to read; undefined before the first read. */
  get offset(): number | undefined {
    return this.reader.offset;
  }

  /** Reads all records that are not read yet. Throws a StoreError. */
  async readToEnd(): Promise<void> {
    await this.reader.readToEnd();
  }

  /** Appends sheets; returns whether the store has confirmed them. */
  async appendSheets(sheets: readonly Sheet[]): Promise<boolean> {
    const {logger} = this.options;
    try {
      await this.append([{kind: 'usage-sheets', sheets: [...sheets]}]);
      return true;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      const windows = sheets.map(({window}) => window).join();
      logger.warn('usage-not-appended', {windows, detail: error.message});
      return false;
    }
  }

  /** Appends freezes until the store has confirmed them. */
  async appendFreezes(freezes: readonly FreezeRecord[]): Promise<void> {
    if (freezes.length === 0) return;
    const {clock, logger} = this.options;
    try {
      await this.append(freezes);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      logger.warn('usage-not-frozen', {detail: error.message});
      clock.after(
        RETRY_DELAY_MILLISECONDS,
        () => void this.appendFreezes(freezes),
      );
    }
  }

  /**
   * Appends a freeze if the topic ends at an offset. Throws a StoreError, with
   * the failure `conflict` where the topic ends elsewhere.
   */
  async appendFreezeAt(freeze: FreezeRecord, offset: number): Promise<void> {
    await this.append([freeze], offset);
  }

  private async append(
    records: readonly UsageRecord[],
    offset?: number,
  ): Promise<void> {
    const bytes = records.map(record => encode(record));
    const {store} = this.options;
    await store.append(TOPIC, bytes, STORE_TIMEOUT_MILLISECONDS, offset);
  }

  /** Hands a record on; one that is malformed is counted and skipped. */
  private handleRecord(bytes: Buffer): void {
    const record = decodeRecord(bytes);
    if (record) this.options.onRecord(record);
    else this.options.metrics.count('record-malformed', {topic: TOPIC});
  }
}

const usageRecordSchema = z.custom<UsageRecord>(value => {
  const parsed = logRecordSchema.safeParse(value);
  if (!parsed.success) return false;
  const {kind} = parsed.data;
  return kind === 'usage-sheets' || kind === 'usage-freeze';
});

function decodeRecord(bytes: Buffer): UsageRecord | undefined {
  try {
    return usageRecordSchema.parse(decode(bytes));
  } catch {
    return undefined;
  }
}
