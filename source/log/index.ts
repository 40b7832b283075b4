/** Reads the platform's log and derives the host's state from its entries. */
export {
  stateAfterGap,
  stateFromSnapshot,
  initialLogState,
  applyEntry,
  isComplete,
  type LogState,
  type AppliedEntry,
} from './state.js';
export {LogFollower, type LogFollowerOptions} from './follower.js';
export {takeSnapshot} from './snapshot.js';
