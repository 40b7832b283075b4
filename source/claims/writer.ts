/**
 * Writes claims and settlements to the log in batches, one append at a time,
 * which bounds the rate of appends per host whatever its traffic. Whether a
 * claim took effect is known only once it is read back from the log, never from
 * the response to the append.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {Platform} from '../platform/index.js';
import type {ClaimsRecord, Settlement} from './table.js';

/** Shortest time from the end of one append to the start of the next. */
const MIN_APPEND_INTERVAL_MILLISECONDS = 20;
/** Time from a failed append to the next one of all unsettled settlements. */
const RETRY_DELAY_MILLISECONDS = 500;

/** Dependencies of a ClaimWriter. */
export interface ClaimWriterOptions {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly incarnation: string;
  /**
   * Whether a settlement needs no more appends: it has been read back from the
   * log, or this process does not hold the claim.
   */
  readonly isSettled: (id: string) => boolean;
  /** Called when an append failed or its response was lost. */
  readonly onAppendFailed: () => void;
}

/** Appends the claims and settlements of one host to the log. */
export class ClaimWriter {
  private claims: ClaimsRecord['claims'] = [];
  /** Settlements that have not been read back, by claim id. */
  private readonly unsettled = new Map<string, Settlement>();
  /** Ids of the unsettled settlements that go into the next append. */
  private readonly toAppend = new Set<string>();
  private appending = false;
  /** Resolve the promises of whenSettled. */
  private settledWaiters: Array<() => void> = [];
  private cancelRetry: Cancel = () => {};

  constructor(private readonly options: ClaimWriterOptions) {}

  /** Appends a claim, without a retry if the append is lost. */
  claim(id: string, bodyDigest: string): void {
    this.claims.push({id, bodyDigest});
    this.flush();
  }

  /** Appends a settlement; after a failure, again until it is read back. */
  settle(settlement: Settlement): void {
    this.unsettled.set(settlement.id, settlement);
    this.toAppend.add(settlement.id);
    this.flush();
  }

  /** The number of settlements that have not been read back. */
  get unsettledCount(): number {
    return this.unsettled.size;
  }

  /** Resolves when every settlement has been read back. */
  whenSettled(): Promise<void> {
    this.dropSettled();
    if (this.unsettled.size === 0) return Promise.resolve();
    return new Promise(resolve => this.settledWaiters.push(resolve));
  }

  /** Checks which settlements have been read back; call it after each record. */
  refreshSettled(): void {
    this.dropSettled();
    if (this.unsettled.size > 0) return;
    for (const resolve of this.settledWaiters.splice(0)) resolve();
  }

  private dropSettled(): void {
    for (const id of this.unsettled.keys()) {
      if (this.options.isSettled(id)) this.unsettled.delete(id);
    }
  }

  private flush(): void {
    if (this.appending) return;
    if (this.claims.length === 0 && this.toAppend.size === 0) return;
    this.appending = true;
    void this.append().finally(() => {
      this.options.clock.after(MIN_APPEND_INTERVAL_MILLISECONDS, () => {
        this.appending = false;
        this.flush();
      });
    });
  }

  private async append(): Promise<void> {
    const {platform, incarnation} = this.options;
    const claims = this.claims;
    const settlements = [...this.toAppend].flatMap(
      id => this.unsettled.get(id) ?? [],
    );
    this.claims = [];
    this.toAppend.clear();
    try {
      await platform.append([
        {kind: 'claims', incarnation, claims, settlements},
      ]);
    } catch {
      this.options.onAppendFailed();
      this.scheduleRetry();
    }
  }

  /** Schedules another append of all unsettled settlements, not of claims. */
  private scheduleRetry(): void {
    this.cancelRetry();
    this.cancelRetry = this.options.clock.after(
      RETRY_DELAY_MILLISECONDS,
      () => {
        this.dropSettled();
        for (const id of this.unsettled.keys()) this.toAppend.add(id);
        this.flush();
      },
    );
  }
}
