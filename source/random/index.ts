/** The door of the random folder. */
export {seededRandom, type Random} from './random.js';
