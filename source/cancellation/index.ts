/** Cancellation of the work on a request, cheaper than an AbortController. */
export {Cancellation} from './cancellation.js';
export type {CancellationSignal} from './cancellation.js';
