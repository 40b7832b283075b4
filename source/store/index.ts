/**
 * The interface of the platform's record store, and views of its keyed topics.
 */
export {
  RecordStore,
  StoreError,
  type Joined,
  type Joining,
  type KeyedPage,
  type KeyedRecord,
  type PlainPage,
  type StoreFailure,
  type Waiting,
} from './store.js';
export {
  applyPage,
  applyFullPage,
  recordsFrom,
  UNREAD,
  type KeyedState,
  type KeyedUpdate,
  type PassedOn,
} from './keyed.js';
export {KeyedFollower, type KeyedFollowerOptions} from './follower.js';
