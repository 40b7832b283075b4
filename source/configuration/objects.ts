/**
 * The objects that operators configure. Each has a name that is unique in its
 * collection. The schemas are the documentation: docs/configuration.md is made
 * from their descriptions.
 */
import * as z from 'zod';

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lowercase letters, digits and hyphens');

const milliseconds = z.number().int().positive().max(3_600_000);

export const zoneSchema = z
  .strictObject({
    name: nameSchema,
    region: nameSchema.describe('The region that the availability zone is in.'),
    state: z
      .enum(['in', 'out'])
      .default('in')
      .describe('`out` gives the availability zone no new work.'),
  })
  .describe('An availability zone.');
export type Zone = z.infer<typeof zoneSchema>;

export const teamSchema = z
  .strictObject({
    name: nameSchema,
    weight: z
      .number()
      .positive()
      .max(100)
      .default(1)
      .describe('Share of its class, relative to other teams.'),
  })
  .describe('A team of callers.');
export type Team = z.infer<typeof teamSchema>;

export const keySchema = z
  .strictObject({
    name: nameSchema,
    team: nameSchema.describe('The team whose requests carry the key.'),
    digest: z
      .string()
      .regex(/^[0-9a-f]{64}$/)
      .describe(
        'SHA-256 of the key, in hexadecimal; the key itself is nowhere.',
      ),
  })
  .describe('A key, known by its digest.');
export type Key = z.infer<typeof keySchema>;

export const classSchema = z
  .strictObject({
    name: nameSchema,
    tier: z.number().int().min(1).max(3).describe('1 is served first.'),
    firstTokenTarget: milliseconds
      .default(1600)
      .describe('Milliseconds from arrival to the first token or answer.'),
    betweenTokensTarget: milliseconds
      .default(68)
      .describe('Milliseconds between tokens.'),
    queueBound: milliseconds
      .default(5000)
      .describe('Milliseconds that a request may wait for a place.'),
    floorShare: z
      .number()
      .min(0)
      .max(0.2)
      .default(0.02)
      .describe('Least share of the starts of a pool while the class waits.'),
    cheapShare: z
      .number()
      .min(0)
      .max(1)
      .default(0)
      .describe('Largest share of running requests on cheap endpoints.'),
  })
  .describe('A request class.');
export type Class = z.infer<typeof classSchema>;

export const routeSchema = z
  .strictObject({
    name: nameSchema,
    kind: z
      .enum(['chat', 'service'])
      .describe('`chat` for chat completions, `service` for plain services.'),
    model: z
      .string()
      .min(1)
      .max(128)
      .optional()
      .describe('chat: the model name that callers send.'),
    engineModel: z
      .string()
      .min(1)
      .max(128)
      .optional()
      .describe(
        'chat: the model name that engines get; the callers’ by default.',
      ),
    path: z
      .string()
      .regex(/^\/[\w\-./]*$/)
      .optional()
      .describe('service: the prefix of the path.'),
    methods: z
      .array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']))
      .min(1)
      .default(['POST'])
      .describe('The methods that the route takes.'),
    pool: nameSchema.describe('The pool of endpoints that serves the route.'),
    class: nameSchema.describe('The class of its requests.'),
    repeatable: z
      .boolean()
      .default(false)
      .describe('Whether a request may be run again.'),
    open: z.boolean().default(false).describe('Whether callers need no key.'),
    teams: z
      .array(nameSchema)
      .optional()
      .describe('The teams that may use it; all by default.'),
    whenCutOff: z
      .enum(['serve', 'refuse'])
      .default('serve')
      .describe('What a host does that cannot know of withdrawals.'),
  })
  .describe('A route from callers to a pool of endpoints.')
  .refine(
    route => (route.kind === 'chat' ? route.model : route.path) !== undefined,
    'chat needs a model, service needs a path',
  );
export type Route = z.infer<typeof routeSchema>;

export const endpointSchema = z
  .strictObject({
    name: nameSchema,
    zone: nameSchema,
    address: z
      .string()
      .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/)
      .describe('IP number and port.'),
    pool: nameSchema,
    kind: z.enum(['engine', 'service']),
    slots: z
      .number()
      .int()
      .positive()
      .max(4096)
      .describe('Requests that it runs at once when warm.'),
    coldSlots: z
      .number()
      .int()
      .nonnegative()
      .max(4096)
      .default(1)
      .describe('Requests that it bears in a cold start.'),
    cheap: z
      .boolean()
      .default(false)
      .describe('Whether it may be reclaimed at short notice.'),
    checksFencing: z
      .boolean()
      .default(false)
      .describe('Whether it refuses orders with an old fencing number.'),
  })
  .describe('An endpoint: a model engine or a plain service.');
export type Endpoint = z.infer<typeof endpointSchema>;

/** The collections of a configuration, in the order in which they refer. */
export const COLLECTIONS = [
  'zones',
  'teams',
  'keys',
  'classes',
  'routes',
  'endpoints',
] as const;
export type Collection = (typeof COLLECTIONS)[number];

/** The object type of each collection. */
export interface ObjectOf {
  zones: Zone;
  teams: Team;
  keys: Key;
  classes: Class;
  routes: Route;
  endpoints: Endpoint;
}
