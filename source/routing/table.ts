/**
 * Where requests may go, as one immutable value: routes by host and path, the
 * services behind them, the teams with their keys, and the zones that are out.
 * A new configuration replaces the last one whole.
 */
import * as z from 'zod';

/** A service that may get a route's requests. */
const shareSchema = z.object({
  service: z.string(),
  weight: z.number().nonnegative(),
});

/** A route, which says what may be done with the requests that it covers. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  /** Whether a request may run more than once. */
  repeatable: z.boolean(),
  /** Whether the answer is a stream of events. */
  streaming: z.boolean(),
  /** Whether a broken stream may go on at another endpoint. */
  resumable: z.boolean(),
  /** Whether requests need no key. */
  open: z.boolean(),
  /** 0 is served first. */
  tier: z.number().int(),
  /** Milliseconds within which an answer, or its first event, is in time. */
  target: z.number(),
  /** Milliseconds between two events that are still in time. */
  pauseTarget: z.number(),
  /** Milliseconds after which a request has its final answer. */
  timeout: z.number(),
  /** Endpoints to which a request may be sent. */
  attempts: z.number().int(),
  shares: z.array(shareSchema).min(1),
  /** Regions that its requests must not leave; none where they may. */
  homes: z.array(z.string()),
});
export type Route = z.infer<typeof routeSchema>;

/** What a model engine of a service is made of. */
export const engineSchema = z.object({
  slots: z.number(),
  /** Tokens that the engine's memory holds. */
  memory: z.number(),
});

/** How many endpoints of a service a zone may be ordered to have. */
export const rangeSchema = z.object({
  least: z.number().int(),
  most: z.number().int(),
  /** Seconds from an order until the endpoint serves. */
  start: z.number(),
  /** Price of a reclaimable endpoint as a share of a lasting one's. */
  reclaimablePrice: z.number().optional(),
  /** Price of an endpoint by zone. */
  prices: z.record(z.string(), z.number()),
});
export type Range = z.infer<typeof rangeSchema>;

/** A service, which is a pool of endpoints that all run the same. */
export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Requests a second that an endpoint in its cold start bears. */
  coldRate: z.number(),
  /** Present where the endpoints are model engines. */
  engine: engineSchema.optional(),
  /** Present where endpoints can be ordered. */
  range: rangeSchema.optional(),
});
export type Service = z.infer<typeof serviceSchema>;

/** A team, which the keys of its callers name. */
export const teamSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Takes the place of the route's tier. */
  tier: z.number().int().optional(),
  /** Regions that its requests must not leave; none where they may. */
  homes: z.array(z.string()),
});
export type Team = z.infer<typeof teamSchema>;

/** What callers may send, and how long they may be idle. */
export const limitsSchema = z.object({
  headerBytes: z.number(),
  bodyBytes: z.number(),
  headerMilliseconds: z.number(),
  idleMilliseconds: z.number(),
});
export type Limits = z.infer<typeof limitsSchema>;

/** Everything that a configuration says. */
export const routingSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: limitsSchema,
  /** Absent where no key is asked for. */
  teams: z.array(teamSchema).optional(),
});
export type Routing = z.infer<typeof routingSchema>;

/** The routes, services and teams of one configuration, ready to look up. */
export class RoutingTable {
  readonly version: number;
  readonly limits: Limits;
  readonly services: ReadonlyMap<string, Service>;
  private readonly hosts = new Map<string, Map<string, Route>>();
  private readonly keys: ReadonlyMap<string, Team> | undefined;

  constructor({version, routes, services, limits, teams}: Routing) {
    this.version = version;
    this.limits = limits;
    this.services = new Map(services.map(service => [service.name, service]));
    this.keys = teams && keysOf(teams);
    for (const route of routes) this.add(route);
  }

  /**
   * The route of a path: of the host's routes, that with the longest prefix.
   *
   * ```ts
   * const route = table.match('phrases.example', '/drafts/new');
   * ```
   */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.hosts.get(host);
    if (!prefixes) return undefined;
    let slash = path.lastIndexOf('/');
    while (slash >= 0) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route) return route;
      if (slash === 0) return undefined;
      slash = path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }

  /** Whether requests on routes that are not open need a key. */
  get asksForKeys(): boolean {
    return this.keys !== undefined;
  }

  /** The team that holds a key. */
  team(key: string | undefined): Team | undefined {
    return key === undefined ? undefined : this.keys?.get(key);
  }

  private add(route: Route): void {
    const host = route.host.toLowerCase();
    const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
    this.hosts.set(host, prefixes.set(route.prefix, route));
  }
}

function keysOf(teams: readonly Team[]): Map<string, Team> {
  const keys = new Map<string, Team>();
  for (const team of teams) {
    for (const key of team.keys) keys.set(key, team);
  }
  return keys;
}

/**
 * The service that a request goes to: its id picks a point on the line of the
 * shares, so that the choice is the same wherever it is made.
 */
export function serviceFor({shares}: Route, point: number): string {
  const total = shares.reduce((sum, {weight}) => sum + weight, 0);
  let left = point * total;
  for (const {service, weight} of shares) {
    left -= weight;
    if (left < 0) return service;
  }
  return shares[shares.length - 1]?.service ?? '';
}
