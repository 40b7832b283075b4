/**
 * Writes docs/configuration.md and the example release notes from the schemas.
 * With `--check` it writes nothing and fails where a file is out of date.
 */
import {readFileSync, writeFileSync} from 'node:fs';

import * as z from 'zod';

import {
  classSchema,
  endpointSchema,
  keySchema,
  releaseNoteSchema,
  routeSchema,
  teamSchema,
  zoneSchema,
} from '../source/configuration/index.js';
import {
  flagFor,
  settingsSchema,
  environmentVariableFor,
} from '../source/settings/index.js';
import {
  DEPLOYMENTS,
  firstNote,
  plannedEndpoints,
  type Deployment,
} from './deployments.js';

const checks = process.argv.includes('--check');
const ROOT = new URL('../', import.meta.url);

const propertySchema = z.looseObject({
  description: z.string().optional(),
  default: z.unknown().optional(),
  type: z.string().optional(),
  enum: z.array(z.string()).optional(),
  minimum: z.number().optional(),
  maximum: z.number().optional(),
});
type Property = z.infer<typeof propertySchema>;

const objectSchema = z.looseObject({
  description: z.string().optional(),
  properties: z.record(z.string(), propertySchema),
  required: z.array(z.string()).optional(),
});

function described(schema: z.ZodType) {
  return objectSchema.parse(z.toJSONSchema(schema, {io: 'input'}));
}

function valuesOf({enum: values, type, minimum, maximum}: Property): string {
  if (values) return values.map(value => `\`${value}\``).join(', ');
  const low =
    minimum === undefined || minimum < -1e15 ? '' : ` from ${minimum}`;
  const high = maximum === undefined || maximum > 1e15 ? '' : ` to ${maximum}`;
  return `${type ?? 'any'}${low}${high}`;
}

function row(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

function defaultOf(property: Property, required: boolean): string {
  if (property.default !== undefined)
    return `\`${JSON.stringify(property.default)}\``;
  return required ? 'required' : 'none';
}

function settingsTable(): string[] {
  const {properties, required = []} = described(settingsSchema);
  const rows = Object.entries(properties).map(([name, property]) =>
    row([
      `\`${flagFor(name)}\``,
      `\`${environmentVariableFor(name)}\``,
      defaultOf(property, required.includes(name)),
      property.description ?? '',
    ]),
  );
  return [
    row(['flag', 'variable', 'default', 'meaning']),
    row(['---', '---', '---', '---']),
    ...rows,
  ];
}

function objectTable(title: string, schema: z.ZodType): string[] {
  const {description, properties, required = []} = described(schema);
  const rows = Object.entries(properties).map(([name, property]) =>
    row([
      `\`${name}\``,
      valuesOf(property),
      defaultOf(property, required.includes(name)),
      property.description ?? 'Unique in its collection.',
    ]),
  );
  return [
    `### ${title}`,
    '',
    description ?? '',
    '',
    row(['field', 'values', 'default', 'meaning']),
    row(['---', '---', '---', '---']),
    ...rows,
    '',
  ];
}

const COLLECTION_SCHEMAS: ReadonlyArray<readonly [string, z.ZodType]> = [
  ['zones', zoneSchema],
  ['teams', teamSchema],
  ['keys', keySchema],
  ['classes', classSchema],
  ['routes', routeSchema],
  ['endpoints', endpointSchema],
];

function page(): string {
  return [
    '# Configuration',
    '',
    'Made from the schemas by `npm run document`; do not edit.',
    '',
    '## Settings of a host',
    '',
    'A flag goes before a variable, a variable before the default. Values named',
    'milliseconds or bytes are whole numbers of them. A wrong or unknown flag is',
    'named on standard error, and the exit code is 2.',
    '',
    ...settingsTable(),
    '',
    '## Release notes',
    '',
    'A release note is a JSON object with an `id` and up to three parts: `added`',
    'lists new objects by collection, `changed` lists `{"revision", "object"}`, and',
    '`withdrawn` lists `{"name", "revision"}`. The revision is the one that the',
    'author saw (`arbutusslip release show`): if another note changed the object in',
    'between, the later of the two is rejected whole. A note with an id that was',
    'decided before is passed over. A withdrawn name may be added again, but for a',
    'key, whose name and digest are spent for good.',
    '',
    'Rejections: `exists`, `missing`, `revision` (another note came first),',
    '`reference` (a class, team or zone that is not there), `key-reused`,',
    '`ambiguous` (an object named twice in one note).',
    '',
    'Examples: `examples/consorzio.json` and `examples/munteco.json`.',
    '',
    ...COLLECTION_SCHEMAS.flatMap(([title, schema]) =>
      objectTable(title, schema),
    ),
  ].join('\n');
}

const EXAMPLE_DIGEST = '0'.repeat(64);
const FIRST_PORT = 7_101;

function example(deployment: Deployment): string {
  const planned = plannedEndpoints(deployment);
  const addresses = new Map(
    planned.map(({name}, index) => [name, `127.0.0.1:${FIRST_PORT + index}`]),
  );
  const team = deployment.teams[0]?.name ?? '';
  const keys = [{team, digest: EXAMPLE_DIGEST}];
  const note = releaseNoteSchema.parse(firstNote(deployment, addresses, keys));
  return `${JSON.stringify({id: note.id, added: note.added}, undefined, 2)}\n`;
}

function put(path: string, text: string): void {
  const url = new URL(path, ROOT);
  if (!checks) {
    writeFileSync(url, text);
    return;
  }
  if (readFileSync(url, 'utf8') === text) return;
  process.stderr.write(`${path} is out of date: run npm run document\n`);
  process.exitCode = 1;
}

put('docs/configuration.md', page());
for (const deployment of Object.values(DEPLOYMENTS)) {
  put(`examples/${deployment.name}.json`, example(deployment));
}
