/** The door of the log folder. */
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
