/**
 * The regions in which a request may be served. A route and a team may each
 * list allowed regions; where both do, only regions in both lists are allowed.
 */
import type {Route, Team} from './table.js';

/** The regions whose endpoints may get a request; undefined for any region. */
export type AllowedRegions = readonly string[] | undefined;

/**
 * The allowed regions of a request: those of its route and its team, or the
 * intersection where both list some. An empty list allows no region.
 *
 * ```ts
 * const allowedRegions = allowedRegionsFor(route, team);
 * ```
 */
export function allowedRegionsFor(
  route: Route,
  team: Team | undefined,
): AllowedRegions {
  const lists = [route.homes, team?.homes ?? []].filter(
    regions => regions.length > 0,
  );
  const [first, second] = lists;
  if (!first || !second) return first;
  return first.filter(region => second.includes(region));
}

/**
 * Whether an endpoint in a region may get a request with these allowed regions.
 * An endpoint whose region is unknown may only get requests that are allowed in
 * any region.
 */
export function isRegionAllowed(
  allowed: AllowedRegions,
  region: string | undefined,
): boolean {
  if (!allowed) return true;
  return region !== undefined && allowed.includes(region);
}
