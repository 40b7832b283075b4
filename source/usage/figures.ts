/** Figures of usage: requests and tokens by team, as immutable values. */

/** What one team used. */
export interface TeamFigure {
  readonly team: string;
  readonly requests: number;
  readonly tokens: number;
}

/** What each team used, by name. */
export type Figures = ReadonlyMap<string, TeamFigure>;

/** Figures from a list with one item a team. */
export function figuresOf(list: readonly TeamFigure[]): Figures {
  return mergeFigures(new Map(), new Map(list.map(item => [item.team, item])));
}

/**
 * The sum of figures.
 *
 * ```ts
 * const total = mergeFigures(oneHost, otherHost);
 * ```
 */
export function mergeFigures(one: Figures, other: Figures): Figures {
  const sum = new Map(one);
  for (const {team, requests, tokens} of other.values()) {
    const present = sum.get(team);
    sum.set(team, {
      team,
      requests: (present?.requests ?? 0) + requests,
      tokens: (present?.tokens ?? 0) + tokens,
    });
  }
  return sum;
}

/** What `whole` has more than `part`; teams without a difference are left out. */
export function subtractFigures(whole: Figures, part: Figures): Figures {
  const rest = new Map<string, TeamFigure>();
  for (const {team, requests, tokens} of whole.values()) {
    const present = part.get(team);
    const more = {
      team,
      requests: requests - (present?.requests ?? 0),
      tokens: tokens - (present?.tokens ?? 0),
    };
    if (more.requests !== 0 || more.tokens !== 0) rest.set(team, more);
  }
  return rest;
}
