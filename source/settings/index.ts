/** The settings of the daemon: their schema, flags and environment variables. */
export {settingsSchema, type Settings} from './schema.js';
export {
  readSettings,
  flagFor,
  environmentVariableFor,
  argumentDefinitionsFor,
} from './read.js';
