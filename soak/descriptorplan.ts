/**
 * When connections that never finish a request come to the host that has few file
 * descriptors, from the seed alone.
 */
import type {RandomSource} from '../source/random/index.js';
import type {PlannedFault, SoakSize} from './faults.js';

/** The host that has few descriptors. */
export const FEW_DESCRIPTORS_HOST = 0;
const FIRST_MILLISECONDS = 1_000;
const GAP_MILLISECONDS_MOST = 8_000;
/** Time in which more connections are opened than the host may have. */
const LASTS_MILLISECONDS_LEAST = 1_500;
const LASTS_MILLISECONDS_MOST = 3_000;

/**
 * The faults of such connections.
 *
 * ```ts
 * const plan = descriptorPlanOf(machineRandomOf(5), {hosts: 3, endpoints: 4, lasts: 8_000});
 * ```
 */
export function descriptorPlanOf(
  random: RandomSource,
  {lasts: end}: SoakSize,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  const nextAt = (at: number) => at + random.next() * GAP_MILLISECONDS_MOST;
  for (let at = nextAt(FIRST_MILLISECONDS); at < end; at = nextAt(at)) {
    const range = LASTS_MILLISECONDS_MOST - LASTS_MILLISECONDS_LEAST;
    const lasts = LASTS_MILLISECONDS_LEAST + random.next() * range;
    const host = FEW_DESCRIPTORS_HOST;
    plan.push({at, fault: {kind: 'unfinished-heads', host, lasts}});
  }
  return plan;
}
