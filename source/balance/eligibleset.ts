/**
 * The endpoints that may get a request, as a value that stays the same object
 * while they stay the same endpoints, with what is derived from them alone.
 */
import type {KnownEndpoint} from '../directory/index.js';
import {LARGE_PROMPT_RANKING_KEY} from './partition.js';
import {RendezvousRanking} from './rendezvous.js';

/** Endpoints that may get a request. */
export class EligibleSet {
  /** Slots of all of them. */
  readonly slots: number;
  private lazyIds: ReadonlySet<string> | undefined;
  private lazyRanking: RendezvousRanking | undefined;
  private lazyLargeRanks: Uint32Array | undefined;

  constructor(readonly endpoints: readonly KnownEndpoint[]) {
    this.slots = endpoints.reduce((sum, {entry}) => sum + entry.slots, 0);
  }

  get size(): number {
    return this.endpoints.length;
  }

  has(id: string): boolean {
    this.lazyIds ??= new Set(this.endpoints.map(({entry}) => entry.id));
    return this.lazyIds.has(id);
  }

  /** Those that have a software version; all if it is undefined. */
  ofVersion(version: string | undefined): EligibleSet {
    if (version === undefined) return this;
    return this.filter(({entry}) => entry.softwareVersion === version);
  }

  /** Those without the given ids. */
  without(ids: ReadonlySet<string>): EligibleSet {
    if (ids.size === 0) return this;
    return this.filter(({entry}) => !ids.has(entry.id));
  }

  /** The rank of each endpoint for a key, by index; 0 is the first. */
  ranks(key: string): Uint32Array {
    return this.ranking.ranks(key);
  }

  /**
   * The rank of each engine for large prompts, by index: the first ones are set
   * aside for them.
   */
  get largePromptRanks(): Uint32Array {
    return (this.lazyLargeRanks ??= this.ranks(LARGE_PROMPT_RANKING_KEY));
  }

  /** Whether it consists of the given endpoints, in the same order. */
  hasSame(endpoints: readonly KnownEndpoint[]): boolean {
    return (
      this.endpoints.length === endpoints.length &&
      this.endpoints.every((known, index) => known === endpoints[index])
    );
  }

  /** Returns itself where all endpoints are kept. */
  private filter(isKept: (known: KnownEndpoint) => boolean): EligibleSet {
    const kept = this.endpoints.filter(isKept);
    return kept.length === this.size ? this : new EligibleSet(kept);
  }

  private get ranking(): RendezvousRanking {
    return (this.lazyRanking ??= new RendezvousRanking(
      this.endpoints.map(({entry}) => entry.id),
    ));
  }
}
