/** Runs requests that carry an idempotency key at most once, by claims in the log. */
export {
  ClaimTable,
  type ClaimState,
  type ClaimsRecord,
  type Settlement,
} from './table.js';
export {ClaimWriter, type ClaimWriterOptions} from './writer.js';
export {
  AtMostOnceExecutor,
  type AtMostOnceExecutorOptions,
} from './executor.js';
export {claimIdFor, parseIdempotencyKey} from './idempotencykey.js';
