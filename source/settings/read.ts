/**
 * Reads settings from flags, then from environment variables, then from their
 * defaults. An error names the flag, also where the value came from an
 * environment variable.
 */
import {parseArgs, type ArgsDef} from 'citty';
import * as z from 'zod';

import {SettingsError} from '../errors/index.js';

const VARIABLE_PREFIX = 'ARBUTUSSLIP_';

/** The flag of a setting, such as `--log-level` for `logLevel`. */
export function flagFor(setting: string): string {
  return `--${toKebabCase(setting)}`;
}

/** The environment variable of a setting: `ARBUTUSSLIP_LOG_LEVEL` for `logLevel`. */
export function environmentVariableFor(setting: string): string {
  return (
    VARIABLE_PREFIX + toKebabCase(setting).replaceAll('-', '_').toUpperCase()
  );
}

function toKebabCase(setting: string): string {
  return setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/** Definitions of the arguments for citty, one for each setting of the schema. */
export function argumentDefinitionsFor(schema: z.ZodObject): ArgsDef {
  const definitions: ArgsDef = {};
  for (const [setting, field] of Object.entries(schema.shape)) {
    definitions[toKebabCase(setting)] = {
      type: 'string',
      description: (field as z.ZodType).description ?? '',
      valueHint: environmentVariableFor(setting),
    };
  }
  return definitions;
}

/**
 * Reads and validates settings. `flags` are the arguments of the command line,
 * `variables` the environment. Throws a SettingsError that names the first flag
 * that is unknown, or all that are missing or invalid.
 *
 * ```ts
 * const settings = readSettings(process.argv.slice(2), process.env, schema);
 * ```
 */
export function readSettings<Schema extends z.ZodObject>(
  flags: readonly string[],
  variables: Readonly<Record<string, string | undefined>>,
  schema: Schema,
): z.infer<Schema> {
  const names = Object.keys(schema.shape);
  rejectUnknownFlags(flags, names);
  const parsed: Readonly<Record<string, unknown>> = parseArgs(
    [...flags],
    argumentDefinitionsFor(schema),
  );
  const values: Record<string, unknown> = {};
  for (const name of names) {
    const value =
      parsed[toKebabCase(name)] ?? variables[environmentVariableFor(name)];
    if (value !== undefined) values[name] = value;
  }
  return validate(schema, values);
}

function rejectUnknownFlags(flags: readonly string[], names: string[]): void {
  const known = new Set(names.map(flagFor));
  let expectsValue = false;
  for (const flag of flags) {
    if (!flag.startsWith('--')) {
      if (!expectsValue) throw new SettingsError(flag, 'is not a flag');
      expectsValue = false;
      continue;
    }
    const [name = flag, value] = flag.split('=', 2);
    if (!known.has(name)) throw new SettingsError(name, 'is not known');
    expectsValue = value === undefined;
  }
}

function validate<Schema extends z.ZodObject>(
  schema: Schema,
  values: Readonly<Record<string, unknown>>,
): z.infer<Schema> {
  const result = schema.safeParse(values);
  if (result.success) return result.data;
  const problems = result.error.issues.map(({path, message}) => {
    const setting = String(path[0] ?? '');
    const variable = environmentVariableFor(setting);
    const isMissing = !(setting in values);
    const detail = isMissing ? `is required (or ${variable})` : message;
    return {name: flagFor(setting), detail};
  });
  const texts = problems.map(({name, detail}) => `${name}: ${detail}`);
  const [first] = problems;
  const flag = first?.name ?? '';
  const reason = texts.join('; ').slice(`${flag}: `.length);
  throw new SettingsError(flag, reason, problems);
}
