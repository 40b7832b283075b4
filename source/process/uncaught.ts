/**
 * Ends a process in order on an error that nothing caught. Without a handler Node
 * ends it at once, with all requests that it holds, and says why in a message
 * that has no structure and quotes a line of the bundle.
 */
import type {EventEmitter} from 'node:events';

import type {Logger} from '../logging/index.js';
import {memoryFields, processorMilliseconds, type Load} from './load.js';

/** The exit code of a process that an uncaught error has ended. */
export const UNCAUGHT_ERROR_EXIT_CODE = 1;

/** Most of a stack trace that is logged, in characters. */
const MAX_STACK_LENGTH = 3_000;

/** What the handler needs. */
export interface UncaughtErrorOptions {
  /** Emits `uncaughtException`: the process, except in tests. */
  readonly source: EventEmitter;
  readonly logger: Logger;
  /** The requests that the process holds. */
  readonly load: () => Load;
  /** Ends the process with an exit code, in its own time. Called once. */
  readonly end: (exitCode: number) => void;
}

/**
 * Logs every uncaught error and unhandled rejection as `uncaught-error`, and ends
 * the process on the first.
 *
 * ```ts
 * endOnUncaughtError({source: process, logger, load, end: drainAndExit});
 * ```
 */
export function endOnUncaughtError(options: UncaughtErrorOptions): void {
  const {source, logger, load, end} = options;
  let isEnding = false;
  source.on('uncaughtException', (error: unknown, origin: string) => {
    const {active, queued} = load();
    logger.error('uncaught-error', {
      origin,
      ...errorFields(error),
      ...memoryFields(),
      processorMilliseconds: Math.round(processorMilliseconds()),
      uptimeSeconds: Math.round(process.uptime()),
      active,
      queued,
    });
    if (isEnding) return;
    isEnding = true;
    end(UNCAUGHT_ERROR_EXIT_CODE);
  });
}

/** An error, as fields of a log line. */
export function errorFields(error: unknown): {
  error: string;
  detail: string;
  stack: string;
} {
  if (!(error instanceof Error)) {
    return {error: typeof error, detail: String(error), stack: ''};
  }
  const {name, message, stack = ''} = error;
  return {
    error: name,
    detail: message,
    stack: stack.slice(0, MAX_STACK_LENGTH),
  };
}
