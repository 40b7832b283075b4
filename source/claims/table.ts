/**
 * The claims that the log holds. The first claim of an id, by offset, names the
 * only process that may run the request; its settlement is what repeats get.
 * A claim is remembered as long as the log keeps its record, which every host
 * sees alike.
 */
import type {LogRecord} from '../platform/index.js';

/** Records of the log. */
export type ClaimsRecord = Extract<LogRecord, {kind: 'claims'}>;
export type Settlement = ClaimsRecord['settlements'][number];

/** What is known of one claim. */
export interface ClaimStanding {
  readonly offset: number;
  /** The process that may run the request. */
  readonly incarnation: string;
  readonly bodyDigest: string;
  readonly settlement: Settlement | undefined;
}

/** All claims that the log still holds. */
export class ClaimTable {
  private readonly claims = new Map<string, ClaimStanding>();
  private readonly watchers = new Map<string, Array<() => void>>();

  get size(): number {
    return this.claims.size;
  }

  get(id: string): ClaimStanding | undefined {
    return this.claims.get(id);
  }

  /**
   * Applies a record. The second claim of an id and the second settlement
   * change nothing, and only the process that holds a claim settles it. A
   * settlement as `not-run` frees the id for a new claim.
   *
   * ```ts
   * table.apply(record, entry.offset);
   * ```
   */
  apply(
    {incarnation, claims, settlements}: ClaimsRecord,
    offset: number,
  ): void {
    for (const {id, bodyDigest} of claims) {
      if (this.claims.has(id)) continue;
      const settlement = undefined;
      this.claims.set(id, {offset, incarnation, bodyDigest, settlement});
      this.wake(id);
    }
    for (const settlement of settlements) {
      const claim = this.claims.get(settlement.id);
      if (claim?.incarnation !== incarnation || claim.settlement) continue;
      if (settlement.outcome === 'not-run') this.claims.delete(settlement.id);
      else this.claims.set(settlement.id, {...claim, settlement});
      this.wake(settlement.id);
    }
  }

  /** Forgets the claims whose records the log has dropped. */
  forgetBefore(first: number): void {
    for (const [id, {offset}] of this.claims) {
      if (offset >= first) return;
      this.claims.delete(id);
    }
  }

  /** Calls back at the next change of a claim; answers how to stop. */
  watch(id: string, callback: () => void): () => void {
    const watchers = this.watchers.get(id) ?? [];
    watchers.push(callback);
    this.watchers.set(id, watchers);
    return () => {
      const rest = (this.watchers.get(id) ?? []).filter(
        one => one !== callback,
      );
      if (rest.length === 0) this.watchers.delete(id);
      else this.watchers.set(id, rest);
    };
  }

  private wake(id: string): void {
    const watchers = this.watchers.get(id) ?? [];
    this.watchers.delete(id);
    for (const callback of watchers) callback();
  }
}
