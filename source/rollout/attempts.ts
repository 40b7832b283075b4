/** What forwarding asks of roll-outs: where each attempt goes, and how it ended. */
import type {AttemptResult, EvidenceGroup} from './evidence.js';
import type {VersionChoice} from './participant.js';

/** Where an attempt may go; the endpoints of the early phases by id. */
export interface VersionRequirements extends Omit<VersionChoice, 'endpoints'> {
  /** Endpoints that it may use; undefined for all. */
  readonly endpoints: ReadonlySet<string> | undefined;
}

/** A request that is about to be sent. */
export interface VersionedRequest {
  readonly service: string;
  /** The version that began its stream; undefined before that. */
  readonly streamVersion: string | undefined;
  /** The versions at which it has failed. */
  readonly failedVersions: ReadonlySet<string>;
}

/** An attempt that has been given an endpoint. */
export interface VersionedAttempt {
  readonly service: string;
  readonly route: string;
  /** Milliseconds within which the first event or the answer is in time. */
  readonly target: number;
  /** Milliseconds between events that are in time; 0 for no limit. */
  readonly pauseTarget: number;
  readonly version: string | undefined;
  readonly endpoint: string;
  /** Whether it is the first attempt of its request. */
  readonly isFirst: boolean;
  /** Whether the first event has come. */
  readonly hasBegun: () => boolean;
}

/** How an attempt ended; durations in milliseconds. */
export interface AttemptEnd {
  readonly isFailure: boolean;
  /** Until the first event or the whole answer; undefined if there was none. */
  readonly first?: number | undefined;
  /** Mean time between events; undefined where there are too few. */
  readonly pace?: number | undefined;
}

/** Called once at the end of an attempt; without a result it is not counted. */
export type EndAttempt = (end?: AttemptEnd) => void;

/** The result of an attempt at an endpoint of a group, as it is counted. */
export function resultOf(
  group: EvidenceGroup,
  {route, target, pauseTarget}: VersionedAttempt,
  {isFailure, first, pace}: AttemptEnd,
): AttemptResult {
  const ratio = (duration: number | undefined, limit: number) =>
    duration === undefined || limit <= 0 ? undefined : duration / limit;
  return {
    route,
    group,
    isFailure,
    first: ratio(first, target),
    pace: ratio(pace, pauseTarget),
  };
}

/** Decides which versions attempts use, and learns how they end. */
export abstract class AttemptVersions {
  /**
   * The choices for an attempt, in order of preference; the next one is for when no
   * endpoint of the one before is eligible. Undefined for any version.
   */
  abstract choose(
    request: VersionedRequest,
  ): readonly VersionRequirements[] | undefined;
  /** Records that an attempt is sent. */
  abstract begin(attempt: VersionedAttempt): EndAttempt;
}

/** Leaves every attempt free, as without roll-outs. */
export class AnyVersion extends AttemptVersions {
  override choose(): undefined {
    return undefined;
  }

  override begin(): EndAttempt {
    return () => {};
  }
}
