/** Usage totals: requests and tokens by team, as immutable values. */

/** The usage of one team. */
export interface TeamUsage {
  readonly team: string;
  readonly requests: number;
  readonly tokens: number;
}

/** The usage of each team, by the team's name. */
export type UsageByTeam = ReadonlyMap<string, TeamUsage>;

/** Usage by team, from a list with one item for each team. */
export function usageByTeam(list: readonly TeamUsage[]): UsageByTeam {
  return addUsage(new Map(), new Map(list.map(item => [item.team, item])));
}

/**
 * The sum of two usages, team by team.
 *
 * ```ts
 * const total = addUsage(oneHost, otherHost);
 * ```
 */
export function addUsage(first: UsageByTeam, second: UsageByTeam): UsageByTeam {
  const sum = new Map(first);
  for (const {team, requests, tokens} of second.values()) {
    const existing = sum.get(team);
    sum.set(team, {
      team,
      requests: (existing?.requests ?? 0) + requests,
      tokens: (existing?.tokens ?? 0) + tokens,
    });
  }
  return sum;
}

/** `whole` less `part`, team by team; teams without a difference are omitted. */
export function subtractUsage(
  whole: UsageByTeam,
  part: UsageByTeam,
): UsageByTeam {
  const differences = new Map<string, TeamUsage>();
  for (const {team, requests, tokens} of whole.values()) {
    const subtracted = part.get(team);
    const difference = {
      team,
      requests: requests - (subtracted?.requests ?? 0),
      tokens: tokens - (subtracted?.tokens ?? 0),
    };
    if (difference.requests !== 0 || difference.tokens !== 0)
      differences.set(team, difference);
  }
  return differences;
}
