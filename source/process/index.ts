/** What a process reports about itself: its load, and an end that nobody asked for. */
export {
  EndReporter,
  SETTINGS_EXIT_CODE,
  type EndCause,
  type EndReporterOptions,
} from './end.js';
export {LoadReporter, type LoadReporterOptions, type Load} from './load.js';
export {
  endOnUncaughtError,
  UNCAUGHT_ERROR_EXIT_CODE,
  type UncaughtErrorOptions,
} from './uncaught.js';
