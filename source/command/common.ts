/** What the tool's commands share: their flags, their output, their failures. */
import {readFile} from 'node:fs/promises';

import {SystemClock} from '../clock/index.js';
import {releaseNoteSchema, type ReleaseNote} from '../configuration/index.js';
import {ArbutusslipError} from '../errors/index.js';
import {
  follow,
  OperatorError,
  publish,
  type Published,
} from '../operator/index.js';
import {HttpPlatform, type Platform} from '../platform/index.js';

/** Milliseconds within which a note is to be in force everywhere. */
export const IN_FORCE_MILLISECONDS = 3_000;

const EXIT_FAILED = 1;

/** The flags that every command has. */
export const commonArguments = {
  platform: {
    type: 'string',
    description: 'Address of the platform (or ARBUTUSSLIP_PLATFORM).',
  },
  json: {
    type: 'boolean',
    description: 'Print one JSON object.',
    default: false,
  },
} as const;

/** The values of the common flags. */
export interface CommonValues {
  readonly platform?: string | undefined;
  readonly json: boolean;
}

/** The platform that the flags or the environment name. Throws an OperatorError. */
export function platformOf({platform}: CommonValues): Platform {
  const address = platform ?? process.env['ARBUTUSSLIP_PLATFORM'];
  if (address) return new HttpPlatform(address);
  throw new OperatorError('missing', '--platform: is required');
}

/**
 * Runs a command and prints what it answers: an object with `--json`, lines
 * otherwise. A failure is printed with its reason, and the exit code is 1.
 *
 * ```ts
 * await report(args, async () => ({value, lines: ['done']}));
 * ```
 */
export async function report(
  {json}: CommonValues,
  run: () => Promise<Outcome>,
): Promise<void> {
  try {
    const {value, lines, failed} = await run();
    const text = json ? JSON.stringify(value) : lines.join('\n');
    process.stdout.write(`${text}\n`);
    if (failed) process.exitCode = EXIT_FAILED;
  } catch (error) {
    if (!(error instanceof ArbutusslipError)) throw error;
    const reason = error instanceof OperatorError ? error.reason : error.name;
    const {message} = error;
    const text = json ? JSON.stringify({error: {reason, message}}) : message;
    process.stderr.write(
      `${json ? text : `arbutusslip: ${reason}: ${text}`}\n`,
    );
    process.exitCode = EXIT_FAILED;
  }
  process.exit();
}

/** What a command found out. */
export interface Outcome {
  readonly value: unknown;
  readonly lines: readonly string[];
  readonly failed?: boolean;
}

/** Reads a release note from a file. Throws an OperatorError. */
export async function readNote(file: string): Promise<ReleaseNote> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    throw new OperatorError('unreadable', (error as Error).message);
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new OperatorError('malformed', (error as Error).message);
  }
  const parsed = releaseNoteSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issues = parsed.error.issues.map(
    ({path, message}) => `${path.join('.')}: ${message}`,
  );
  throw new OperatorError('malformed', issues.join('; '));
}

/** Publishes a note and waits until it is in force everywhere. */
export async function publishAndFollow(
  platform: Platform,
  note: ReleaseNote,
): Promise<Outcome> {
  const published = await publish(platform, note);
  const verdict = describe(published);
  if (published.verdict.kind === 'rejected') {
    return {value: {...published, id: note.id}, lines: [verdict], failed: true};
  }
  const clock = new SystemClock();
  const {offset} = published;
  const following = await follow(
    platform,
    offset,
    IN_FORCE_MILLISECONDS,
    clock,
  );
  const {inForce, lagging} = following;
  const lines = [verdict, `in force on ${inForce.length} hosts`];
  if (lagging.length > 0) lines.push(`not yet on: ${lagging.join(', ')}`);
  const failed = lagging.length > 0;
  return {value: {id: note.id, ...published, ...following}, lines, failed};
}

/** A verdict in a line. */
export function describe({offset, verdict}: Published): string {
  if (verdict.kind !== 'rejected') return `${verdict.kind} at offset ${offset}`;
  const {reason, collection, name} = verdict.rejection;
  return `rejected at offset ${offset}: ${reason} (${collection} ${name})`;
}
