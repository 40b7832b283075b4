/**
 * Keeps what is blocked in a keyed topic of the store, so that it outlives a kill
 * of all hosts at once. Two hosts write each change. A host reads the topic once,
 * when it starts; later changes reach it from the other hosts.
 */
import {decode, encode} from 'cbor-x';
import * as z from 'zod';

import {rendezvousRank} from '../balance/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import {
  StoreError,
  type KeyedRecord,
  type KeyedValue,
  type RecordStore,
} from '../store/index.js';
import {
  blocklistEntrySchema,
  keyFromMessage,
  type BlocklistEntry,
} from './message.js';
import {keyOf, type Suspect, type SuspectKey} from './suspect.js';

const TOPIC = 'keyed.blocked';
const STORE_TIMEOUT_MILLISECONDS = 1_200;
/** Milliseconds for which changes are gathered into one append. */
const APPEND_DELAY_MILLISECONDS = 100;
const RETRY_DELAY_MILLISECONDS = 1_000;
/** Hosts that write a change, so that one of them may be cut off or be killed. */
const WRITERS = 2;
/** Longest key that the store takes. */
const MAX_KEY_BYTES = 255;

/** The value of a record. */
const blockedRecordSchema = z.object({
  /** Unix milliseconds to which the entry's time until its review refers. */
  at: z.number(),
  entry: blocklistEntrySchema,
});

/** Dependencies of the records. */
export interface BlockedRecordsOptions {
  readonly store: RecordStore;
  /** The name of this host. */
  readonly host: string;
  /** The names of the hosts that are alive, this one among them. */
  readonly hosts: () => readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
  /** What this host blocks. */
  readonly entries: () => readonly BlocklistEntry[];
  /** Called with what the store has when this host starts. */
  readonly onLoaded: (entries: readonly BlocklistEntry[]) => void;
}

/** What is blocked, as the store keeps it. */
export class BlockedRecords {
  /** Suspects whose entries are to be written. */
  private readonly changed = new Set<SuspectKey>();
  private stopTimer: Cancel | undefined;
  private stopLoading: Cancel = () => {};
  private isStopped = false;

  constructor(private readonly options: BlockedRecordsOptions) {
    options.store.restores.onRestore(() => this.writeAnew());
  }

  /** Reads what the store has; tries again until it answers. */
  start(): void {
    void this.load();
  }

  stop(): void {
    this.isStopped = true;
    this.stopTimer?.();
    this.stopLoading();
  }

  /** Writes soon, if it is for this host to write, that a suspect has changed. */
  noteChange(suspect: Suspect): void {
    const {host, hosts} = this.options;
    if (rendezvousRank(suspect.id, host, hosts()) >= WRITERS) return;
    const key = keyOf(suspect);
    if (Buffer.byteLength(key) > MAX_KEY_BYTES) return;
    this.changed.add(key);
    this.writeSoon(APPEND_DELAY_MILLISECONDS);
  }

  private async load(): Promise<void> {
    const {store, clock, logger, onLoaded} = this.options;
    try {
      const page = await store.readNewest(TOPIC, STORE_TIMEOUT_MILLISECONDS);
      onLoaded(page.records.flatMap(record => this.entryOf(record) ?? []));
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      logger.warn('blocked-not-read', {detail: error.message});
      if (this.isStopped) return;
      this.stopLoading = clock.after(
        RETRY_DELAY_MILLISECONDS,
        () => void this.load(),
      );
    }
  }

  private entryOf({key, value}: KeyedRecord): BlocklistEntry | undefined {
    if (!value) return undefined;
    const {clock, logger} = this.options;
    try {
      const {at, entry} = blockedRecordSchema.parse(decode(value));
      const age = clock.now().getTime() - at;
      return {...entry, reviewIn: entry.reviewIn - age};
    } catch (error) {
      const detail = error instanceof Error ? error.message : '';
      logger.warn('blocked-malformed', {key, detail});
      return undefined;
    }
  }

  /** Writes all again, as the store has come back from a copy that may lack it. */
  private writeAnew(): void {
    for (const {kind, part: id} of this.options.entries())
      this.noteChange({kind, id});
  }

  private writeSoon(delay: number): void {
    if (this.isStopped) return;
    this.stopTimer ??= this.options.clock.after(delay, () => {
      this.stopTimer = undefined;
      void this.write();
    });
  }

  private async write(): Promise<void> {
    const {store, logger} = this.options;
    const keys = [...this.changed];
    this.changed.clear();
    if (keys.length === 0) return;
    try {
      const values = this.valuesOf(keys);
      await store.appendKeyed(TOPIC, values, STORE_TIMEOUT_MILLISECONDS);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      logger.warn('blocked-not-written', {detail: error.message});
      for (const key of keys) this.changed.add(key);
      this.writeSoon(RETRY_DELAY_MILLISECONDS);
    }
  }

  /** The values of suspects; that of one which is not blocked removes its key. */
  private valuesOf(keys: readonly SuspectKey[]): KeyedValue[] {
    const at = this.options.clock.now().getTime();
    const blocked = this.options.entries().filter(entry => entry.isBlocked);
    const entries = new Map(
      blocked.map(entry => [keyFromMessage(entry), entry]),
    );
    return keys.map(key => {
      const entry = entries.get(key);
      return {key, value: entry && encode({at, entry})};
    });
  }
}
