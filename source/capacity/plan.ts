/**
 * How many endpoints of a service each zone is to have, given the demand. The
 * platform may take away the reclaimable endpoints of a whole zone at once, so
 * there are enough of them that the other zones carry the load while one zone
 * has none. On-demand endpoints take their place where reclaimable ones are
 * unavailable. The plan is sized for bursts while zones lose their reclaimable
 * endpoints, and for the first callers of a large deployment: until the demand
 * is known, the number of endpoints does not drop below the baseline.
 */
import type {ScalingRange} from '../routing/index.js';

/** What a zone has of a service. */
export interface ZoneSupply {
  readonly zone: string;
  /** On-demand endpoints that take requests or are starting. */
  readonly onDemand: number;
  /** Reclaimable endpoints that take requests or are starting. */
  readonly reclaimable: number;
  /** Whether a recent request for reclaimable endpoints there was refused. */
  readonly reclaimableUnavailable: boolean;
  /** Whether operators have taken the zone out of service. */
  readonly out: boolean;
}

/** What a plan for one service is based on. */
export interface PlanInput {
  readonly range: ScalingRange;
  readonly supplies: readonly ZoneSupply[];
  /** Mean number of endpoints that the demand keeps busy. */
  readonly busy: number;
  /** On-demand endpoints that existed before the first scale request. */
  readonly baseline: number;
  /** Whether the service has been in use for long enough to know its demand. */
  readonly isDemandKnown: boolean;
  /** Number of hosts over which the callers are spread. */
  readonly hosts: number;
}

/** How many endpoints of each kind a zone is to have. */
export interface ZonePlan {
  readonly zone: string;
  readonly onDemand: number;
  readonly reclaimable: number;
}

/** Endpoints for each one that is busy on average, as arrivals are uneven. */
const HEADROOM_FACTOR = 2.5;
/**
 * The same with many hosts. What they know of each other is seconds old, so
 * requests collide at some endpoints while others have capacity left.
 */
const LARGE_FLEET_HEADROOM_FACTOR = 3.5;
/** Hosts up to which each one knows well which load the others have where. */
const SMALL_FLEET_MAX_HOSTS = 12;
/**
 * How much of the headroom factor is on-demand endpoints, which keep serving
 * when reclaimable ones are taken away.
 */
const ON_DEMAND_HEADROOM_FACTOR = 0.6;
/**
 * The same where there is only one zone, which may lose all of its reclaimable
 * endpoints.
 */
const SINGLE_ZONE_ON_DEMAND_HEADROOM_FACTOR = 1.25;
/** Share of the baseline that stays on-demand alongside reclaimable endpoints. */
const RETAINED_BASELINE_SHARE = 1 / 3;
/**
 * Share of a zone's maximum that on-demand endpoints may take up alongside
 * reclaimable ones.
 */
const MAX_ON_DEMAND_SHARE = 0.5;
/** Reclaimable endpoints that a zone has at least. */
const MIN_RECLAIMABLE_ENDPOINTS = 3;
/** Mean number of busy endpoints below which a service counts as idle. */
const IDLE_THRESHOLD_ENDPOINTS = 0.05;

/**
 * Plans the endpoints of a service for each zone that is in service.
 *
 * ```ts
 * const load = {busy: 1.8, baseline: 6, isDemandKnown: true, hosts: 3};
 * const plans = planZones({range, supplies, ...load});
 * ```
 */
