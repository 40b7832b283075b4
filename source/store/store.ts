/**
 * What the router needs from the platform's store: topics of records, of which
 * a keyed topic keeps the newest record of each key permanently; conditional
 * appends; and groups whose members share partitions. One subclass implements
 * the wire protocol. Every call may fail with a StoreError; one that failed as
 * `unanswered` may have been executed, or may still be.
 */
import {ArbutusslipError} from '../errors/index.js';
import {StoreRestores} from './restores.js';

/** Why a call to the store failed. */
export type StoreFailure =
  /** No connection, so nothing was sent. */
  | 'unreachable'
  /** The call was sent, and no response arrived. */
  | 'unanswered'
  /** The store rejected the call; nothing was done. */
  | 'busy'
  /** The requested records have been deleted. */
  | 'expired'
  /** The partition does not end where the condition says. */
  | 'conflict'
  /** The response could not be parsed. */
  | 'malformed';

/** A failed call to the store. */
export class StoreError extends ArbutusslipError {
  constructor(
    readonly failure: StoreFailure,
    detail: string,
  ) {
    super(`${failure}: ${detail}`);
  }
}

/** The newest record of a key; one without a value removes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly offset: number;
}

/** What is written for a key; without a value it removes the key. */
export interface KeyedValue {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/**
 * Consecutive records of a keyed topic; `end` is the offset to continue from.
 */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  readonly end: number;
  /** Offsets of records that could not be parsed and are left out. */
  readonly malformed?: readonly number[];
  /** The store's era; absent where it is not known. */
  readonly era?: number | undefined;
}

/**
 * Consecutive records of a plain topic, of which the first has offset `from`.
 */
export interface PlainPage {
  readonly from: number;
  readonly records: readonly Buffer[];
  readonly end: number;
  /** The store's era; absent where it is not known. */
  readonly era?: number | undefined;
}

/** A group member's request to join, or to stay in, its group. */
export interface JoinRequest {
  readonly group: string;
  readonly member: string;
  readonly topic: string;
  /** Milliseconds without a call after which the store removes the member. */
  readonly timeToLive: number;
  /** The generation that the store returned last; 0 at first. */
  readonly generation: number;
}

/** What the store assigns to a member of a group. */
export interface GroupAssignment {
  readonly generation: number;
  /** The partitions that are assigned to the member. */
  readonly partitions: readonly number[];
  /** The store's era; absent where it is not known. */
  readonly era?: number | undefined;
}

/** Where a read starts and how long it waits for records. */
export interface ReadOptions {
  readonly from: number;
  /** Milliseconds that the store may wait for a record. */
  readonly wait: number;
}

/** The calls of a store; `timeout` limits a whole call, in milliseconds. */
export abstract class RecordStore {
  /** Tells when the store has come back from an older copy. */
  readonly restores: StoreRestores = new StoreRestores();
  /** Returns the newest record of each key. */
  abstract readNewest(topic: string, timeout: number): Promise<KeyedPage>;
  /** Returns the records of a keyed topic from an offset. */
  abstract readKeyed(
    topic: string,
    options: ReadOptions,
    timeout: number,
  ): Promise<KeyedPage>;
  /** Returns the records of a plain topic from an offset. */
  abstract readPlain(
    topic: string,
    options: ReadOptions,
    timeout: number,
  ): Promise<PlainPage>;
  /** Returns the oldest offset that a plain topic still has. */
  abstract oldestOffset(topic: string, timeout: number): Promise<number>;
  /**
   * Appends records atomically, on condition that the topic ends at
   * `expectedEnd` if that is given (StoreError `conflict` otherwise). Returns
   * the offset after them.
   */
  abstract append(
    topic: string,
    records: readonly Buffer[],
    timeout: number,
    expectedEnd?: number,
  ): Promise<number>;
  /**
   * Appends the values of keys to a keyed topic, atomically, on condition that the
   * topic ends at `expectedEnd` if that is given (StoreError `conflict` otherwise).
   */
  abstract appendKeyed(
    topic: string,
    values: readonly KeyedValue[],
    timeout: number,
    expectedEnd?: number,
  ): Promise<void>;
  /** Joins a group, or keeps the member in it. */
  abstract join(
    request: JoinRequest,
    timeout: number,
  ): Promise<GroupAssignment>;
  /** Leaves a group, so that its partitions are reassigned at once. */
  abstract leave(group: string, member: string, timeout: number): Promise<void>;
}
