/** The door of the store folder. */
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
  afterFollow,
  afterReload,
  recordsFrom,
  UNREAD,
  type KeyedState,
  type KeyedUpdate,
  type PassedOn,
} from './keyed.js';
export {KeyedFollower, type FollowerOptions} from './follower.js';
