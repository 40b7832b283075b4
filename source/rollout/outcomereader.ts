/**
 * Reads from the store how roll-outs have ended, on hosts that no leader tells: they
 * have just started, or are cut off from the leader.
 */
import type {Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import {StoreError} from '../store/index.js';
import type {RolloutParticipant} from './participant.js';
import type {RolloutRecords} from './records.js';
import {hasEnded, type RolloutState} from './state.js';

/** Silence of the leader after which a host reads the store. */
const LEADER_SILENCE_MILLISECONDS = 1_500;
/** Time between two reads; longer with many hosts, which share the store. */
const MIN_INTERVAL_MILLISECONDS = 1_000;
const INTERVAL_PER_HOST_MILLISECONDS = 20;

/** What the reader is created from. */
export interface OutcomeReaderOptions {
  readonly records: RolloutRecords;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Reads the ends of roll-outs for one host. */
export class OutcomeReader {
  private isReading = false;
  private readAt = -Infinity;

  constructor(
    private readonly options: OutcomeReaderOptions,
    private readonly onEnded: (service: string, state: RolloutState) => void,
  ) {}

  /** Reads if there is a roll-out whose leader is silent; `hosts` is their number. */
  readIfUnheard(
    participants: readonly RolloutParticipant[],
    hosts: number,
  ): void {
    const now = this.options.clock.monotonic();
    const isUnheard = participants.some(
      ({outcome, leaderHeardAt, knownAt}) =>
        outcome === undefined &&
        now - Math.max(leaderHeardAt, knownAt) > LEADER_SILENCE_MILLISECONDS,
    );
    const pause = Math.max(
      MIN_INTERVAL_MILLISECONDS,
      hosts * INTERVAL_PER_HOST_MILLISECONDS,
    );
    if (!isUnheard || this.isReading || now - this.readAt < pause) return;
    this.readAt = now;
    void this.read();
  }

  private async read(): Promise<void> {
    const {records, logger} = this.options;
    this.isReading = true;
    try {
      for (const [service, state] of await records.read())
        if (hasEnded(state)) this.onEnded(service, state);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      logger.warn('rollout-not-read', {detail: error.message});
    } finally {
      this.isReading = false;
    }
  }
}
