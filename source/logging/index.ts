/** The door of the logging folder. */
export {
  createLogger,
  type Fields,
  type LineSink,
  type Logger,
} from './logger.js';
export {BoundedSink} from './bounded.js';
