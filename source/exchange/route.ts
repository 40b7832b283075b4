/**
 * Which route a request takes. Chat routes go by model, service routes by the
 * longest prefix of the path, and of equal ones by method.
 */
import type {Class, Configuration, Route} from '../configuration/index.js';
import {Refusal} from '../errors/index.js';

/** A route with its class. */
export interface Match {
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
  private readonly chats = new Map<string, Match>();
  private readonly services: Match[] = [];

  constructor({tables}: Configuration) {
    for (const {object: route} of tables.routes.values()) {
      const found = route && tables.classes.get(route.class)?.object;
      if (!route || !found) continue;
      const match = {route, class: found};
      if (route.kind === 'chat') this.chats.set(route.model ?? '', match);
      else this.services.push(match);
    }
    this.services.sort(
      (one, other) =>
        (other.route.path?.length ?? 0) - (one.route.path?.length ?? 0),
    );
  }

  /** The models that a team may use. */
  models(team: string): string[] {
    const allowed = [...this.chats].filter(([, match]) => admits(match, team));
    return allowed.map(([model]) => model).sort();
  }

  /** The route of a model. Throws a Refusal. */
  chat(model: string): Match {
    const match = this.chats.get(model);
    if (match) return match;
    throw new Refusal('route-unknown', 'not-run', `no model ${model}`);
  }

  /** The route of a method and path. Throws a Refusal. */
  service(method: string, path: string): Match {
    const fitting = this.services.filter(({route}) => covers(route, path));
    const match = fitting.find(({route}) =>
      (route.methods as readonly string[]).includes(method),
    );
    if (match) return match;
    if (fitting.length > 0) {
      throw new Refusal('method-not-allowed', 'not-run', `no ${method} here`);
    }
    throw new Refusal('route-unknown', 'not-run', 'no route for the path');
  }
}

function covers(route: Route, path: string): boolean {
  const prefix = route.path ?? '/';
  if (path === prefix) return true;
  return path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

/** Whether a team may use a route. */
export function admits({route}: Match, team: string): boolean {
  return route.open || !route.teams || route.teams.includes(team);
}
