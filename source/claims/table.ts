/**
 * The claims in the log. The first claim of an id, by offset, decides which
 * process may run the request; duplicates get its settlement. A claim is
 * remembered until its record expires from the log, so all hosts forget it at
 * the same offset.
 */
import type {LogRecord} from '../platform/index.js';

/** A log record with claims and settlements of one process. */
export type ClaimsRecord = Extract<LogRecord, {kind: 'claims'}>;
/** The recorded outcome of a claimed request. */
export type Settlement = ClaimsRecord['settlements'][number];

/** The state of one claim according to the log. */
export interface ClaimState {
  /** Offset of the record that holds the claim. */
  readonly offset: number;
  /** The process that may run the request. */
  readonly incarnation: string;
  readonly bodyDigest: string;
  /** Undefined until the request has ended. */
  readonly settlement: Settlement | undefined;
}

/** Holds the state of all claims whose records the log still has. */
export class ClaimTable {
  /** Claims by id, in the order of their offsets. */
  private readonly claims = new Map<string, ClaimState>();
  private readonly watchers = new Map<string, Array<() => void>>();

  get size(): number {
    return this.claims.size;
  }

  get(id: string): ClaimState | undefined {
    return this.claims.get(id);
  }

  /**
   * Applies a record; call it in the order of the offsets. A second claim or
   * settlement of an id has no effect, and only the process that holds a claim
   * can settle it. A settlement with the outcome `not-run` releases the id for
   * a new claim.
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
      this.notifyWatchers(id);
    }
    for (const settlement of settlements) {
      const claim = this.claims.get(settlement.id);
      if (claim?.incarnation !== incarnation || claim.settlement) continue;
      if (settlement.outcome === 'not-run') this.claims.delete(settlement.id);
      else this.claims.set(settlement.id, {...claim, settlement});
      this.notifyWatchers(settlement.id);
    }
  }

  /** Removes the claims whose records lie before the log's first offset. */
  removeBefore(first: number): void {
    for (const [id, {offset}] of this.claims) {
      if (offset >= first) return;
      this.claims.delete(id);
    }
  }

  /**
   * Calls `callback` once, when `apply` next changes the claim. Returns a
   * function that cancels the watch.
   */
  watch(id: string, callback: () => void): () => void {
    const watchers = this.watchers.get(id) ?? [];
    watchers.push(callback);
    this.watchers.set(id, watchers);
    return () => {
      const remaining = (this.watchers.get(id) ?? []).filter(
        watcher => watcher !== callback,
      );
      if (remaining.length === 0) this.watchers.delete(id);
      else this.watchers.set(id, remaining);
    };
  }

  private notifyWatchers(id: string): void {
    const watchers = this.watchers.get(id) ?? [];
    this.watchers.delete(id);
    for (const callback of watchers) callback();
  }
}
