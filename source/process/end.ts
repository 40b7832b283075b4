/**
 * Tells why a process ends, in one structured line that is written at the very
 * end, also when the process has no logger yet. An end without that line came from
 * outside: a kill, a loss of power, or a fault of the runtime itself.
 */
import type {Clock} from '../clock/index.js';
import {formatJsonLine, writeLineNow, type Fields} from '../logging/index.js';
import {PORT_ERROR_EXIT_CODE} from '../ports/index.js';
import {memoryFields} from './load.js';
import {errorFields, UNCAUGHT_ERROR_EXIT_CODE} from './uncaught.js';

/** The exit code of a process whose settings or flags are wrong. */
export const SETTINGS_EXIT_CODE = 2;

const STDOUT_FILE_DESCRIPTOR = 1;
const STDERR_FILE_DESCRIPTOR = 2;
/** Decimal digits to which the uptime is told. */
const UPTIME_DIGITS = 1;

/** Why a process ends. */
export type EndCause =
  'signal' | 'settings' | 'port' | 'uncaught-error' | 'unknown';

/** The cause of an exit code of which nothing else was said. */
const CAUSES: ReadonlyMap<number, EndCause> = new Map([
  [UNCAUGHT_ERROR_EXIT_CODE, 'uncaught-error'],
  [SETTINGS_EXIT_CODE, 'settings'],
  [PORT_ERROR_EXIT_CODE, 'port'],
]);

/** What an end reporter needs. */
export interface EndReporterOptions {
  /** The name that begins the lines on standard error. */
  readonly program: string;
  /** The process, except in tests. */
  readonly source: Pick<NodeJS.Process, 'on' | 'exit' | 'uptime'>;
  readonly clock: Clock;
}

/** Writes an event `end` when the process ends. */
export class EndReporter {
  /** The memory that the process may take, once its settings are known. */
  memoryLimitMegabytes: number | undefined;
  private cause: EndCause | undefined;
  private details: Fields = {};
  private isRunning = false;

  /**
   * Starts to listen for the end of the process and for uncaught errors.
   *
   * ```ts
   * const ends = new EndReporter({program: 'arbutusslipd', source: process, clock});
   * ```
   */
  constructor(private readonly options: EndReporterOptions) {
    const {source} = options;
    source.on('exit', code => this.writeEnd(code));
    source.on('uncaughtException', (error, origin) =>
      this.handleUncaughtError(error, origin),
    );
  }

  /** Notes why the process is about to end. The first cause that is noted holds. */
  note(cause: EndCause, details: Fields = {}): void {
    if (this.cause !== undefined) return;
    this.cause = cause;
    this.details = details;
  }

  /**
   * Leaves it to the program from now on to end the process on an uncaught error.
   * Until then such an error ends it at once.
   */
  leaveUncaughtErrors(): void {
    this.isRunning = true;
  }

  /** Ends the process at once, with a plain line on standard error. */
  fail(exitCode: number, cause: EndCause, text: string, details: Fields): void {
    this.note(cause, {...details, detail: text});
    const {program, source} = this.options;
    writeLineNow(STDERR_FILE_DESCRIPTOR, `${program}: ${text}\n`);
    source.exit(exitCode);
  }

  /** Ends the process at once because of an error that nothing caught. */
  failUncaught(error: unknown): void {
    const fields = errorFields(error);
    const {stack, detail} = fields;
    const text = stack === '' ? detail : stack;
    this.note('uncaught-error', {...fields});
    this.fail(UNCAUGHT_ERROR_EXIT_CODE, 'uncaught-error', text, {});
  }

  private handleUncaughtError(error: unknown, origin: string): void {
    this.note('uncaught-error', {origin, ...errorFields(error)});
    if (!this.isRunning) this.failUncaught(error);
  }

  private writeEnd(exitCode: number): void {
    const {clock, source} = this.options;
    const cause = this.cause ?? CAUSES.get(exitCode) ?? 'unknown';
    const limit = this.memoryLimitMegabytes;
    const level = exitCode === 0 ? 'info' : 'error';
    const line = formatJsonLine(clock.now(), level, 'end', {
      cause,
      exitCode,
      ...this.details,
      uptimeSeconds: Number(source.uptime().toFixed(UPTIME_DIGITS)),
      ...memoryFields(),
      ...(limit === undefined ? {} : {memoryLimitMegabytes: limit}),
    });
    writeLineNow(STDOUT_FILE_DESCRIPTOR, line);
  }
}
