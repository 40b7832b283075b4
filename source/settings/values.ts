/**
 * Reads the values of a settings file that a program can do without. Each has a
 * default; a value that is absent, null, or not what it should be never keeps the
 * program from starting, but what is used in its place is noted.
 */
import * as z from 'zod';

import {SettingsError, type SettingsProblem} from '../errors/index.js';

/** A default that was taken, and why. */
export interface TakenDefault extends SettingsProblem {
  readonly reason: 'absent' | 'wrong';
  /** Whether the program has a figure of its own for the value. */
  readonly isFigure: boolean;
}

/** A section of a settings file: its values by their names. */
export type Section = Readonly<Record<string, unknown>>;

/**
 * Returns a section, which is empty if the value is no object.
 *
 * ```ts
 * sectionOf({graceS: 8}); // {graceS: 8}
 * sectionOf(null); // {}
 * ```
 */
export function sectionOf(value: unknown): Section {
  const isObject = typeof value === 'object' && value !== null;
  return isObject && !Array.isArray(value) ? (value as Section) : {};
}

/** Whether a settings file leaves a value out. */
export function isAbsent(value: unknown): value is null | undefined {
  return value === null || value === undefined;
}

/** A number, or a text that is one. */
export const numberSchema = z.preprocess(
  value =>
    typeof value === 'string' && value.trim() !== '' ? Number(value) : value,
  z.number(),
);

/** A text that is not empty, or a number in place of one. */
export const textSchema = z.preprocess(
  value => (typeof value === 'number' ? String(value) : value),
  z.string().min(1),
);

/** Reads values of one settings file, and notes the defaults it takes. */
export class DefaultingReader {
  readonly defaults: TakenDefault[] = [];

  /** Reads a number of at least 0; `fallback` is used in its place. */
  number(name: string, value: unknown, fallback: number): number {
    const schema = numberSchema.pipe(z.number().nonnegative());
    return this.read(name, value, schema, fallback, true);
  }

  /** Reads a number above 0; `fallback` is used in its place. */
  positive(name: string, value: unknown, fallback: number): number {
    const schema = numberSchema.pipe(z.number().positive());
    return this.read(name, value, schema, fallback, true);
  }

  /** Reads a value that may be left out; `fallback` is used in its place. */
  optional<Value, Fallback>(
    name: string,
    value: unknown,
    schema: z.ZodType<Value>,
    fallback: Fallback,
  ): Value | Fallback {
    return this.read(name, value, schema, fallback, false);
  }

  /** Reads a list; entries that are not what they should be are left out. */
  list<Value>(
    name: string,
    value: unknown,
    schema: z.ZodType<Value>,
  ): readonly Value[] {
    const entries = this.optional(name, value, z.array(z.unknown()), []);
    return entries.flatMap((entry, index) => {
      const read = this.optional(`${name}.${index}`, entry, schema, undefined);
      return read === undefined ? [] : [read];
    });
  }

  private read<Value, Fallback>(
    name: string,
    value: unknown,
    schema: z.ZodType<Value>,
    fallback: Fallback,
    isFigure: boolean,
  ): Value | Fallback {
    const used = `${JSON.stringify(fallback) ?? 'nothing'} is used`;
    if (isAbsent(value)) {
      const detail = `is absent; ${used}`;
      this.defaults.push({name, detail, reason: 'absent', isFigure});
      return fallback;
    }
    const result = schema.safeParse(value);
    if (result.success) return result.data;
    const [issue] = result.error.issues;
    const detail = `${issue?.message ?? 'is invalid'}; ${used}`;
    this.defaults.push({name, detail, reason: 'wrong', isFigure});
    return fallback;
  }
}

/**
 * Throws a SettingsError if settings that are to replace others lack what those
 * had: a value that has become wrong, or a figure that is gone, speaks for a file
 * that is half-written.
 */
export function rejectNewDefaults(
  path: string,
  former: readonly TakenDefault[],
  present: readonly TakenDefault[],
): void {
  const known = new Set(former.map(({name}) => name));
  const problems = present.filter(
    ({name, reason, isFigure}) =>
      !known.has(name) && (isFigure || reason === 'wrong'),
  );
  if (problems.length === 0) return;
  const texts = problems.map(({name, detail}) => `${name}: ${detail}`);
  throw new SettingsError(path, texts.join('; '), problems);
}
