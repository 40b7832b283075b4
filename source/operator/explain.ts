/** What the configuration says would happen to a request, step by step. */
import type {Configuration} from '../configuration/index.js';
import {Refusal} from '../errors/index.js';
import {isTeamAllowed, RouteTable} from '../exchange/index.js';

/** A request that an operator asks about. */
export interface Question {
  readonly team: string;
  readonly method: string;
  readonly path: string;
  readonly model: string | undefined;
}

/** What would happen to it. */
export interface Explanation {
  readonly route: string | undefined;
  readonly className: string | undefined;
  readonly tier: number | undefined;
  /** The endpoints that could serve it, without those of zones that are out. */
  readonly endpoints: readonly string[];
  /** The code of the refusal, if it would be refused. */
  readonly refusal: string | undefined;
}

const NOTHING = {
  route: undefined,
  className: undefined,
  tier: undefined,
  endpoints: [],
};

/**
 * Explains a request.
 *
 * ```ts
 * explain(configuration, {team, method: 'GET', path: '/register/1', model: undefined});
 * ```
 */
export function explain(
  configuration: Configuration,
  {team, method, path, model}: Question,
): Explanation {
  const routes = new RouteTable(configuration);
  try {
    if (!configuration.tables.teams.get(team)?.object) {
      return {...NOTHING, refusal: 'team-withdrawn'};
    }
    const match =
      model === undefined ? routes.service(method, path) : routes.chat(model);
    const refusal = isTeamAllowed(match, team) ? undefined : 'route-forbidden';
    return {
      route: match.route.name,
      className: match.class.name,
      tier: match.class.tier,
      endpoints: endpointsOf(configuration, match.route.pool),
      refusal,
    };
  } catch (error) {
    if (!(error instanceof Refusal)) throw error;
    return {...NOTHING, refusal: error.code};
  }
}

function endpointsOf({tables}: Configuration, pool: string): string[] {
  const names: string[] = [];
  for (const {object} of tables.endpoints.values()) {
    if (object?.pool !== pool) continue;
    const zone = tables.zones.get(object.zone)?.object;
    if (zone?.state === 'in') names.push(object.name);
  }
  return names;
}
