/** The door of the settings folder. */
export {settingsSchema, type Settings} from './schema.js';
export {readSettings, flagOf, variableOf, argumentsOf} from './read.js';
