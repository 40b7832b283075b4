/** What a request asks of the selector, and what it gets: a slot at an endpoint. */
import type {KnownEndpoint} from '../directory/index.js';
import type {AllowedRegions} from '../routing/index.js';
import type {Choice} from './choose.js';
import type {ReportedLoad} from './load.js';
import type {Prompt} from './prompt.js';

/** What a request needs of an endpoint. */
export interface EndpointRequirements {
  readonly service: string;
  /** Undefined for a request without a prompt. */
  readonly prompt: Prompt | undefined;
  /** Ids of the endpoints at which the request has already failed. */
  readonly failedEndpoints: ReadonlySet<string>;
  /** Priority tier; 0 is served first. */
  readonly tier: number;
  /** Regions that the request must not leave; undefined for all. */
  readonly homes?: AllowedRegions;
  /** Software version that the endpoint must have; undefined for any. */
  readonly softwareVersion?: string | undefined;
  /**
   * Longest pause in milliseconds between two events of its stream that is in
   * time; undefined where the answer is no stream.
   */
  readonly pauseTarget?: number | undefined;
  /** Software versions that the endpoint must not have. */
  readonly excludedVersions?: ReadonlySet<string> | undefined;
  /** Ids of the endpoints among which it must be; undefined for all. */
  readonly endpoints?: ReadonlySet<string> | undefined;
}

/** A request’s slot at an endpoint, held until `release` is called. */
export interface Reservation {
  readonly endpoint: KnownEndpoint;
  readonly choice: Choice;
  /**
   * Whether the endpoint may still be sent to: it has not left, restarted or
   * lapsed, and its zone is in service.
   */
  readonly isEndpointUsable: () => boolean;
  /**
   * Records that the head of the response has arrived. `isSuccess` is false where
   * it says that the request has failed.
   */
  answered(reportedLoad: ReportedLoad | undefined, isSuccess?: boolean): void;
  /** Records that a response states a load which is not as it should be. */
  loadMalformed(text: string): void;
  /**
   * Records that so many events of a stream have come at once. `isContinuous` is
   * false where none could be read for a while.
   */
  streamed(events: number, isContinuous: boolean): void;
  /** Records that the whole of a stream has come, not only its rest. */
  streamCompleted(): void;
  /**
   * Records the requests a second that a response names as the endpoint’s limit;
   * undefined where it names none.
   */
  limited(rate: number | undefined): void;
  /** Records that a response says that the endpoint leaves. */
  leaving(): void;
  /** Records that the endpoint wants nothing for some milliseconds. */
  backoff(duration: number): void;
  /** Records that the endpoint has failed the request. */
  failed(): void;
  /**
   * Records that the endpoint does not accept connections, or that another
   * endpoint now has its address.
   */
  unreachable(): void;
  /**
   * Records the milliseconds between two events of the stream, seen at a
   * monotonic time. Absent where pauses are not taken into account.
   */
  paused?(milliseconds: number, now: number): void;
  /** Ends the request’s stay at the endpoint; a second call does nothing. */
  release(): void;
}
