/** The door of the relay folder. */
export {CallerAnswer} from './caller.js';
export {readStream, type StreamEnd, type StreamProgress} from './stream.js';
export {readWhole} from './whole.js';
