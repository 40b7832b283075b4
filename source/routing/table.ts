/**
 * The routing configuration as one immutable value: routes by host and path, the
 * services behind them, and the teams with their keys. A new configuration
 * replaces the previous one completely.
 */
import * as z from 'zod';

/** A service that gets a route's requests in proportion to its weight. */
const weightedServiceSchema = z.object({
  service: z.string(),
  weight: z.number().nonnegative(),
});

/** A route: which requests it matches and how they are handled. */
export const routeSchema = z.object({
  name: z.string(),
  /** Host name that requests are addressed to, in any letter case. */
  host: z.string(),
  /** Path prefix; begins and ends with a slash. */
  prefix: z.string(),
  /** Whether a request may run more than once. */
  repeatable: z.boolean(),
  /** Whether the response is a stream of events. */
  streaming: z.boolean(),
  /** Whether a broken stream may be resumed at another endpoint. */
  resumable: z.boolean(),
  /** Whether requests need no key. */
  open: z.boolean(),
  /** Its place in the order among requests of equal teams; 0 is served first. */
  tier: z.number().int(),
  /** Milliseconds within which a response, or its first event, is in time. */
  target: z.number(),
  /** Longest gap between two events, in milliseconds, that is still in time. */
  pauseTarget: z.number(),
  /** Milliseconds after which a request has its final response at the latest. */
  timeout: z.number(),
  /** Largest number of endpoints to which a request may be sent. */
  attempts: z.number().int(),
  /** How requests are split among services. */
  shares: z.array(weightedServiceSchema).min(1),
  /** Regions in which its requests may be served; empty for any region. */
  homes: z.array(z.string()),
});
export type Route = z.infer<typeof routeSchema>;

/** Capacity of an inference engine of a service. */
export const engineSchema = z.object({
  /** Requests that it can run at the same time. */
  slots: z.number(),
  /** Tokens that fit into its KV cache. */
  memory: z.number(),
});

/** Autoscaling limits and prices of a service. */
export const scalingRangeSchema = z.object({
  /** Least number of endpoints in a zone. */
  least: z.number().int(),
  /** Largest number of endpoints in a zone. */
  most: z.number().int(),
  /** Seconds from a scale request until the endpoint serves requests. */
  start: z.number(),
  /**
   * Price of a reclaimable endpoint as a share of an on-demand one's; absent
   * where the service has no reclaimable endpoints.
   */
  reclaimablePrice: z.number().optional(),
  /** Price of an endpoint by zone. */
  prices: z.record(z.string(), z.number()),
});
export type ScalingRange = z.infer<typeof scalingRangeSchema>;

/** A service: a pool of interchangeable endpoints. */
export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /**
   * Requests per second that an endpoint can take during its cold start; 0 for
   * no limit.
   */
  coldRate: z.number(),
  /** Present where the endpoints are inference engines. */
  engine: engineSchema.optional(),
  /** Present where the service can be scaled. */
  range: scalingRangeSchema.optional(),
});
export type Service = z.infer<typeof serviceSchema>;

/** A team, identified by the keys of its callers. */
export const teamSchema = z.object({
  name: z.string(),
  /** API keys. */
  keys: z.array(z.string()),
  /** Its requests go before those of teams with a higher tier, on any route. */
  tier: z.number().int().optional(),
  /** Regions in which its requests may be served; empty for any region. */
  homes: z.array(z.string()),
});
export type Team = z.infer<typeof teamSchema>;

/** Node's timers take no longer durations. */
const MAX_TIMEOUT_MILLISECONDS = 2_147_483_647;
/** Node's HTTP server throws on an idle timeout below 0. */
const timeoutSchema = z.number().min(0).max(MAX_TIMEOUT_MILLISECONDS);

/** Limits on the size of requests and on the time that callers may take. */
export const limitsSchema = z.object({
  headerBytes: z.number(),
  bodyBytes: z.number(),
  headerMilliseconds: timeoutSchema,
  idleMilliseconds: timeoutSchema,
});
export type Limits = z.infer<typeof limitsSchema>;

/** A routing configuration. */
export const routingConfigurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: limitsSchema,
  /** Absent where requests need no key. */
  teams: z.array(teamSchema).optional(),
});
export type RoutingConfiguration = z.infer<typeof routingConfigurationSchema>;

/** Lookup of the routes, services and teams of one configuration. */
export class RoutingTable {
  readonly version: number;
  readonly limits: Limits;
  readonly services: ReadonlyMap<string, Service>;
  private readonly routesByHost = new Map<string, Map<string, Route>>();
  private readonly teamsByKey: ReadonlyMap<string, Team> | undefined;

  constructor({
    version,
    routes,
    services,
    limits,
    teams,
  }: RoutingConfiguration) {
    this.version = version;
    this.limits = limits;
    this.services = new Map(services.map(service => [service.name, service]));
    this.teamsByKey = teams && indexByKey(teams);
    for (const route of routes) this.addRoute(route);
  }

  /**
   * The route of a request: among the routes of the host, the one with the
   * longest prefix of the path. `host` must be in lower case.
   *
   * ```ts
   * const route = table.match('phrases.example', '/drafts/new');
   * ```
   */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.routesByHost.get(host);
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
  get requiresKeys(): boolean {
    return this.teamsByKey !== undefined;
  }

  /** The team that a key belongs to. */
  team(key: string | undefined): Team | undefined {
    return key === undefined ? undefined : this.teamsByKey?.get(key);
  }

  private addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const prefixes = this.routesByHost.get(host) ?? new Map<string, Route>();
    this.routesByHost.set(host, prefixes.set(route.prefix, route));
  }
}

function indexByKey(teams: readonly Team[]): Map<string, Team> {
  const teamsByKey = new Map<string, Team>();
  for (const team of teams) {
    for (const key of team.keys) teamsByKey.set(key, team);
  }
  return teamsByKey;
}

/**
 * The service that a request goes to, picked in proportion to the weights.
 * `point`, from 0 to below 1, is a hash of the request's id, so that every host
 * makes the same choice.
 */
export function serviceFor({shares}: Route, point: number): string {
  const total = shares.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = point * total;
  for (const {service, weight} of shares) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return shares[shares.length - 1]?.service ?? '';
}
