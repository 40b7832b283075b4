/** The door of the clock folder. */
export {SystemClock, type Clock, type Cancel} from './clock.js';
export {ManualClock} from './manual.js';
