/**
 * Decides at which software version a stream may go on when this host does not
 * know which one began it. It may have begun on any host at any moment of the
 * last seconds, so the version is certain only if every version that can have
 * served in that time is the same one. What a host has not heard of by the time at
 * which the caller came may have served as well. That a host knows no endpoint says
 * nothing of the versions that served.
 */
import {UNSTATED_VERSION} from '../directory/index.js';

/** Longest time after its first event at which a caller takes a stream up. */
export const STREAM_LIFETIME_MILLISECONDS = 15_000;

/** What a host knows of the versions of a service. */
export interface VersionEvidence {
  /**
   * Versions that this host has seen in the directory within that time, among them
   * `UNSTATED_VERSION` if endpoints stated none; empty if it has seen no endpoint.
   */
  readonly seen: ReadonlySet<string>;
  /** Whether it has followed the directory, if that is up to date, all that time. */
  readonly hasFollowed: boolean;
  /** Whether the directory had all that was written when the caller came. */
  readonly isUpToDate: boolean;
  /** Whether a recent record says that several versions served side by side. */
  readonly isMixed: boolean;
  /** Versions that recent records name. */
  readonly recorded: ReadonlySet<string>;
  /** Whether an endpoint of the service has run for longer than that time. */
  readonly hasLongRunning: boolean;
}

/** At which version a stream may go on. */
export type VersionDecision =
  | {readonly kind: 'known'; readonly version: string}
  /** At the service's endpoints, none of which states a version. */
  | {readonly kind: 'unversioned'}
  /** No endpoint of the service is known, so it is to be decided once one is. */
  | {readonly kind: 'no-endpoint'}
  /** It may go on nowhere, as it might join the text of two versions. */
  | {readonly kind: 'unknown'};

/**
 * Returns the version of a stream that no record names. Where this host has not
 * followed the directory long enough, an endpoint that has run for longer than a
 * stream lasts, or a recent record of another host, shows what served before.
 *
 * ```ts
 * const decision = decideVersion(evidence);
 * if (decision.kind === 'unknown') refuse();
 * ```
 */
export function decideVersion(evidence: VersionEvidence): VersionDecision {
  const {seen, hasFollowed, isUpToDate} = evidence;
  const {isMixed, recorded, hasLongRunning} = evidence;
  const versions = new Set([...seen, ...recorded]);
  const [version] = versions;
  if (version === undefined) return {kind: 'no-endpoint'};
  if (versions.size > 1 || isMixed) return {kind: 'unknown'};
  if (version === UNSTATED_VERSION) return {kind: 'unversioned'};
  if (!isUpToDate) return {kind: 'unknown'};
  const isPastKnown = hasFollowed || hasLongRunning || recorded.size > 0;
  return isPastKnown ? {kind: 'known', version} : {kind: 'unknown'};
}
