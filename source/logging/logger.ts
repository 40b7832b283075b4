/**
 * A log line is an event with fields, by default one JSON object per line. The
 * message is always the name of the event, so that lines can be counted by
 * event. API keys of callers must never be logged as fields.
 */
import loglevel from 'loglevel';

import type {Clock} from '../clock/index.js';
import type {Settings} from '../settings/index.js';

/** The fields of an event. */
export type Fields = Readonly<Record<string, string | number | boolean>>;

/** Logs events, each at the level of the method. */
export interface Logger {
  debug(event: string, fields?: Fields): void;
  info(event: string, fields?: Fields): void;
  warn(event: string, fields?: Fields): void;
  error(event: string, fields?: Fields): void;
}

type Level = keyof Logger;

/**
 * Receives formatted lines, each with its newline. The level tells the sink which
 * lines to keep when it cannot write them all.
 */
export type LineSink = (level: string, line: string) => void;

function writeToStandardError(_level: string, line: string): void {
  process.stderr.write(line);
}

/**
 * Creates a logger that writes lines of at least `level` to `sink`, by default
 * standard error.
 *
 * ```ts
 * const logger = createLogger('warn', 'json', clock);
 * logger.warn('endpoint-suspect', {endpoint: 'engine-3'});
 * ```
 */
export function createLogger(
  level: Settings['logLevel'],
  form: Settings['logForm'],
  clock: Clock,
  sink: LineSink = writeToStandardError,
): Logger {
  const target = loglevel.getLogger('arbutusslip');
  target.methodFactory = method => (event: string, fields: Fields) => {
    const format = form === 'json' ? formatJsonLine : formatHumanLine;
    sink(method, format(clock.now(), method, event, fields));
  };
  target.setLevel(level, false);
  const logAt =
    (name: Level) =>
    (event: string, fields: Fields = {}) =>
      target[name](event, fields);
  return {
    debug: logAt('debug'),
    info: logAt('info'),
    warn: logAt('warn'),
    error: logAt('error'),
  };
}

/**
 * Formats an event as one JSON object, with its newline.
 *
 * ```ts
 * formatJsonLine(clock.now(), 'error', 'end', {cause: 'settings'});
 * ```
 */
export function formatJsonLine(
  time: Date,
  level: string,
  event: string,
  fields: Fields,
): string {
  const line = {time: time.toISOString(), level, event, fields};
  return `${JSON.stringify(line)}\n`;
}

function formatHumanLine(
  time: Date,
  level: string,
  event: string,
  fields: Fields,
): string {
  const pairs = Object.entries(fields).map(
    ([name, value]) => `${name}=${value}`,
  );
  return `${time.toISOString()} ${level} ${event} ${pairs.join(' ')}\n`;
}
