/**
 * An index of which engines are believed to have which prompt parts in their
 * prefix cache: those that prefilled them recently, for this host or for one
 * that reported it. Engines that run out of memory evict parts without notice,
 * so entries expire.
 */
import type {PromptPart} from './prompt.js';

/** A part that an engine has prefilled. */
export interface CachedPart {
  /** Id of the prompt part. */
  readonly part: string;
  /** Id of the engine. */
  readonly endpoint: string;
}

interface Prefill extends CachedPart {
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** Time after its last use for which a part is believed to be cached. */
const CACHED_MILLISECONDS = 45_000;
/**
 * Size from which parts are reported to other hosts; smaller ones prefill fast.
 */
const MIN_REPORTED_TOKENS = 400;
/** Parts in the index; beyond that the part that was added first is dropped. */
const MAX_PARTS = 16_384;
/**
 * Prefills that are remembered for reports; beyond that the oldest are dropped.
 */
const MAX_RECENT_PREFILLS = 256;

/** The parts that engines have cached, as far as this host knows. */
export class PrefixCacheIndex {
  /** Monotonic milliseconds of the last use, by part and endpoint. */
  private readonly lastUses = new Map<string, Map<string, number>>();
  private recentPrefills: Prefill[] = [];

  /** Records that an engine prefills the parts, for a request of this host. */
  recordPrefill(
    parts: readonly PromptPart[],
    endpoint: string,
    now: number,
  ): void {
    for (const {id: part, tokens: cachedTokens} of parts) {
      this.recordUse({part, endpoint}, now);
      if (cachedTokens < MIN_REPORTED_TOKENS) continue;
      this.recentPrefills.push({part, endpoint, at: now});
    }
    if (this.recentPrefills.length > MAX_RECENT_PREFILLS)
      this.recentPrefills = this.recentPrefills.slice(-MAX_RECENT_PREFILLS);
  }

  /** Adds what another host has reported. */
  addReports(reports: readonly CachedPart[], now: number): void {
    for (const report of reports) this.recordUse(report, now);
  }

  /**
   * The parts that engines have prefilled for requests of this host since a
   * monotonic time, each pair of part and engine once, for the other hosts.
   */
  prefillsSince(time: number): CachedPart[] {
    const reports = new Map<string, CachedPart>();
    for (const {part, endpoint, at} of this.recentPrefills) {
      if (at >= time) reports.set(`${part} ${endpoint}`, {part, endpoint});
    }
    return [...reports.values()];
  }

  /** Removes an engine that has left or restarted. */
  removeEndpoint(endpoint: string): void {
    for (const engines of this.lastUses.values()) engines.delete(endpoint);
  }

  /**
   * Tokens at the beginning of a prompt that an engine is believed to have
   * cached. Counts up to the first part that it has not.
   *
   * ```ts
   * const cached = prefixCache.tokens(prompt.parts, engine, now);
   * const uncached = prompt.tokens - cached;
   * ```
   */
  tokens(parts: readonly PromptPart[], endpoint: string, now: number): number {
    return this.tokenCounter(parts, now)(endpoint);
  }

  /**
   * Returns `tokens` as a function of the engine, for a prompt whose engines are
   * compared. Valid until the index changes.
   */
  tokenCounter(
    parts: readonly PromptPart[],
    now: number,
  ): (endpoint: string) => number {
    const known: Array<{lastUses: Map<string, number>; tokens: number}> = [];
    for (const {id, tokens} of parts) {
      const lastUses = this.lastUses.get(id);
      if (!lastUses) break;
      known.push({lastUses, tokens});
    }
    return endpoint => {
      let sum = 0;
      for (const {lastUses, tokens} of known) {
        const at = lastUses.get(endpoint) ?? -Infinity;
        if (now - at > CACHED_MILLISECONDS) break;
        sum += tokens;
      }
      return sum;
    };
  }

  private recordUse({part, endpoint}: CachedPart, now: number): void {
    const engines = this.lastUses.get(part);
    if (engines) return void engines.set(endpoint, now);
    this.lastUses.set(part, new Map([[endpoint, now]]));
    if (this.lastUses.size <= MAX_PARTS) return;
    const [oldest] = this.lastUses.keys();
    if (oldest !== undefined) this.lastUses.delete(oldest);
  }
}
