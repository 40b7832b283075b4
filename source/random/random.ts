/**
 * Components receive their source of random numbers as a parameter, so that a
 * run can be replayed from its seed.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of uniformly distributed random numbers. */
export interface RandomSource {
  /** A number of at least 0 and less than 1. */
  next(): number;
}

const UINT32_RANGE = 2 ** 32;

/**
 * A pseudorandom source that gives the same numbers for the same seed.
 *
 * ```ts
 * const random = seededRandom(17);
 * const spread = random.next() * 100;
 * ```
 */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {next: () => (generator.next() >>> 0) / UINT32_RANGE};
}
