/**
 * Records of a restored store that say something older than what is in force.
 * Their writers write again what they have written since; what nobody has written
 * again after a while holds.
 */
import type {KeyedRecord} from '../store/index.js';

interface Deferred {
  readonly record: KeyedRecord;
  /** Monotonic milliseconds. */
  readonly dueAt: number;
}

/** Records that take effect later, by key. */
export class DeferredRecords {
  private readonly records = new Map<string, Deferred>();

  /** Defers a record to a time in monotonic milliseconds. */
  add(record: KeyedRecord, dueAt: number): void {
    this.records.set(record.key, {record, dueAt});
  }

  /** Drops the record of a key, whose writer has written it again. */
  drop(key: string): void {
    this.records.delete(key);
  }

  /** Takes the records that are due. */
  takeDue(now: number): KeyedRecord[] {
    const due = [...this.records.values()].filter(({dueAt}) => now >= dueAt);
    for (const {record} of due) this.records.delete(record.key);
    return due.map(({record}) => record);
  }
}
