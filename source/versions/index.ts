/**
 * Which software version of a service began a stream, so that it goes on only at
 * that version, whichever host its caller takes it up at.
 */
export {BegunStreams, type BegunStream} from './begun.js';
export {
  decideVersion,
  STREAM_LIFETIME_MILLISECONDS,
  type VersionDecision,
  type VersionEvidence,
} from './decide.js';
export {VersionHistory} from './history.js';
export {
  begunGroupSchema,
  begunStreamsSchema,
  decodeBegunStreams,
  encodeBegunStreams,
  type BegunGroup,
  type BegunStreamsRecord,
} from './record.js';
export {StreamVersions, type StreamVersionsOptions} from './streamversions.js';
