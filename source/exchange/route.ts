/**
 * Matches requests to routes: chat requests by model, service requests by the
 * longest path prefix among the routes that allow the method.
 */
import type {Class, Configuration, Route} from '../configuration/index.js';
import {Refusal} from '../errors/index.js';

/** A route with its class. */
export interface RouteMatch {
  readonly route: Route;
  readonly class: Class;
}

/**
 * The routes of one configuration.
 *
 * ```ts
 * const {route} = new RouteTable(configuration).chat('phrase-suggestion');
 * ```
 */
export class RouteTable {
  private readonly chatRoutes = new Map<string, RouteMatch>();
  private readonly serviceRoutes: RouteMatch[] = [];

  constructor({tables}: Configuration) {
    for (const {object: route} of tables.routes.values()) {
      const routeClass = route && tables.classes.get(route.class)?.object;
      if (!route || !routeClass) continue;
      const match = {route, class: routeClass};
      if (route.kind === 'chat') this.chatRoutes.set(route.model ?? '', match);
      else this.serviceRoutes.push(match);
    }
    this.serviceRoutes.sort(
      (one, other) =>
        (other.route.path?.length ?? 0) - (one.route.path?.length ?? 0),
    );
  }

  /** Returns the names of the models that a team may use, sorted. */
  models(team: string): string[] {
    const allowed = [...this.chatRoutes].filter(([, match]) =>
      isTeamAllowed(match, team),
    );
    return allowed.map(([model]) => model).sort();
  }

  /** Returns the route of a model. Throws a Refusal if there is none. */
  chat(model: string): RouteMatch {
    const match = this.chatRoutes.get(model);
    if (match) return match;
    throw new Refusal('route-unknown', 'not-run', `no model ${model}`);
  }

  /**
   * Returns the route for a method and path. Throws a Refusal if no route
   * matches the path, or none of those that do allows the method.
   */
  service(method: string, path: string): RouteMatch {
    const pathMatches = this.serviceRoutes.filter(({route}) =>
      matchesPath(route, path),
    );
    const match = pathMatches.find(({route}) =>
      (route.methods as readonly string[]).includes(method),
    );
    if (match) return match;
    if (pathMatches.length > 0) {
      throw new Refusal('method-not-allowed', 'not-run', `no ${method} here`);
    }
    throw new Refusal('route-unknown', 'not-run', 'no route for the path');
  }
}

/** Whether a path is the prefix of the route or lies below it. */
function matchesPath(route: Route, path: string): boolean {
  const prefix = route.path ?? '/';
  if (path === prefix) return true;
  return path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

/** Whether a team may use a route; all may use one that lists no teams. */
export function isTeamAllowed({route}: RouteMatch, team: string): boolean {
  return route.open || !route.teams || route.teams.includes(team);
}
