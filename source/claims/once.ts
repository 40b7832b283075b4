/**
 * Runs a request at most once, whichever hosts its repeats reach. The process
 * whose claim the log has first runs it; everyone else waits for its outcome.
 * Without the log nobody can claim, so such requests are refused.
 */
import type {Clock} from '../clock/index.js';
import {Refusal} from '../errors/index.js';
import type {
  ClaimStanding,
  ClaimsRecord,
  ClaimTable,
  Settlement,
} from './table.js';
import type {ClaimWriter} from './writer.js';

/** Time within which a claim must be read back, in milliseconds. */
const CLAIM_BOUND_MILLISECONDS = 4_000;
/** Time for which a repeat waits for the outcome, in milliseconds. */
const REPEAT_BOUND_MILLISECONDS = 10_000;

/** What a Once is made from. */
export interface OnceOptions {
  readonly clock: Clock;
  readonly incarnation: string;
  readonly table: ClaimTable;
  readonly writer: ClaimWriter;
  /** Whether the log can be reached, and all of it has been read. */
  readonly logInReach: () => boolean;
}

/** The requests of a host that run at most once. */
export class Once {
  /** Claims of this process whose request is being run. */
  private readonly inFlight = new Set<string>();
  /** Claims that were given up before they were read back. */
  private readonly abandoned = new Set<string>();

  constructor(private readonly options: OnceOptions) {}

  /**
   * The settlement of a request: of its only run, by this process or another.
   * Throws a Refusal where the outcome is not to be had.
   *
   * ```ts
   * const settlement = await once.run(id, digestOf(body), () => credit());
   * ```
   */
  async run(
    id: string,
    bodyDigest: string,
    work: () => Promise<Settlement>,
  ): Promise<Settlement> {
    const {table} = this.options;
    while (table.get(id) || this.inFlight.has(id)) {
      const settlement = await this.repeat(id, bodyDigest);
      if (settlement) return settlement;
    }
    this.inFlight.add(id);
    try {
      const standing = await this.claim(id, bodyDigest);
      if (standing.incarnation === this.options.incarnation) {
        return await this.work(id, work);
      }
    } finally {
      this.inFlight.delete(id);
    }
    return this.run(id, bodyDigest, work);
  }

  /** Frees the claims of a record that this process no longer wants. */
  noteRecord({incarnation, claims}: ClaimsRecord): void {
    const {table, writer} = this.options;
    if (incarnation !== this.options.incarnation) return;
    for (const {id} of claims) {
      const standing = table.get(id);
      const mine =
        standing?.incarnation === incarnation && !standing.settlement;
      if (this.abandoned.delete(id) && mine && !this.inFlight.has(id)) {
        writer.settle(settlementOf(id, 'not-run'));
      }
    }
  }

  private async claim(id: string, bodyDigest: string): Promise<ClaimStanding> {
    const {table, writer, logInReach} = this.options;
    if (!logInReach()) {
      throw unavailable('the log is out of reach');
    }
    writer.claim(id, bodyDigest);
    await this.change(id, CLAIM_BOUND_MILLISECONDS);
    const standing = table.get(id);
    if (standing) return standing;
    this.abandoned.add(id);
    throw unavailable('the claim was not read back in time');
  }

  private async work(
    id: string,
    work: () => Promise<Settlement>,
  ): Promise<Settlement> {
    const {writer} = this.options;
    try {
      const settlement = await work();
      writer.settle(settlement);
      return settlement;
    } catch (error) {
      const outcome = error instanceof Refusal ? error.outcome : 'unknown';
      writer.settle(
        settlementOf(id, outcome === 'not-run' ? 'not-run' : 'unknown'),
      );
      throw error;
    }
  }

  /** The outcome of the first request, or nothing where it was given up. */
  private async repeat(
    id: string,
    bodyDigest: string,
  ): Promise<Settlement | undefined> {
    const {table, clock} = this.options;
    const deadline = clock.monotonic() + REPEAT_BOUND_MILLISECONDS;
    for (;;) {
      const standing = table.get(id);
      if (standing && standing.bodyDigest !== bodyDigest) throw conflict();
      if (standing?.settlement) return standing.settlement;
      const left = deadline - clock.monotonic();
      if (left <= 0) {
        const detail = 'the first request with this key has not ended';
        throw new Refusal('idempotency-pending', 'unknown', detail);
      }
      await this.change(id, left);
      if (!table.get(id) && !this.inFlight.has(id)) return undefined;
    }
  }

  private change(id: string, bound: number): Promise<void> {
    const {table, clock} = this.options;
    return new Promise(resolve => {
      const cancel = clock.after(bound, () => {
        stop();
        resolve();
      });
      const stop = table.watch(id, () => {
        cancel();
        resolve();
      });
    });
  }
}

function settlementOf(id: string, outcome: Settlement['outcome']): Settlement {
  return {id, outcome, status: 0, contentType: ''};
}

/**
 * This host cannot know whether an earlier request with the key runs elsewhere,
 * so it does not say that the request was not run.
 */
function unavailable(detail: string): Refusal {
  return new Refusal('claims-unavailable', 'unknown', detail);
}

function conflict(): Refusal {
  const detail = 'the idempotency key was used with another body';
  return new Refusal('idempotency-conflict', 'not-run', detail);
}
