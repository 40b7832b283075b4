/**
 * Reads a plain topic from its oldest record on, each record once. Where records
 * have expired before they were read, it goes on with the oldest that is left.
 * Where the store has come back from a copy, it begins anew, as the records since
 * may stand at offsets that were read before.
 */
import {isSameEra} from './restores.js';
import {StoreError, type RecordStore} from './store.js';

/** What a topic reader is created from. */
export interface TopicReaderOptions {
  readonly store: RecordStore;
  readonly topic: string;
  /** Milliseconds that one call may take, beyond the time that it waits. */
  readonly timeout: number;
  /** Called with each record, in their order. */
  readonly onRecord: (bytes: Buffer) => void;
}

/** Reads one topic. */
export class TopicReader {
  private next: number | undefined;
  private era: number | undefined;

  constructor(private readonly options: TopicReaderOptions) {}

  /** Offset of the next record; undefined before the first read. */
  get offset(): number | undefined {
    return this.next;
  }

  /** Reads to the end of the topic. Throws a StoreError. */
  async readToEnd(): Promise<void> {
    let count: number;
    do {
      count = await this.readPage(0);
    } while (count > 0);
  }

  /**
   * Reads the records that there are or, if there are none, waits up to `wait`
   * milliseconds for one. Returns how many were read. Throws a StoreError.
   *
   * ```ts
   * const count = await reader.readPage(200);
   * ```
   */
  async readPage(wait: number): Promise<number> {
    const {store, topic, timeout, onRecord} = this.options;
    this.next ??= await store.oldestOffset(topic, timeout);
    try {
      const page = await store.readPlain(
        topic,
        {from: this.next, wait},
        timeout + wait,
      );
      const isRestored = !isSameEra(page.era, this.era);
      this.era = page.era ?? this.era;
      if (isRestored) return this.readFromOldest(wait);
      for (const bytes of page.records) onRecord(bytes);
      this.next = page.end;
      return page.records.length;
    } catch (error) {
      const isExpired =
        error instanceof StoreError && error.failure === 'expired';
      if (!isExpired) throw error;
      return this.readFromOldest(wait);
    }
  }

  private readFromOldest(wait: number): Promise<number> {
    this.next = undefined;
    return this.readPage(wait);
  }
}
