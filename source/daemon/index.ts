/** The door of the daemon folder. */
export {Host} from './host.js';
export {runDaemon} from './run.js';
