/**
 * The endpoints that may get a request, as a value that stays the same object
 * while they stay the same endpoints, with what is derived from them alone.
 */
import {versionOf, type KnownEndpoint} from '../directory/index.js';
import {LARGE_PROMPT_RANKING_KEY} from './partition.js';
import {RendezvousRanking} from './rendezvous.js';

/** Parts by version that are kept; callers name the versions of resumed streams. */
const MAX_DERIVED_SETS = 16;

/** Endpoints that may get a request. */
export class EligibleSet {
  /** Slots of all of them. */
  readonly slots: number;
  private lazyIds: ReadonlySet<string> | undefined;
  private lazyRanking: RendezvousRanking | undefined;
  private lazyLargeRanks: Uint32Array | undefined;
  /** Parts of it by software version, which keep their ranks. */
  private derivedSets: Map<string, EligibleSet> | undefined;

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

  /**
   * Those that have a software version, or state none for `UNSTATED_VERSION`; all
   * if it is undefined.
   */
  ofVersion(version: string | undefined): EligibleSet {
    if (version === undefined) return this;
    return this.derived(`of ${version}`, ({entry}) => {
      return versionOf(entry) === version;
    });
  }

  /** Those that have none of the given software versions. */
  withoutVersions(versions: ReadonlySet<string> | undefined): EligibleSet {
    if (!versions || versions.size === 0) return this;
    const key = `without ${[...versions].sort().join('\n')}`;
    return this.derived(key, ({entry}) => !versions.has(versionOf(entry)));
  }

  /** Those among the given ones; all if it is undefined. */
  among(ids: ReadonlySet<string> | undefined): EligibleSet {
    if (!ids) return this;
    return this.filter(({entry}) => ids.has(entry.id));
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

  private derived(
    key: string,
    isKept: (known: KnownEndpoint) => boolean,
  ): EligibleSet {
    this.derivedSets ??= new Map();
    let set = this.derivedSets.get(key);
    if (!set) {
      if (this.derivedSets.size >= MAX_DERIVED_SETS) this.derivedSets.clear();
      this.derivedSets.set(key, (set = this.filter(isKept)));
    }
    return set;
  }

  private get ranking(): RendezvousRanking {
    return (this.lazyRanking ??= new RendezvousRanking(
      this.endpoints.map(({entry}) => entry.id),
    ));
  }
}
