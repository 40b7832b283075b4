/** The door of the logging folder. */
export {createLogger, type Logger, type Fields} from './logger.js';
