/**
 * How many endpoints of a service each zone is to have, from the work that
 * callers bring. Cheap endpoints may be taken away from a whole zone at once,
 * so there are enough of them that the other zones carry the load while one is
 * without; lasting ones stand in where cheap ones cannot be had. Answers the
 * load of bursts while zones lose their cheap endpoints.
 */
import type {Range} from '../routing/index.js';

/** What a zone has of a service. */
export interface ZoneSupply {
  readonly zone: string;
  /** Endpoints of each kind that take requests or are starting. */
  readonly lasting: number;
  readonly reclaimable: number;
  /** Whether cheap endpoints were lately not to be had there. */
  readonly dry: boolean;
  /** Whether operators have taken the zone out. */
  readonly out: boolean;
}

/** What the plan is made from. */
export interface Situation {
  readonly range: Range;
  readonly supplies: readonly ZoneSupply[];
  /** Endpoints that the work of callers keeps busy, on the mean. */
  readonly busy: number;
}

/** How many of each kind a zone is to have. */
export interface ZonePlan {
  readonly zone: string;
  readonly lasting: number;
  readonly reclaimable: number;
}

/** Endpoints for each that is busy on the mean, since arrivals are uneven. */
const HEADROOM = 2.5;
/** Endpoints of a zone while nothing is known of the work. */
const FIRST_COUNT = 3;

/**
 * The plan for each zone.
 *
 * ```ts
 * const plans = planZones({range, supplies, busy: 1.8});
 * ```
 */
export function planZones(situation: Situation): ZonePlan[] {
  const {range, supplies, busy} = situation;
  const wanted = wantedInZone(situation);
  const cheap = range.reclaimablePrice !== undefined;
  const short = Math.max(Math.ceil(busy * HEADROOM) - ready(supplies), 0);
  return supplies.map(supply => {
    const {zone, out, lasting, reclaimable, dry} = supply;
    if (out) return {zone, lasting, reclaimable};
    if (!cheap) return {zone, lasting: wanted, reclaimable: 0};
    const missing = Math.max(wanted - reclaimable, 0);
    const replaced = missing === 0 ? 0 : Math.min(lasting, missing);
    const added = dry ? Math.min(short, missing) : 0;
    const least = Math.max(range.least - reclaimable, 0);
    return {
      zone,
      lasting: Math.max(replaced, added, least),
      reclaimable: wanted,
    };
  });
}

/** Endpoints of each zone, so that the others can do without any one zone. */
function wantedInZone({range, supplies, busy}: Situation): number {
  const zones = supplies.filter(({out}) => !out).length;
  const needed = Math.ceil(busy * HEADROOM);
  const each = Math.ceil(needed / Math.max(zones - 1, 1));
  return Math.min(Math.max(each, FIRST_COUNT, range.least), range.most);
}

function ready(supplies: readonly ZoneSupply[]): number {
  return supplies
    .filter(({out}) => !out)
    .reduce((sum, {lasting, reclaimable}) => sum + lasting + reclaimable, 0);
}
