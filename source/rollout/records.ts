/**
 * The durable state of roll-outs in a keyed topic of the store, one record per
 * service, and the status that the platform reads. A state is appended on condition
 * that the topic has not grown since it was read, so that a former leader that was
 * paused cannot replace what its successor has written.
 */
import {decode, encode} from 'cbor-x';

import type {Logger} from '../logging/index.js';
import {
  type KeyedRecord,
  type KeyedValue,
  type RecordStore,
} from '../store/index.js';
import {
  outcomeOf,
  rolloutStateSchema,
  type RolloutOutcome,
  type RolloutState,
} from './state.js';

const TOPIC = 'keyed.rollout';
/**
 * Longest time of a call; no longer than the leader's term allows one to be under
 * way.
 */
const CALL_TIMEOUT_MILLISECONDS = 600;
/** Longest key that the store takes. */
const MAX_KEY_BYTES = 255;

/** The status of a service's newest order, for the platform. */
export interface RolloutStatus {
  readonly service: string;
  readonly to: string;
  readonly state: RolloutOutcome;
}

/** How the platform wants to be told. */
export abstract class RolloutStatusFormat {
  /** The keyed topic of the status records. */
  abstract readonly topic: string;
  abstract encode(status: RolloutStatus): KeyedValue;
}

/** What the records are read and written with. */
export interface RolloutRecordsOptions {
  readonly store: RecordStore;
  readonly format: RolloutStatusFormat;
  readonly logger: Logger;
}

/** The roll-outs as the store has them. */
export class RolloutRecords {
  constructor(private readonly options: RolloutRecordsOptions) {}

  /** Reads the state of each service. Throws a StoreError. */
  async read(): Promise<ReadonlyMap<string, RolloutState>> {
    const {states} = await this.readPage();
    return states;
  }

  /**
   * Writes a state, if `mayWrite` allows it when the call is about to be sent.
   * Returns false if the store has another state than `before` and `state`, which
   * is then to be read; `any` replaces what a restored store has. Throws a StoreError; the state may have been written then.
   */
  async write(
    state: RolloutState,
    before: RolloutState | 'any' | undefined,
    mayWrite: () => boolean,
  ): Promise<boolean> {
    const {store} = this.options;
    const {service} = state.order;
    if (Buffer.byteLength(service) > MAX_KEY_BYTES) return true;
    const {states, end} = await this.readPage();
    const known = states.get(service);
    if (known && isSameState(known, state)) return true;
    const isExpected =
      before === 'any' || (known ? before && isSameState(known, before) : true);
    if (!isExpected) return false;
    if (!mayWrite()) return false;
    const value = {key: service, value: encode(state)};
    await store.appendKeyed(TOPIC, [value], CALL_TIMEOUT_MILLISECONDS, end);
    return true;
  }

  /** Writes what the platform is told of a state. Throws a StoreError. */
  async writeStatus({order, phase}: RolloutState): Promise<void> {
    const {store, format} = this.options;
    const {service, to} = order;
    const status = format.encode({service, to, state: outcomeOf(phase)});
    if (Buffer.byteLength(status.key) > MAX_KEY_BYTES) return;
    await store.appendKeyed(format.topic, [status], CALL_TIMEOUT_MILLISECONDS);
  }

  private async readPage() {
    const {store} = this.options;
    const page = await store.readNewest(TOPIC, CALL_TIMEOUT_MILLISECONDS);
    const states = new Map<string, RolloutState>();
    for (const record of page.records) {
      const state = this.stateOf(record);
      if (state) states.set(record.key, state);
    }
    return {states, end: page.end};
  }

  private stateOf({key, value}: KeyedRecord): RolloutState | undefined {
    if (!value) return undefined;
    try {
      return rolloutStateSchema.parse(decode(value));
    } catch (error) {
      const detail = error instanceof Error ? error.message : '';
      this.options.logger.warn('rollout-malformed', {key, detail});
      return undefined;
    }
  }
}

/** Whether two states are of one phase of one order. */
function isSameState(one: RolloutState, other: RolloutState): boolean {
  return (
    one.phase === other.phase &&
    one.since === other.since &&
    one.order.service === other.order.service &&
    one.order.to === other.order.to &&
    one.order.offset === other.order.offset
  );
}
