/** Finds out which parts of prompts crash endpoints, and keeps them away. */
export {
  CrashDetector,
  type CrashDetectorOptions,
  type CutRequest,
  type EndpointCrash,
} from './detector.js';
export {Quarantine, type QuarantineOptions} from './quarantine.js';
