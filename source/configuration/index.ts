/** The door of the configuration folder. */
export {
  classSchema,
  COLLECTIONS,
  endpointSchema,
  keySchema,
  routeSchema,
  teamSchema,
  zoneSchema,
  type Class,
  type Collection,
  type Endpoint,
  type Key,
  type ObjectOf,
  type Route,
  type Team,
  type Zone,
} from './objects.js';
export {releaseNoteSchema, type ReleaseNote} from './note.js';
export {
  applyNote,
  applySnapshot,
  emptyConfiguration,
  snapshotOf,
  configurationSnapshotSchema,
  type Configuration,
  type ConfigurationSnapshot,
  type NoteRejection,
  type NoteVerdict,
  type Versioned,
} from './state.js';
export {digestOf} from './digest.js';
export {difference, type Withdrawal} from './difference.js';
