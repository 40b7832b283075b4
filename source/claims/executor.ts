/**
 * Runs a request at most once, whichever hosts receive its duplicates. The
 * process whose claim comes first in the log runs the request; all others wait
 * for its settlement. No request can be claimed while the log is unreachable,
 * so new requests with an idempotency key are refused then.
 */
import type {Clock} from '../clock/index.js';
import {Refusal} from '../errors/index.js';
import type {
  ClaimState,
  ClaimsRecord,
  ClaimTable,
  Settlement,
} from './table.js';
import type {ClaimWriter} from './writer.js';

/** Longest wait for a claim to be read back from the log. */
const CLAIM_TIMEOUT_MILLISECONDS = 4_000;
/** Longest wait of a duplicate request for the first one's settlement. */
const DUPLICATE_TIMEOUT_MILLISECONDS = 10_000;

/** Dependencies of an AtMostOnceExecutor. */
export interface AtMostOnceExecutorOptions {
  readonly clock: Clock;
  readonly incarnation: string;
  readonly table: ClaimTable;
  readonly writer: ClaimWriter;
  /** Whether the log is reachable and every claim in it has been read. */
  readonly isLogCaughtUp: () => boolean;
}

/** Executes the requests of a host that must run at most once. */
export class AtMostOnceExecutor {
  /** Ids of claims that this process is making, or whose request it runs. */
  private readonly inFlight = new Set<string>();
  /** Ids of claims that were not read back in time, and may still land. */
  private readonly abandoned = new Set<string>();

  constructor(private readonly options: AtMostOnceExecutorOptions) {}

  /**
   * Resolves to the settlement of the request's only run, by this process or
   * another. `execute` is called only if this process holds the claim; if it
   * throws, so does this. Otherwise throws a Refusal if the request can't be
   * claimed, if the first request had another body, or if that request has not
   * ended in time.
   *
   * ```ts
   * const settlement = await executor.run(id, digestOf(body), () => credit());
   * ```
   */
  async run(
    id: string,
    bodyDigest: string,
    execute: () => Promise<Settlement>,
  ): Promise<Settlement> {
    const {table} = this.options;
    while (table.get(id) || this.inFlight.has(id)) {
      const settlement = await this.awaitSettlement(id, bodyDigest);
      if (settlement) return settlement;
    }
    this.inFlight.add(id);
    try {
      const claim = await this.claim(id, bodyDigest);
      if (claim.incarnation === this.options.incarnation) {
        return await this.executeAndSettle(id, execute);
      }
    } finally {
      this.inFlight.delete(id);
    }
    return this.run(id, bodyDigest, execute);
  }

  /**
   * Releases claims of this process that a record holds but whose request was
   * given up before they were read back. Call it after the table has applied
   * the record.
   */
  releaseAbandonedClaims({incarnation, claims}: ClaimsRecord): void {
    const {table, writer} = this.options;
    if (incarnation !== this.options.incarnation) return;
    for (const {id} of claims) {
      const claim = table.get(id);
      const isOwnUnsettled =
        claim?.incarnation === incarnation && !claim.settlement;
      if (
        this.abandoned.delete(id) &&
        isOwnUnsettled &&
        !this.inFlight.has(id)
      ) {
        writer.settle(createSettlement(id, 'not-run'));
      }
    }
  }

  /**
   * Appends a claim and resolves to the one that took effect, which may be
   * another process's.
   */
  private async claim(id: string, bodyDigest: string): Promise<ClaimState> {
    const {table, writer, isLogCaughtUp} = this.options;
    if (!isLogCaughtUp()) {
      throw claimsUnavailable('the log is out of reach');
    }
    writer.claim(id, bodyDigest);
    await this.waitForChange(id, CLAIM_TIMEOUT_MILLISECONDS);
    const claim = table.get(id);
    if (claim) return claim;
    this.abandoned.add(id);
    throw claimsUnavailable('the claim was not read back in time');
  }

  private async executeAndSettle(
    id: string,
    execute: () => Promise<Settlement>,
  ): Promise<Settlement> {
    const {writer} = this.options;
    try {
      const settlement = await execute();
      writer.settle(settlement);
      return settlement;
    } catch (error) {
      const outcome = error instanceof Refusal ? error.outcome : 'unknown';
      writer.settle(
        createSettlement(id, outcome === 'not-run' ? 'not-run' : 'unknown'),
      );
      throw error;
    }
  }

  /**
   * Waits for the settlement of the first request with this id. Resolves to
   * undefined if the claim was released or never made, so that the duplicate
   * may claim the id itself.
   */
  private async awaitSettlement(
    id: string,
    bodyDigest: string,
  ): Promise<Settlement | undefined> {
    const {table, clock} = this.options;
    const deadline = clock.monotonic() + DUPLICATE_TIMEOUT_MILLISECONDS;
    for (;;) {
      const claim = table.get(id);
      if (claim && claim.bodyDigest !== bodyDigest) throw bodyConflict();
      if (claim?.settlement) return claim.settlement;
      const remaining = deadline - clock.monotonic();
      if (remaining <= 0) {
        const detail = 'the first request with this key has not ended';
        throw new Refusal('idempotency-pending', 'unknown', detail);
      }
      await this.waitForChange(id, remaining);
      if (!table.get(id) && !this.inFlight.has(id)) return undefined;
    }
  }

  /** Resolves at the next change of a claim, or after `timeout` milliseconds. */
  private waitForChange(id: string, timeout: number): Promise<void> {
    const {table, clock} = this.options;
    return new Promise(resolve => {
      const cancelTimer = clock.after(timeout, () => {
        unwatch();
        resolve();
      });
      const unwatch = table.watch(id, () => {
        cancelTimer();
        resolve();
      });
    });
  }
}

/** Creates the settlement of a request that has no response to store. */
function createSettlement(
  id: string,
  outcome: Settlement['outcome'],
): Settlement {
  return {id, outcome, status: 0, contentType: ''};
}

/**
 * Has the outcome `unknown`, since this host can't know whether another one
 * runs an earlier request with the same key.
 */
function claimsUnavailable(detail: string): Refusal {
  return new Refusal('claims-unavailable', 'unknown', detail);
}

function bodyConflict(): Refusal {
  const detail = 'the idempotency key was used with another body';
  return new Refusal('idempotency-conflict', 'not-run', detail);
}
