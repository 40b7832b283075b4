/** The door of the directory folder. */
export {endpointEntrySchema, type EndpointEntry} from './entry.js';
export {
  afterEntries,
  afterLapses,
  lapseTime,
  type Directory,
  type EntryChange,
  type KnownEndpoint,
  type StoreHealth,
} from './directory.js';
