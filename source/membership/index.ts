/** How sure a host is of who the others are, and what follows for shared limits. */
export {
  assumedHosts,
  confidenceOf,
  type MembershipConfidence,
  type MembershipEvidence,
  type SharingHosts,
} from './confidence.js';
