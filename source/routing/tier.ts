/** The order in which requests are served, from the priorities that operators set. */
import type {Route, Team} from './table.js';

/** Tiers of routes that are told apart; less urgent ones share the last. */
const ROUTE_TIERS = 3;
/** Tier of a request whose team has none, and of one without a team. */
const DEFAULT_TEAM_TIER = 1;

/**
 * The tier of a request; 0 is served first. The tier of the team decides, and
 * between requests of equal teams that of the route.
 *
 * ```ts
 * tierOf({...route, tier: 0}, {...team, tier: 1}); // 3
 * tierOf({...route, tier: 1}, {...team, tier: 1}); // 4
 * ```
 */
export function tierOf(
  route: Pick<Route, 'tier'>,
  team: Pick<Team, 'tier'> | undefined,
): number {
  const teamTier = Math.max(team?.tier ?? DEFAULT_TEAM_TIER, 0);
  const routeTier = Math.min(Math.max(route.tier, 0), ROUTE_TIERS - 1);
  return teamTier * ROUTE_TIERS + routeTier;
}
