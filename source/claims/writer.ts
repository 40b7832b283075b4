/**
 * Writes claims and settlements to the log in batches, one append at a time,
 * so that a host costs the log a bounded number of appends whatever its
 * traffic. Whether a claim counts is learnt by reading it back, never from the
 * answer to the append.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {Platform} from '../platform/index.js';
import type {ClaimsRecord, Settlement} from './table.js';

/** Least time between two appends, in milliseconds. */
const BATCH_MILLISECONDS = 20;
/** Time after which an unanswered settlement is appended again. */
const RETRY_MILLISECONDS = 500;

/** What a writer is made from. */
export interface ClaimWriterOptions {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly incarnation: string;
  /** Whether a settlement has been read back from the log. */
  readonly isSettled: (id: string) => boolean;
  /** Called when an append failed or its answer was lost. */
  readonly failed: () => void;
}

/** The claims of a host that are on their way to the log. */
export class ClaimWriter {
  private claims: ClaimsRecord['claims'] = [];
  private readonly unsettled = new Map<string, Settlement>();
  private readonly fresh = new Set<string>();
  private appending = false;
  private emptied: Array<() => void> = [];
  private retry: Cancel = () => {};

  constructor(private readonly options: ClaimWriterOptions) {}

  /** Appends a claim, once; it may still be lost. */
  claim(id: string, bodyDigest: string): void {
    this.claims.push({id, bodyDigest});
    this.flush();
  }

  /** Appends a settlement, again and again until it is read back. */
  settle(settlement: Settlement): void {
    this.unsettled.set(settlement.id, settlement);
    this.fresh.add(settlement.id);
    this.flush();
  }

  /** Settlements that have not been read back. */
  get pending(): number {
    return this.unsettled.size;
  }

  /** Resolves when every settlement has been read back. */
  whenSettled(): Promise<void> {
    this.dropSettled();
    if (this.unsettled.size === 0) return Promise.resolve();
    return new Promise(resolve => this.emptied.push(resolve));
  }

  /** Looks again at what has been read back. */
  noteRead(): void {
    this.dropSettled();
    if (this.unsettled.size > 0) return;
    for (const resolve of this.emptied.splice(0)) resolve();
  }

  private dropSettled(): void {
    for (const id of this.unsettled.keys()) {
      if (this.options.isSettled(id)) this.unsettled.delete(id);
    }
  }

  private flush(): void {
    if (this.appending) return;
    if (this.claims.length === 0 && this.fresh.size === 0) return;
    this.appending = true;
    void this.append().finally(() => {
      this.options.clock.after(BATCH_MILLISECONDS, () => {
        this.appending = false;
        this.flush();
      });
    });
  }

  private async append(): Promise<void> {
    const {platform, incarnation} = this.options;
    const claims = this.claims;
    const settlements = [...this.fresh].flatMap(
      id => this.unsettled.get(id) ?? [],
    );
    this.claims = [];
    this.fresh.clear();
    try {
      await platform.append([
        {kind: 'claims', incarnation, claims, settlements},
      ]);
    } catch {
      this.options.failed();
      this.retryLater();
    }
  }

  private retryLater(): void {
    this.retry();
    this.retry = this.options.clock.after(RETRY_MILLISECONDS, () => {
      this.dropSettled();
      for (const id of this.unsettled.keys()) this.fresh.add(id);
      this.flush();
    });
  }
}
