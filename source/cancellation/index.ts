/** The door of the cancellation folder. */
export {Cancellation} from './cancellation.js';
export type {Signal} from './cancellation.js';
