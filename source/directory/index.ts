/** The directory of endpoints that a host may use, from the store. */
export {
  endpointEntrySchema,
  endpointIncarnation,
  UNSTATED_VERSION,
  versionOf,
  type EndpointEntry,
} from './entry.js';
export {
  applyEntryChanges,
  removeLapsed,
  lapseGracePeriod,
  type Directory,
  type EntryChange,
  type KnownEndpoint,
  type StoreHealth,
} from './directory.js';
