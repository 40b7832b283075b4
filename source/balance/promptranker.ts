/**
 * What the engines of a service are to a prompt: which are set aside for prompts
 * of its size, and which have its shared parts cached or are to get them.
 */
import type {DemandTracker} from './demand.js';
import type {EligibleSet} from './eligibleset.js';
import {largeEngineCount} from './partition.js';
import type {PrefixCacheIndex} from './prefixcache.js';
import {
  affinityPart,
  sharedParts,
  sharedTokenCount,
  type Prompt,
} from './prompt.js';
import {ranksAmong} from './rendezvous.js';

/** What the engines of a set are to a prompt. */
export interface PromptRanking {
  /** Whether the engine is set aside for prompts of the other size. */
  readonly isForOtherSize: (index: number) => boolean;
  /**
   * Ranks by index for the part by which the prompt is routed; undefined if
   * there is none.
   */
  readonly ranks: Uint32Array | undefined;
  /** Tokens that the engine is believed to have cached, by its id. */
  readonly cachedTokens: (id: string) => number;
}

/**
 * Weight of the engine time of small prompts where the split is made for the
 * sake of pauses. Most of that time is decoding, which goes on beside other
 * streams. With 1 the engines for large prompts exceeded more pauses in the plays
 * of test/support/pauseplay.ts, with 0.6 those for small ones did under overload.
 */
const SMALL_DEMAND_WEIGHT = 0.7;

/** How the size of a prompt was decided. */
export interface PromptSize {
  readonly isLarge: boolean;
  /** Whether by the pauses that it would cause, in place of a fixed size. */
  readonly isByPauses: boolean;
}

/** Ranks engines for prompts, and records where prompts are sent. */
export class PromptRanker {
  /** How many engines were set aside for large prompts, by service. */
  private readonly largeEngineCounts = new Map<string, number>();

  constructor(
    private readonly demand: DemandTracker,
    private readonly prefixCache: PrefixCacheIndex,
  ) {}

  /** What the engines of a set are to a prompt, by index or by id. */
  rank(
    prompt: Prompt,
    service: string,
    set: EligibleSet,
    now: number,
    {isLarge: large, isByPauses}: PromptSize,
  ): PromptRanking {
    const demand = this.demand.fleetDemand(service);
    const smallWeight = isByPauses ? SMALL_DEMAND_WEIGHT : 1;
    const count = largeEngineCount(
      set.size,
      {...demand, small: demand.small * smallWeight},
      this.largeEngineCounts.get(service) ?? 0,
    );
    this.largeEngineCounts.set(service, count);
    const affinity = large ? affinityPart(prompt) : undefined;
    const {largePromptRanks} = set;
    const isForOtherSize = (index: number) =>
      (largePromptRanks[index] ?? 0) < count !== large;
    return {
      isForOtherSize,
      ranks:
        affinity &&
        ranksAmong(set.ranks(affinity.id), index => !isForOtherSize(index)),
      cachedTokens: this.prefixCache.tokenCounter(sharedParts(prompt), now),
    };
  }

  /**
   * Returns whether an engine of a set, by its index, was set aside for large
   * prompts when the last prompt was ranked.
   */
  isForLarge(service: string, set: EligibleSet): (index: number) => boolean {
    const count = this.largeEngineCounts.get(service) ?? 0;
    const {largePromptRanks} = set;
    return index => (largePromptRanks[index] ?? 0) < count;
  }

  /**
   * Records that an engine prefills the prompt and then caches its shared
   * parts, and how many shared tokens were not cached there.
   */
  recordPrefill(
    service: string,
    prompt: Prompt,
    engine: string,
    now: number,
  ): void {
    const parts = sharedParts(prompt);
    const shared = sharedTokenCount(prompt);
    const uncached = shared - this.prefixCache.tokens(parts, engine, now);
    this.demand.recordSend(service, shared, uncached);
    this.prefixCache.recordPrefill(parts, engine, now);
  }
}
