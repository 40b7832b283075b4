/** The clock and timers: those of the machine, and one that a test advances. */
export {SystemClock, type Clock, type Cancel} from './clock.js';
export {CorrectedClock, type ClockCorrection} from './corrected.js';
export {ManualClock} from './manual.js';
