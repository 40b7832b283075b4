/**
 * Settings come from flags, then from environment variables, then from their
 * defaults. What is wrong or unknown is named by its flag.
 */
import {parseArgs, type ArgsDef} from 'citty';
import * as z from 'zod';

import {SettingsError} from '../errors/index.js';

const VARIABLE_PREFIX = 'ARBUTUSSLIP_';

/** The flag of a setting: `logLevel` is `--log-level`. */
export function flagOf(setting: string): string {
  return `--${kebab(setting)}`;
}

/** The environment variable of a setting: `logLevel` is `ARBUTUSSLIP_LOG_LEVEL`. */
export function variableOf(setting: string): string {
  return VARIABLE_PREFIX + kebab(setting).replaceAll('-', '_').toUpperCase();
}

function kebab(setting: string): string {
  return setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/** The arguments of a schema as citty describes them. */
export function argumentsOf(schema: z.ZodObject): ArgsDef {
  const described: ArgsDef = {};
  for (const [setting, field] of Object.entries(schema.shape)) {
    described[kebab(setting)] = {
      type: 'string',
      description: (field as z.ZodType).description ?? '',
      valueHint: variableOf(setting),
    };
  }
  return described;
}

/**
 * Reads and checks settings. Throws a SettingsError that names the flag.
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
  rejectUnknown(flags, names);
  const parsed: Readonly<Record<string, unknown>> = parseArgs(
    [...flags],
    argumentsOf(schema),
  );
  const values: Record<string, unknown> = {};
  for (const name of names) {
    const value = parsed[kebab(name)] ?? variables[variableOf(name)];
    if (value !== undefined) values[name] = value;
  }
  return check(schema, values);
}

function rejectUnknown(flags: readonly string[], names: string[]): void {
  const known = new Set(names.map(flagOf));
  let takesValue = false;
  for (const flag of flags) {
    if (!flag.startsWith('--')) {
      if (!takesValue) throw new SettingsError(flag, 'is not a flag');
      takesValue = false;
      continue;
    }
    const [name = flag, value] = flag.split('=', 2);
    if (!known.has(name)) throw new SettingsError(name, 'is not known');
    takesValue = value === undefined;
  }
}

function check<Schema extends z.ZodObject>(
  schema: Schema,
  values: Readonly<Record<string, unknown>>,
): z.infer<Schema> {
  const result = schema.safeParse(values);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const name = String(issue?.path[0] ?? '');
  const missing = !(name in values);
  const variable = variableOf(name);
  const reason = missing ? `is required (or ${variable})` : issue?.message;
  throw new SettingsError(flagOf(name), reason ?? 'is wrong');
}
