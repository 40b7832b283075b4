/** Reads the platform's log and derives the host's state from its entries. */
export {
  afterGap,
  fromSnapshot,
  emptyFold,
  foldEntry,
  isComplete,
  type Fold,
  type Folded,
} from './fold.js';
export {LogFollower, type FollowerOptions} from './follower.js';
export {takeSnapshot} from './snapshot.js';
