/** The settings of the daemon: their schema, flags and environment variables. */
export {settingsSchema, type Settings} from './schema.js';
export {readSettings, flagOf, variableOf, argumentsOf} from './read.js';
