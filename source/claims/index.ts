/** Runs requests that carry an idempotency key at most once, by claims in the log. */
export {
  ClaimTable,
  type ClaimStanding,
  type ClaimsRecord,
  type Settlement,
} from './table.js';
export {ClaimWriter, type ClaimWriterOptions} from './writer.js';
export {Once, type OnceOptions} from './once.js';
export {claimIdOf, idempotencyKeyOf} from './identity.js';
