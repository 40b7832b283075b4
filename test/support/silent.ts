/** A logger that says nothing, for parts whose lines a test does not read. */
import type {Logger} from '../../source/logging/index.js';

export const SILENT: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};
