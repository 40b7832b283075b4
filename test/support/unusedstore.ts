/** A store for parts of which a test overrides the calls that it needs. */
import {
  RecordStore,
  type GroupAssignment,
  type KeyedPage,
  type PlainPage,
} from '../../source/store/index.js';

export class UnusedStore extends RecordStore {
  override async append(
    topic: string,
    records: readonly Buffer[],
  ): Promise<number> {
    throw new Error(`not used: ${records.length} records for ${topic}`);
  }

  override async appendKeyed(): Promise<void> {
    throw new Error('not used');
  }

  override async readNewest(): Promise<KeyedPage> {
    throw new Error('not used');
  }

  override async readKeyed(): Promise<KeyedPage> {
    throw new Error('not used');
  }

  override async readPlain(): Promise<PlainPage> {
    throw new Error('not used');
  }

  override async oldestOffset(): Promise<number> {
    throw new Error('not used');
  }

  override async join(): Promise<GroupAssignment> {
    throw new Error('not used');
  }

  override async leave(): Promise<void> {}
}
