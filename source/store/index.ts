/**
 * The interface of the platform's record store, and views of its keyed topics.
 */
export {
  RecordStore,
  StoreError,
  type GroupAssignment,
  type JoinRequest,
  type KeyedPage,
  type KeyedRecord,
  type KeyedValue,
  type PlainPage,
  type StoreFailure,
  type ReadOptions,
} from './store.js';
export {
  applyPage,
  applyPeerPage,
  applyFullPage,
  followsOn,
  recordsFrom,
  UNREAD,
  type KeyedState,
  type KeyedUpdate,
  type PeerRecordPage,
} from './keyedstate.js';
export {
  FIRST_ERA,
  isBefore,
  isSameEra,
  StoreRestores,
  type StorePosition,
} from './restores.js';
export {type TopicDigest} from './digest.js';
export {CountedStore} from './counted.js';
export {KeyedFollower, type KeyedFollowerOptions} from './follower.js';
export {TopicReader, type TopicReaderOptions} from './topicreader.js';
