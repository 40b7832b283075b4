/**
 * Spreads requests over endpoints that are about equally cheap. Hosts that
 * decide at the same moment know much the same, so if each chose the cheapest
 * endpoint, all would choose the same one.
 */
import type {RandomSource} from '../random/index.js';

/** What a spread choice is made among, by index. */
export interface SpreadInput {
  /** Cost of each endpoint in milliseconds. */
  readonly costs: Float64Array;
  /** Work that each endpoint does in a millisecond, relative to the others. */
  readonly speeds: Float64Array;
  /**
   * Milliseconds of work that other hosts are expected to have sent since what
   * is known of the endpoints was true.
   */
  readonly expectedWork: number;
  /** Difference in cost that callers do not notice, in milliseconds. */
  readonly maxDifference: number;
}

/**
 * The cost up to which the expected work fills the cheapest endpoints, if it
 * raises all of them to the same cost. At most `maxDifference` above the lowest.
 *
 * ```ts
 * const level = fillLevel({costs, speeds, expectedWork: 40, maxDifference: 20});
 * ```
 */
export function fillLevel({
  costs,
  speeds,
  expectedWork,
  maxDifference,
}: SpreadInput): number {
  let lowest = Infinity;
  for (const cost of costs) if (cost < lowest) lowest = cost;
  if (expectedWork <= 0) return lowest;
  let level = lowest + maxDifference;
  // Each round leaves out endpoints above the level, which lowers it.
  for (;;) {
    let speed = 0;
    let filled = expectedWork;
    for (let index = 0; index < costs.length; index++) {
      const cost = costs[index] ?? Infinity;
      if (cost > level) continue;
      speed += speeds[index] ?? 0;
      filled += cost * (speeds[index] ?? 0);
    }
    const lower = filled / speed;
    if (!(lower < level)) return level;
    level = lower;
  }
}

/**
 * Chooses an endpoint at random with the probability at which the expected work
 * should reach it: in proportion to its speed and to how far its cost is below
 * the fill level. The first of the cheapest ones where nothing is expected; -1
 * if there are no endpoints.
 *
 * ```ts
 * const index = chooseSpread(input, random);
 * ```
 */
export function chooseSpread(input: SpreadInput, random: RandomSource): number {
  const {costs, speeds} = input;
  const level = fillLevel(input);
  let total = 0;
  let cheapest = -1;
  for (let index = 0; index < costs.length; index++) {
    const cost = costs[index] ?? Infinity;
    if (cheapest < 0 || cost < (costs[cheapest] ?? Infinity)) cheapest = index;
    if (cost < level) total += (level - cost) * (speeds[index] ?? 0);
  }
  if (!(total > 0)) return cheapest;
  let rest = random.next() * total;
  let chosen = cheapest;
  for (let index = 0; index < costs.length; index++) {
    const cost = costs[index] ?? Infinity;
    if (!(cost < level)) continue;
    chosen = index;
    rest -= (level - cost) * (speeds[index] ?? 0);
    if (rest < 0) break;
  }
  return chosen;
}
