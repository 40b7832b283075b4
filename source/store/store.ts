/**
 * What the router needs from the platform's store: topics of records, of which
 * a keyed topic keeps the newest of each key for good, conditional appends, and
 * groups whose members share out partitions. One subclass knows the wire. Every
 * call may fail with a StoreError; one that failed as `unanswered` may have
 * been carried out, or may yet be.
 */
import {ArbutusslipError} from '../errors/index.js';

/** Why a call to the store failed. */
export type StoreFailure =
  /** No connection, so nothing was sent. */
  | 'unreachable'
  /** Sent, and no answer came. */
  | 'unanswered'
  /** The store turned the call away; nothing was done. */
  | 'busy'
  /** The records asked for have been deleted. */
  | 'expired'
  /** The partition does not end where the condition says. */
  | 'conflict'
  /** The answer could not be read. */
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

/** A run of records of a keyed topic; `end` is the offset to go on from. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  readonly end: number;
}

/** A run of records of a plain topic, of which the first has offset `from`. */
export interface PlainPage {
  readonly from: number;
  readonly records: readonly Buffer[];
  readonly end: number;
}

/** A member of a group, as it makes itself known. */
export interface Joining {
  readonly group: string;
  readonly member: string;
  readonly topic: string;
  /** Milliseconds without a call after which the member counts as gone. */
  readonly timeToLive: number;
  /** The generation that the store named last; 0 at first. */
  readonly generation: number;
}

/** What the store says to a member. */
export interface Joined {
  readonly generation: number;
  /** The partitions that the member holds. */
  readonly partitions: readonly number[];
}

/** A read that waits for records. */
export interface Waiting {
  readonly from: number;
  /** Milliseconds that the store may wait for a record. */
  readonly wait: number;
}

/** The calls of a store; `bound` is the time of a whole call in milliseconds. */
export abstract class RecordStore {
  /** The newest record of each key. */
  abstract newest(topic: string, bound: number): Promise<KeyedPage>;
  /** The records of a keyed topic from an offset. */
  abstract followKeyed(
    topic: string,
    waiting: Waiting,
    bound: number,
  ): Promise<KeyedPage>;
  /** The records of a plain topic from an offset. */
  abstract follow(
    topic: string,
    waiting: Waiting,
    bound: number,
  ): Promise<PlainPage>;
  /** The oldest offset that a plain topic still has. */
  abstract oldest(topic: string, bound: number): Promise<number>;
  /**
   * Appends records as one, if the topic ends at `at` where that is given;
   * answers the offset after them.
   */
  abstract append(
    topic: string,
    records: readonly Buffer[],
    bound: number,
    at?: number,
  ): Promise<number>;
  /** Joins a group, or keeps the member in it. */
  abstract join(joining: Joining, bound: number): Promise<Joined>;
  /** Leaves a group, so that the partitions pass on at once. */
  abstract leave(group: string, member: string, bound: number): Promise<void>;
}
