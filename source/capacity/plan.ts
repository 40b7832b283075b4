/**
 * How many endpoints of a service each zone is to have, from the work that
 * callers bring. Cheap endpoints may be taken away from a whole zone at once,
 * so there are enough of them that the other zones carry the load while one is
 * without; lasting ones stand in where cheap ones cannot be had. Answers the
 * load of bursts while zones lose their cheap endpoints, and the first callers
 * of a large deployment, for whom as many stay as were found.
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
  /** Lasting endpoints that stood before the first order. */
  readonly found: number;
  /** Whether callers have been there for long enough to tell what they need. */
  readonly known: boolean;
  /** Hosts among which the callers are spread. */
  readonly hosts: number;
}

/** How many of each kind a zone is to have. */
export interface ZonePlan {
  readonly zone: string;
  readonly lasting: number;
  readonly reclaimable: number;
}

/** Endpoints for each that is busy on the mean, since arrivals are uneven. */
const HEADROOM = 2.5;
/**
 * The same with many hosts. Their word of each other is seconds old, so requests
 * meet at some endpoints while others have room.
 */
const HEADROOM_MANY_HOSTS = 3.5;
/** Hosts up to which each knows well what the others have where. */
const FEW_HOSTS = 12;
/** Of these, lasting ones, which carry on when cheap ones are taken away. */
const LASTING_HEADROOM = 0.6;
/** The same where there is one zone, which may lose all of its cheap ones. */
const LASTING_HEADROOM_ALONE = 1.25;
/** Share of the lasting endpoints found that is kept beside cheap ones. */
const FOUND_SHARE = 1 / 3;
/** Share of a zone's endpoints that lasting ones may take up beside cheap ones. */
const LASTING_MOST_SHARE = 0.5;
/** Cheap endpoints of a zone at the least. */
const CHEAP_LEAST = 3;
/** Busy endpoints under which nobody is served yet. */
const IDLE_BUSY = 0.05;

/**
 * The plan for each zone.
 *
 * ```ts
 * const plans = planZones({range, supplies, busy: 1.8, found: 6});
 * ```
 */
export function planZones(situation: Situation): ZonePlan[] {
  const {range, busy, found} = situation;
  const supplies = situation.supplies.filter(({out}) => !out);
  if (supplies.length === 0) return [];
  const spare = situation.hosts > FEW_HOSTS ? HEADROOM_MANY_HOSTS : HEADROOM;
  const needed = Math.ceil(busy * spare);
  if (range.reclaimablePrice === undefined) {
    return lastingOnly(range, supplies, Math.max(needed, found));
  }
  const kept = Math.ceil(found * FOUND_SHARE);
  const alone = supplies.length === 1;
  const headroom = alone ? LASTING_HEADROOM_ALONE : LASTING_HEADROOM;
  const steady = Math.max(Math.ceil(busy * headroom), kept);
  const shares = spread(steady, range, supplies);
  const expected = situation.known ? 0 : found - steady;
  const cheap = cheapInZone(range, supplies, needed, expected);
  const lastingMost = Math.floor(range.most * LASTING_MOST_SHARE);
  const missing = Math.max(needed - present(supplies), 0);
  const standIns = spread(missing, range, supplies);
  const idle = situation.known && busy < IDLE_BUSY;
  return supplies.map(supply => {
    const {zone, dry} = supply;
    const steadyHere = Math.min(shares.get(zone) ?? 0, lastingMost);
    const reclaimable = Math.min(cheap, range.most - steadyHere);
    const least = Math.max(range.least - reclaimable, 0);
    const wanted = Math.max(steadyHere, least);
    const standing = idle ? 0 : unreplaced(supply, wanted, reclaimable, range);
    const standIn = dry ? (standIns.get(zone) ?? 0) : 0;
    const lasting = Math.max(wanted, standing) + standIn;
    return {zone, lasting: Math.min(lasting, range.most), reclaimable};
  });
}

/** Lasting endpoints that stay until cheap ones have taken their place. */
function unreplaced(
  supply: ZoneSupply,
  wanted: number,
  reclaimable: number,
  {most}: Range,
): number {
  const missing = wanted + reclaimable - supply.reclaimable;
  const standing = Math.min(supply.lasting, Math.max(missing, 0));
  // Where the zone is full, the first cheap ones make room for the others.
  const room = supply.reclaimable > 0 ? most - reclaimable : most;
  return Math.min(standing, room);
}

/** Without cheap endpoints, the need is spread over the zones. */
function lastingOnly(
  range: Range,
  supplies: readonly ZoneSupply[],
  count: number,
): ZonePlan[] {
  const shares = spread(count, range, supplies);
  return supplies.map(({zone}) => {
    const lasting = Math.max(shares.get(zone) ?? 0, range.least);
    return {zone, lasting: Math.min(lasting, range.most), reclaimable: 0};
  });
}

/** Cheap endpoints of each zone, so that one zone can lose its own. */
function cheapInZone(
  range: Range,
  supplies: readonly ZoneSupply[],
  needed: number,
  expected: number,
): number {
  const wet = supplies.filter(({dry}) => !dry).length;
  const left = Math.max(wet - 1, 1);
  const each = Math.ceil(needed / left);
  const first = Math.ceil(expected / left);
  return Math.min(Math.max(each, first, CHEAP_LEAST), range.most);
}

/** Deals a count out to the zones in turn, the least priced first. */
function spread(
  count: number,
  {prices}: Range,
  supplies: readonly ZoneSupply[],
): Map<string, number> {
  const priceOf = (zone: string) => prices[zone] ?? 1;
  const zones = supplies
    .map(({zone}) => zone)
    .sort((one, other) => priceOf(one) - priceOf(other));
  const shares = new Map<string, number>();
  for (let dealt = 0; dealt < count; dealt++) {
    const zone = zones[dealt % zones.length] ?? '';
    shares.set(zone, (shares.get(zone) ?? 0) + 1);
  }
  return shares;
}

function present(supplies: readonly ZoneSupply[]): number {
  return supplies.reduce(
    (sum, {lasting, reclaimable}) => sum + lasting + reclaimable,
    0,
  );
}
