/** A store whose calls are counted by kind, since each of them has a price. */
import type {Metrics} from '../metrics/index.js';
import type {StoreRestores} from './restores.js';
import {
  RecordStore,
  type GroupAssignment,
  type JoinRequest,
  type KeyedPage,
  type KeyedValue,
  type PlainPage,
  type ReadOptions,
} from './store.js';

/** Passes calls on to another store, and counts them as `store-request`. */
export class CountedStore extends RecordStore {
  override readonly restores: StoreRestores;

  constructor(
    private readonly store: RecordStore,
    private readonly metrics: Metrics,
  ) {
    super();
    this.restores = store.restores;
  }

  override readNewest(topic: string, timeout: number): Promise<KeyedPage> {
    this.count('read-newest', topic);
    return this.store.readNewest(topic, timeout);
  }

  override readKeyed(
    topic: string,
    options: ReadOptions,
    timeout: number,
  ): Promise<KeyedPage> {
    this.count('read-keyed', topic);
    return this.store.readKeyed(topic, options, timeout);
  }

  override readPlain(
    topic: string,
    options: ReadOptions,
    timeout: number,
  ): Promise<PlainPage> {
    this.count('read', topic);
    return this.store.readPlain(topic, options, timeout);
  }

  override oldestOffset(topic: string, timeout: number): Promise<number> {
    this.count('read-oldest', topic);
    return this.store.oldestOffset(topic, timeout);
  }

  override append(
    topic: string,
    records: readonly Buffer[],
    timeout: number,
    expectedEnd?: number,
  ): Promise<number> {
    this.count('append', topic);
    return this.store.append(topic, records, timeout, expectedEnd);
  }

  override appendKeyed(
    topic: string,
    values: readonly KeyedValue[],
    timeout: number,
    expectedEnd?: number,
  ): Promise<void> {
    this.count('append', topic);
    return this.store.appendKeyed(topic, values, timeout, expectedEnd);
  }

  override join(
    request: JoinRequest,
    timeout: number,
  ): Promise<GroupAssignment> {
    this.count('join', request.topic);
    return this.store.join(request, timeout);
  }

  override leave(
    group: string,
    member: string,
    timeout: number,
  ): Promise<void> {
    this.count('leave', group);
    return this.store.leave(group, member, timeout);
  }

  private count(call: string, topic: string): void {
    this.metrics.count('store-request', {call, topic});
  }
}
