/**
 * The regions that requests must not leave. A route and a team may each name
 * their homes; where both do, both bind.
 */
import type {Route, Team} from './table.js';

/** The regions whose endpoints may get a request; undefined for all. */
export type Homes = readonly string[] | undefined;

/**
 * The homes of a request.
 *
 * ```ts
 * const homes = homesOf(route, team);
 * ```
 */
export function homesOf(route: Route, team: Team | undefined): Homes {
  const named = [route.homes, team?.homes ?? []].filter(
    homes => homes.length > 0,
  );
  const [first, second] = named;
  if (!first || !second) return first;
  return first.filter(region => second.includes(region));
}

/** Whether an endpoint in a region may get a request with these homes. */
export function isHome(homes: Homes, region: string | undefined): boolean {
  if (!homes) return true;
  return region !== undefined && homes.includes(region);
}
