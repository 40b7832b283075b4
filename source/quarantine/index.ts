/** Finds out which parts of prompts crash endpoints, and keeps them away. */
export {
  block,
  EMPTY_BLOCKLIST,
  entriesOf,
  hasRoom,
  isBlocked,
  lift,
  merge,
  withoutExpired,
  type BlockedPart,
  type Blocklist,
} from './blocklist.js';
export {
  CrashDetector,
  type CrashDetectorOptions,
  type CutRequest,
  type EndpointCrash,
} from './detector.js';
export {
  addCrash,
  clearPart,
  countCrashes,
  NO_EVIDENCE,
  partToBlock,
  type Evidence,
  type Suspect,
  type SuspectedCrash,
} from './evidence.js';
export {fingerprintOf, type RequestContent} from './fingerprint.js';
export {
  begunPartSchema,
  blocklistEntrySchema,
  crashReportSchema,
  type BegunPart,
  type BlocklistEntry,
  type CrashReport,
} from './message.js';
export {
  Quarantine,
  type LiftReason,
  type QuarantineOptions,
} from './quarantine.js';
