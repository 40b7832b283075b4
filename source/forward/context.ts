/**
 * The state of one request from its arrival to its final response, with the
 * timer that ends it at its deadline.
 */
import type {StreamContinuation} from '../admission/index.js';
import {Cancellation} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {Refusal} from '../errors/index.js';
import type {Holding} from '../memory/index.js';
import {PauseMeter} from '../pauses/index.js';
import type {RequestTraits} from '../quarantine/index.js';
import {
  allowedRegionsFor,
  tierOf,
  type AllowedRegions,
  type Route,
  type Team,
} from '../routing/index.js';
import type {CallerResponse} from './response.js';
import type {CallerRequest, ResponseHead} from './protocol.js';

/**
 * How long before the caller's timeout the final response is sent, so that it
 * arrives while the caller still waits.
 */
const RESPONSE_MARGIN_MILLISECONDS = 8;

const NO_BODY = Buffer.alloc(0);

/** What is known of a request once its route and team are. */
export interface RequestContextOptions {
  readonly request: CallerRequest;
  readonly route: Route;
  /** Absent where no API key is required and none was recognized. */
  readonly team: Team | undefined;
  /** Name of the service whose endpoints get the request. */
  readonly service: string;
  readonly answer: CallerResponse;
  readonly clock: Clock;
}

/** The state of one request. */
export class RequestContext {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly team: Team | undefined;
  readonly service: string;
  readonly answer: CallerResponse;
  /** Monotonic milliseconds. */
  readonly arrived: number;
  /** Monotonic milliseconds at which the final response is due. */
  readonly deadline: number;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly cancellation = new Cancellation<Refusal>();
  /** Rejects with `reason()` when the request is cancelled. */
  readonly cancelled: Promise<never>;
  /** Ids of the endpoints at which it has failed. */
  readonly failedEndpoints = new Set<string>();
  /** Software versions at which it has failed. */
  readonly failedVersions = new Set<string>();
  body: Buffer = NO_BODY;
  /** The room of the body in the host's memory; undefined if it has none. */
  holding: Holding | undefined;
  /** Number of times that it was sent to an endpoint. */
  sends = 0;
  /** How many of these may have run it, not counting one in progress. */
  possibleRuns = 0;
  /** Whether an attempt that may have reached an endpoint is in progress. */
  underWay = false;
  /**
   * Software version of the endpoint that began the stream, `UNSTATED_VERSION` if
   * that states none; undefined before its first event.
   */
  streamVersion: string | undefined;
  /** The head of the stream that the caller gets; undefined before it is sent. */
  streamHead: ResponseHead | undefined;
  /** Id of the endpoint that it was last sent to; undefined before that. */
  endpoint: string | undefined;
  /** Number of events that the caller has been sent. */
  delivered = 0;
  /** Longest time between two of these events, in milliseconds. */
  longestPause = 0;
  /** Id of the last event that the caller has been sent. */
  lastEvent: string | undefined;
  /** Monotonic milliseconds of the first byte to the caller; 0 before it. */
  firstByteAt = 0;
  /** The pauses between the events that the caller gets. */
  readonly pauses: PauseMeter;
  callerDisconnected = false;
  /**
   * Settled when it is known whether the endpoint that cut it last has crashed;
   * undefined before a cut, and once that has been looked at.
   */
  crashCheck: Promise<void> | undefined;
  /** What in it may crash endpoints; undefined until its body has been read. */
  traits: RequestTraits | undefined;
  /** Monotonic milliseconds of the last event to the caller. */
  private deliveredAt = 0;
  private readonly clock: Clock;
  private readonly stopTimer: Cancel;

  constructor(options: RequestContextOptions) {
    const {request, route, clock} = options;
    this.request = request;
    this.route = route;
    this.team = options.team;
    this.service = options.service;
    this.answer = options.answer;
    this.clock = clock;
    this.pauses = new PauseMeter(this.pauseTarget ?? Infinity);
    this.lastEvent = request.lastEvent;
    this.arrived = clock.monotonic();
    const callerTimeout = request.callerTimeout ?? route.timeout;
    const timeout = Math.min(
      route.timeout,
      Math.max(callerTimeout - RESPONSE_MARGIN_MILLISECONDS, 0),
    );
    this.deadline = this.arrived + timeout;
    this.stopTimer = clock.after(timeout, () => this.end());
    this.cancelled = new Promise((_, reject) => {
      this.cancellation.onAbort(() => reject(this.reason()));
    });
    this.cancelled.catch(() => {});
    this.answer.onDisconnect(() => {
      this.callerDisconnected = true;
      this.cancellation.abort();
    });
  }

  /** Allowed regions: those whose endpoints may run it; undefined for all. */
  get homes(): AllowedRegions {
    return allowedRegionsFor(this.route, this.team);
  }

  /** Priority tier; 0 is served first. */
  get tier(): number {
    return tierOf(this.route, this.team);
  }

  /** Longest pause of its stream that is in time; undefined without one. */
  get pauseTarget(): number | undefined {
    const {streaming, pauseTarget} = this.route;
    return streaming && pauseTarget > 0 ? pauseTarget : undefined;
  }

  /** Milliseconds until the final response is due; 0 after that. */
  get timeLeft(): number {
    return Math.max(this.deadline - this.clock.monotonic(), 0);
  }

  /** Whether its caller takes up a stream that has broken off. */
  get isResumption(): boolean {
    return this.route.streaming && this.request.lastEvent !== undefined;
  }

  /**
   * Where its stream may go on; undefined if its caller has had no part of one.
   */
  get continuation(): StreamContinuation | undefined {
    if (!this.isResumption && this.delivered === 0) return undefined;
    return {softwareVersion: this.streamVersion};
  }

  /** Whether an endpoint may have run it. */
  get mayHaveRun(): boolean {
    return this.possibleRuns > 0 || this.underWay;
  }

  /** Returns why the request was cancelled. */
  reason(): Refusal {
    const outcome = this.mayHaveRun ? 'unknown' : 'not-run';
    const disconnected = () =>
      new Refusal('internal', outcome, 'the caller has left');
    return this.cancellation.reason ?? disconnected();
  }

  /** Records that the caller has been sent so many events at once. */
  recordDelivery(events: number): void {
    if (events === 0) return;
    const now = this.clock.monotonic();
    if (this.delivered > 0) {
      const pause = now - this.deliveredAt;
      this.longestPause = Math.max(this.longestPause, pause);
    }
    this.delivered += events;
    this.deliveredAt = now;
  }

  /** Lets go of the body; call it when no further attempt can follow. */
  dropBody(): void {
    this.body = NO_BODY;
    this.holding?.release();
    this.holding = undefined;
  }

  /** Stops the deadline timer. */
  stopDeadlineTimer(): void {
    this.stopTimer();
  }

  /** Ends the request with a final response, as at its deadline. */
  end(): void {
    const refusal = this.mayHaveRun
      ? new Refusal('timed-out', 'unknown', 'no answer in time')
      : new Refusal('queue-timeout', 'not-run', 'no endpoint in time');
    this.cancellation.abort(refusal);
  }
}
