/**
 * Rendezvous hashing: every host ranks the same endpoints for the same key
 * alike, without a word between them, and an endpoint that comes or goes moves
 * only the keys that it wins or held.
 */
import {createHash} from 'node:crypto';

const seeds = new Map<string, number>();
const SEEDS_MOST = 16_384;

const POINTS = 2 ** 32;

function hashOf(text: string): number {
  return createHash('md5').update(text).digest().readUInt32BE(0);
}

/** A number of 32 bits that stands for a text. */
function seedOf(text: string): number {
  let seed = seeds.get(text);
  if (seed === undefined) {
    seed = hashOf(text);
    if (seeds.size >= SEEDS_MOST) seeds.clear();
    seeds.set(text, seed);
  }
  return seed;
}

/** Mixes two numbers of 32 bits so that each bit depends on all (murmur3). */
function mix(one: number, other: number): number {
  let mixed = one ^ Math.imul(other, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * How strongly a name is drawn to a key; the strongest wins the key.
 *
 * ```ts
 * const isStronger = pull(part.id, engine) > pull(part.id, other);
 * ```
 */
export function pull(key: string, name: string): number {
  return mix(seedOf(key), seedOf(name));
}

/**
 * A point between 0 and 1 that a name picks, the same on every host. Unlike the
 * names of engines and parts it is not remembered, for names of requests come
 * only once.
 */
export function pointOf(name: string): number {
  return hashOf(name) / POINTS;
}

/**
 * The names by how strongly they are drawn to a key, the strongest first.
 *
 * ```ts
 * const [first] = rankedFor(part.id, engines);
 * ```
 */
export function rankedFor(key: string, names: readonly string[]): string[] {
  const pulls = names.map(name => ({name, strength: pull(key, name)}));
  pulls.sort((one, other) => other.strength - one.strength);
  return pulls.map(({name}) => name);
}

/** The place of a name among others for a key; 0 is the first. */
export function rankOf(
  key: string,
  name: string,
  others: readonly string[],
): number {
  const own = pull(key, name);
  return others.filter(other => pull(key, other) > own).length;
}
