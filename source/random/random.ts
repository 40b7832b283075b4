/** Random numbers are passed in, so that a run can be played again. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface Random {
  /** A number of at least 0 and under 1. */
  next(): number;
}

const UNSIGNED_RANGE = 2 ** 32;

/**
 * A source that gives the same numbers for the same seed.
 *
 * ```ts
 * const random = seededRandom(17);
 * const spread = random.next() * 100;
 * ```
 */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {next: () => (generator.next() >>> 0) / UNSIGNED_RANGE};
}
