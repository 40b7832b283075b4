/**
 * Rendezvous hashing: every host ranks the same names for the same key alike
 * without communication. A name that is added takes over only the keys that it
 * now ranks first for; one that is removed gives up only the keys that it had.
 */
import {createHash} from 'node:crypto';

const hashes = new Map<string, number>();
const MAX_HASHES = 16_384;

const HASH_RANGE = 2 ** 32;

/** A 32-bit hash of a text. */
function hashOf(text: string): number {
  return createHash('md5').update(text).digest().readUInt32BE(0);
}

/** Like `hashOf`, but remembers hashes until there are too many. */
function cachedHashOf(text: string): number {
  let hash = hashes.get(text);
  if (hash === undefined) {
    hash = hashOf(text);
    if (hashes.size >= MAX_HASHES) hashes.clear();
    hashes.set(text, hash);
  }
  return hash;
}

/** Mixes two 32-bit numbers so that each bit depends on all (murmur3). */
function mix(one: number, other: number): number {
  let mixed = one ^ Math.imul(other, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * The weight of a name for a key. The name with the highest weight ranks first.
 *
 * ```ts
 * const isFirst =
 *   rendezvousWeight(part.id, engine) > rendezvousWeight(part.id, other);
 * ```
 */
export function rendezvousWeight(key: string, name: string): number {
  return mix(cachedHashOf(key), cachedHashOf(name));
}

/**
 * Hashes a name to a number from 0 up to but not including 1, the same on every
 * host. The hash is not remembered, unlike those of engines and parts, since
 * request ids occur only once.
 */
export function hashToUnitInterval(name: string): number {
  return hashOf(name) / HASH_RANGE;
}

/**
 * The names in the order of their weight for a key, the highest first.
 *
 * ```ts
 * const [first] = rendezvousOrder(part.id, engines);
 * ```
 */
export function rendezvousOrder(
  key: string,
  names: readonly string[],
): string[] {
  const weights = names.map(name => ({
    name,
    weight: rendezvousWeight(key, name),
  }));
  weights.sort((one, other) => other.weight - one.weight);
  return weights.map(({name}) => name);
}

/** Names that a ranking may have, so that weight and index fit in a double. */
const MAX_RANKED_NAMES = 2 ** 20;

/**
 * Ranks the same names for many keys. Gives the order of `rendezvousOrder` and
 * needs no texts to be hashed or compared but the key.
 *
 * ```ts
 * const ranks = new RendezvousRanking(engines).ranks(part.id);
 * ```
 */
export class RendezvousRanking {
  private readonly hashes: Uint32Array;

  constructor(names: readonly string[]) {
    this.hashes = Uint32Array.from(names, cachedHashOf);
  }

  /** The rank of each name for a key, by its index; 0 is the first. */
  ranks(key: string): Uint32Array {
    const {hashes} = this;
    const keyHash = cachedHashOf(key);
    const count = hashes.length;
    const sorted = new Float64Array(count);
    for (let index = 0; index < count; index++) {
      const weight = mix(keyHash, hashes[index] ?? 0);
      // Of equal weights the earlier name ranks first, so it sorts higher.
      sorted[index] = weight * MAX_RANKED_NAMES + (count - 1 - index);
    }
    sorted.sort();
    const ranks = new Uint32Array(count);
    for (let place = 0; place < count; place++) {
      const value = sorted[place] ?? 0;
      const weight = Math.floor(value / MAX_RANKED_NAMES);
      const index = count - 1 - (value - weight * MAX_RANKED_NAMES);
      ranks[index] = count - 1 - place;
    }
    return ranks;
  }
}

/**
 * The ranks among some names only, by index; all others rank behind them.
 *
 * ```ts
 * const ranks = ranksAmong(ranking.ranks(key), index => isLarge(index));
 * ```
 */
export function ranksAmong(
  ranks: Uint32Array,
  isIncluded: (index: number) => boolean,
): Uint32Array {
  const count = ranks.length;
  const order = new Uint32Array(count);
  for (let index = 0; index < count; index++) order[ranks[index] ?? 0] = index;
  const among = new Uint32Array(count).fill(count);
  let rank = 0;
  for (const index of order) {
    if (isIncluded(index)) among[index] = rank++;
  }
  return among;
}

/** The rank of a name among others for a key; 0 is the first. */
export function rendezvousRank(
  key: string,
  name: string,
  others: readonly string[],
): number {
  const weight = rendezvousWeight(key, name);
  return others.filter(other => rendezvousWeight(key, other) > weight).length;
}
