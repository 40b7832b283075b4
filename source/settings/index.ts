/** The settings of the daemon, and how values of settings files are read. */
export {settingsSchema, type Settings} from './schema.js';
export {
  readSettings,
  flagFor,
  environmentVariableFor,
  argumentDefinitionsFor,
} from './read.js';
export {
  DefaultingReader,
  isAbsent,
  numberSchema,
  rejectNewDefaults,
  sectionOf,
  textSchema,
  type Section,
  type TakenDefault,
} from './values.js';
