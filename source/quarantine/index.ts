/** Finds out what crashes endpoints, a request or a part of prompts, and keeps it away. */
export {
  block,
  EMPTY_BLOCKLIST,
  entriesOf,
  hasRoom,
  isBlocked,
  lift,
  merge,
  requestToYield,
  withoutExpired,
  type BlockedSuspect,
  type Blocklist,
} from './blocklist.js';
export {BlockedRecords, type BlockedRecordsOptions} from './blockedrecords.js';
export {
  CrashDetector,
  type CrashDetectorOptions,
  type CutRequest,
  type EndpointCrash,
} from './detector.js';
export {
  addCrash,
  clearSuspect,
  NO_EVIDENCE,
  type Evidence,
  type SuspectedCrash,
  type SuspectSend,
} from './evidence.js';
export {fingerprintOf, type RequestContent} from './fingerprint.js';
export {
  countCrashes,
  isDoubtful,
  isTooRisky,
  suspectsToBlock,
  type Explanations,
} from './guilt.js';
export {
  begunSuspectSchema,
  blocklistEntrySchema,
  crashReportSchema,
  type BegunSuspect,
  type BlocklistEntry,
  type CrashReport,
} from './message.js';
export {Quarantine, type QuarantineOptions} from './quarantine.js';
export type {LiftReason} from './quarantinelog.js';
export {
  keyOf,
  RequestTraits,
  suspectOf,
  type Suspect,
  type SuspectKey,
  type SuspectKind,
} from './suspect.js';
