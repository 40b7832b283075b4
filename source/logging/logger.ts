/**
 * Log lines are events with fields, one JSON object a line. The text of a line
 * is the event's name, so that lines can be counted. Keys of callers are never
 * fields.
 */
import loglevel from 'loglevel';

import type {Clock} from '../clock/index.js';
import type {Settings} from '../settings/index.js';

/** The fields of an event. */
export type Fields = Readonly<Record<string, string | number | boolean>>;

/** Writes events at a level. */
export interface Logger {
  debug(event: string, fields?: Fields): void;
  info(event: string, fields?: Fields): void;
  warn(event: string, fields?: Fields): void;
  error(event: string, fields?: Fields): void;
}

type Level = keyof Logger;

/** Takes finished lines; the level says what to keep where not all fit. */
export type LineSink = (level: string, line: string) => void;

function toStandardError(_level: string, line: string): void {
  process.stderr.write(line);
}

/**
 * A logger that writes to standard error, or to a sink.
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
  sink: LineSink = toStandardError,
): Logger {
  const target = loglevel.getLogger('arbutusslip');
  target.methodFactory = method => (event: string, fields: Fields) => {
    const line = form === 'json' ? jsonLine : humanLine;
    sink(method, line(clock.now(), method, event, fields));
  };
  target.setLevel(level, false);
  const at =
    (name: Level) =>
    (event: string, fields: Fields = {}) =>
      target[name](event, fields);
  return {
    debug: at('debug'),
    info: at('info'),
    warn: at('warn'),
    error: at('error'),
  };
}

function jsonLine(
  time: Date,
  level: string,
  event: string,
  fields: Fields,
): string {
  const line = {time: time.toISOString(), level, event, fields};
  return `${JSON.stringify(line)}\n`;
}

function humanLine(
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