export function planZones(input: PlanInput): ZonePlan[] {
  const {range, busy, baseline} = input;
  const supplies = input.supplies.filter(({out}) => !out);
  if (supplies.length === 0) return [];
  const headroom =
    input.hosts > SMALL_FLEET_MAX_HOSTS
      ? LARGE_FLEET_HEADROOM_FACTOR
      : HEADROOM_FACTOR;
  const needed = Math.ceil(busy * headroom);
  if (range.reclaimablePrice === undefined) {
    return planOnDemandOnly(range, supplies, Math.max(needed, baseline));
  }
  const retainedBaseline = Math.ceil(baseline * RETAINED_BASELINE_SHARE);
  const isSingleZone = supplies.length === 1;
  const onDemandHeadroom = isSingleZone
    ? SINGLE_ZONE_ON_DEMAND_HEADROOM_FACTOR
    : ON_DEMAND_HEADROOM_FACTOR;
  const onDemandTotal = Math.max(
    Math.ceil(busy * onDemandHeadroom),
    retainedBaseline,
  );
  const shares = spreadOverZones(onDemandTotal, range, supplies);
  const baselineGap = input.isDemandKnown ? 0 : baseline - onDemandTotal;
  const perZone = reclaimablePerZone(range, supplies, needed, baselineGap);
  const maxOnDemand = Math.floor(range.most * MAX_ON_DEMAND_SHARE);
  const shortfall = Math.max(needed - totalEndpoints(supplies), 0);
  const substitutes = spreadOverZones(shortfall, range, supplies);
  const isIdle = input.isDemandKnown && busy < IDLE_THRESHOLD_ENDPOINTS;
  return supplies.map(supply => {
    const {zone, reclaimableUnavailable} = supply;
    const share = Math.min(shares.get(zone) ?? 0, maxOnDemand);
    const reclaimable = Math.min(perZone, range.most - share);
    const minOnDemand = Math.max(range.least - reclaimable, 0);
    const wanted = Math.max(share, minOnDemand);
    const retained = isIdle
      ? 0
      : retainedOnDemand(supply, wanted, reclaimable, range);
    const substitute = reclaimableUnavailable
      ? (substitutes.get(zone) ?? 0)
      : 0;
    const onDemand = Math.max(wanted, retained) + substitute;
    return {zone, onDemand: Math.min(onDemand, range.most), reclaimable};
  });
}

/** On-demand endpoints to keep until reclaimable ones have replaced them. */
function retainedOnDemand(
  supply: ZoneSupply,
  wanted: number,
  reclaimable: number,
  {most}: ScalingRange,
): number {
  const missing = wanted + reclaimable - supply.reclaimable;
  const retained = Math.min(supply.onDemand, Math.max(missing, 0));
  // In a full zone, once the first reclaimable endpoints are there, on-demand
  // ones give way to the rest of them.
  const limit = supply.reclaimable > 0 ? most - reclaimable : most;
  return Math.min(retained, limit);
}

/** The plan for a service without reclaimable endpoints. */
function planOnDemandOnly(
  range: ScalingRange,
  supplies: readonly ZoneSupply[],
  count: number,
): ZonePlan[] {
  const shares = spreadOverZones(count, range, supplies);
  return supplies.map(({zone}) => {
    const onDemand = Math.max(shares.get(zone) ?? 0, range.least);
    return {zone, onDemand: Math.min(onDemand, range.most), reclaimable: 0};
  });
}

/**
 * Reclaimable endpoints of each zone, enough that any one zone can lose all of
 * its own.
 */
function reclaimablePerZone(
  range: ScalingRange,
  supplies: readonly ZoneSupply[],
  needed: number,
  baselineGap: number,
): number {
  const available = supplies.filter(
    ({reclaimableUnavailable}) => !reclaimableUnavailable,
  ).length;
  const remaining = Math.max(available - 1, 1);
  const forDemand = Math.ceil(needed / remaining);
  const forBaseline = Math.ceil(baselineGap / remaining);
  return Math.min(
    Math.max(forDemand, forBaseline, MIN_RECLAIMABLE_ENDPOINTS),
    range.most,
  );
}

/** Spreads a count evenly over the zones, starting with the cheapest zone. */
function spreadOverZones(
  count: number,
  {prices}: ScalingRange,
  supplies: readonly ZoneSupply[],
): Map<string, number> {
  const priceOf = (zone: string) => prices[zone] ?? 1;
  const zones = supplies
    .map(({zone}) => zone)
    .sort((one, other) => priceOf(one) - priceOf(other));
  return new Map(
    zones.map((zone, index) => [
      zone,
      Math.max(Math.ceil((count - index) / zones.length), 0),
    ]),
  );
}

function totalEndpoints(supplies: readonly ZoneSupply[]): number {
  return supplies.reduce(
    (sum, {onDemand, reclaimable}) => sum + onDemand + reclaimable,
    0,
  );
}
