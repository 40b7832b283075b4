/** Structured log events, and a sink that limits their rate. */
export {
  createLogger,
  formatJsonLine,
  type Fields,
  type LineSink,
  type Logger,
} from './logger.js';
export {BoundedSink} from './sink.js';
export {writeLineNow} from './synchronous.js';
