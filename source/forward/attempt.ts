/**
 * One attempt of a request at one endpoint. A response that is not a stream is
 * buffered until it is complete; a stream is relayed event by event.
 */
import type {Reservation} from '../balance/index.js';
import {Cancellation, type CancellationSignal} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {
  UNSTATED_VERSION,
  versionOf,
  type EndpointEntry,
} from '../directory/index.js';
import {discardBody, isFinalStatus, isSuccessStatus} from '../wire/index.js';
import type {Logger} from '../logging/index.js';
import {SMALL_BODY_BYTES} from '../memory/index.js';
import type {Metrics} from '../metrics/index.js';
import {relayBuffered} from './bufferedrelay.js';
import type {ResponseBuffers} from './buffers.js';
import type {ConnectionPool} from './connections.js';
import type {RequestContext} from './context.js';
import type {BegunStream} from '../versions/index.js';
import {
  AttemptFailure,
  toAttemptFailure,
  type CrashSign,
} from './attemptfailure.js';
import type {EndpointResponse} from './endpointresponse.js';
import {StreamRelay} from './streamrelay.js';
import type {ResponseHead, Protocol} from './protocol.js';

/** The statuses of a final response. */
const MAX_LOGGED_TEXT_LENGTH = 80;

/** What all attempts of a host share. */
export interface AttemptParts {
  readonly protocol: Protocol;
  readonly connections: ConnectionPool;
  readonly buffers: ResponseBuffers;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * Resolves with whether an endpoint has just ended that had not said it would
   * leave; not asked if it is not given.
   */
  readonly hasCrashed?: (entry: EndpointEntry) => Promise<boolean>;
  /** Called when an endpoint's response shows that it runs a team's request. */
  readonly onRunStarted: (team: string) => void;
  /** Called when an endpoint of a version has begun a resumable stream. */
  readonly onStreamBegun: (stream: BegunStream) => void;
  /** Called when an endpoint has begun the answer to a request. */
  readonly onAnswerBegun: (context: RequestContext) => void;
}

/** What one attempt is to do. */
export interface AttemptSpec {
  readonly context: RequestContext;
  /** The request's reservation at an endpoint. */
  readonly reservation: Reservation;
  /** Aborted when the request is over. */
  readonly stop: CancellationSignal;
  /**
   * Milliseconds to wait for the response head or, in a stream, for the first
   * event; undefined where no other endpoint may be tried.
   */
  readonly firstResponseTimeout: number | undefined;
  /** Returns whether another endpoint may be tried if this attempt fails now. */
  readonly mayTryAnother: () => boolean;
}

/** One attempt. */
export class Attempt {
  /** Aborted when the request is over or the first response is overdue. */
  private readonly cancellation = new Cancellation();
  private stopFirstResponseTimer: Cancel = () => {};
  private partial = false;
  private hasBegun = false;
  /** Whether the endpoint closed the connection in the body of a refusal. */
  private isRefusalCut = false;

  constructor(
    private readonly spec: AttemptSpec,
    private readonly parts: AttemptParts,
  ) {}

  /**
   * Whether the endpoint has sent bytes that do not yet make a response: an
   * incomplete head or body, or a stream without an event. Waiting for a
   * response that is late gives none.
   */
  get hasPartialResponse(): boolean {
    return this.partial;
  }

  /**
   * What a failure tells of whether the endpoint has crashed; undefined where
   * this host gave the attempt up, or the endpoint has answered.
   */
  crashSign({stage}: AttemptFailure): CrashSign | undefined {
    if (this.cancellation.aborted) return undefined;
    if (stage === 'write' || stage === 'cut' || this.isRefusalCut) return 'cut';
    return stage === 'malformed' ? 'spoiled' : undefined;
  }

  /**
   * Sends the request and relays the response; resolves when the caller has
   * been sent all of it. Throws an AttemptFailure.
   */
  async run(): Promise<void> {
    const {context, reservation, stop, firstResponseTimeout} = this.spec;
    const stopWatching = stop.onAbort(() => this.cancellation.abort());
    if (firstResponseTimeout !== undefined) {
      const {clock} = this.parts;
      this.stopFirstResponseTimer = clock.after(firstResponseTimeout, () =>
        this.cancellation.abort(),
      );
    }
    context.endpoint = reservation.endpoint.entry.id;
    context.underWay = true;
    try {
      await this.relay(await this.send());
      context.possibleRuns++;
    } catch (error) {
      const failure = toAttemptFailure(error);
      if (failure.stage === 'malformed') this.partial = true;
      const provenNotRun = failure.notRun || failure.stage === 'connect';
      if (!provenNotRun) context.possibleRuns++;
      throw failure;
    } finally {
      context.underWay = false;
      this.stopFirstResponseTimer();
      stopWatching();
    }
  }

  /** Sends the request; resolves when the response head has come. */
  private send(): Promise<EndpointResponse> {
    const {context, reservation} = this.spec;
    const {request, route, team, tier, timeLeft, lastEvent} = context;
    const {body, holding} = context;
    const {id, address} = reservation.endpoint.entry;
    const headers = this.parts.protocol.requestHeaders(request, {
      endpoint: id,
      team: team?.name,
      tier,
      timeLeft,
      lastEvent,
    });
    if (body.length > 0 || request.method === 'POST') {
      headers.push('Content-Length', String(body.length));
    }
    const {method, url} = request;
    const mayRunOnce = !route.repeatable && !route.resumable;
    // On a pooled connection, a response to the first send may be repeated.
    const fresh = mayRunOnce || context.failedEndpoints.has(id);
    const {isEndpointUsable: isOpen} = reservation;
    const endpointRequest = {
      address,
      method,
      url,
      headers,
      body,
      holding,
      fresh,
      isOpen,
    };
    return this.parts.connections.send(endpointRequest, this.cancellation);
  }

  /**
   * A response that is whole only if its endpoint has not crashed, where nothing
   * but the end of the connection says that it is.
   */
  private checkedForCrash(response: EndpointResponse): EndpointResponse {
    const {hasCrashed} = this.parts;
    if (!hasCrashed || response.isDelimited) return response;
    const {entry} = this.spec.reservation.endpoint;
    const isComplete = async () =>
      (await response.isComplete()) && !(await hasCrashed(entry));
    return {...response, isComplete};
  }

  /** Checks the response head, then relays the body. */
  private async relay(received: EndpointResponse): Promise<void> {
    const {message} = received;
    const {parts} = this;
    const {context, reservation} = this.spec;
    const head = parts.protocol.parseResponseHead(message);
    const response = head.leaving ? received : this.checkedForCrash(received);
    if (!head.misdirected) this.recordWithholding(head);
    if (head.notRun && this.isForThisRequest(head, response)) {
      const isElsewhere = head.misdirected && !context.request.expectsWeights;
      if (isElsewhere) reservation.unreachable();
      else if (!head.misdirected) this.recordLimit(head);
      const end = await discardBody(response, parts.clock);
      this.isRefusalCut = end === 'cut';
      throw new AttemptFailure('status', `status ${head.status}`, true);
    }
    if (
      !isFinalStatus(head.status) ||
      !head.sealed ||
      head.id !== context.request.id
    ) {
      message.destroy();
      throw new AttemptFailure('malformed', 'not an answer to this', false);
    }
    const isSuccess = isSuccessStatus(head.status);
    reservation.answered(head.load, isSuccess);
    if (head.invalidLoad !== undefined)
      reservation.loadMalformed(head.invalidLoad);
    this.recordLimit(head);
    if (context.team) parts.onRunStarted(context.team.name);
    if (context.route.streaming && isSuccess) {
      if (!this.goesOn(head)) {
        message.destroy();
        throw new AttemptFailure('malformed', 'no stream to go on with', false);
      }
      await this.relayStream(response, head);
      return;
    }
    this.stopFirstResponseTimer();
    message.once('data', () => (this.partial = true));
    await this.relayBuffered(response, head);
  }

  /**
   * Whether a refusal is for this request and not an earlier one that a faulty
   * endpoint repeats. Some refusals name no request, which on a connection that
   * has carried others proves nothing.
   */
  private isForThisRequest(
    {id}: ResponseHead,
    {isReused}: EndpointResponse,
  ): boolean {
    if (id !== undefined) return id === this.spec.context.request.id;
    return !isReused;
  }

  /** Records that the endpoint leaves, or for how long it wants nothing. */
  private recordWithholding({leaving, backoff}: ResponseHead): void {
    const {reservation, context} = this.spec;
    if (leaving) reservation.leaving();
    if (backoff?.milliseconds !== undefined)
      return reservation.backoff(backoff.milliseconds);
    if (!backoff) return;
    this.parts.logger.warn('backoff-malformed', {
      endpoint: reservation.endpoint.entry.id,
      request: context.request.id,
      text: backoff.text.slice(0, MAX_LOGGED_TEXT_LENGTH),
    });
  }

  /** Records the limit that the endpoint names, or that it names none. */
  private recordLimit({limit}: ResponseHead): void {
    const {reservation, context} = this.spec;
    if (limit?.invalidText !== undefined) {
      this.parts.logger.warn('limit-malformed', {
        endpoint: reservation.endpoint.entry.id,
        request: context.request.id,
        text: limit.invalidText.slice(0, MAX_LOGGED_TEXT_LENGTH),
      });
    }
    if (limit && limit.rate === undefined) return;
    reservation.limited(limit?.rate);
  }

  /** Whether a stream that has begun, if one has, can go on with a head. */
  private goesOn({status, contentType}: ResponseHead): boolean {
    const {streamHead: begun} = this.spec.context;
    if (!begun) return true;
    return begun.status === status && begun.contentType === contentType;
  }

  private relayBuffered(
    response: EndpointResponse,
    head: ResponseHead,
  ): Promise<void> {
    return relayBuffered({
      ...this.parts,
      response,
      head,
      context: this.spec.context,
      cancellation: this.cancellation,
      onComplete: () => {
        this.partial = false;
        this.recordBegun();
      },
    });
  }

  private relayStream(
    response: EndpointResponse,
    head: ResponseHead,
  ): Promise<void> {
    const {context, reservation, mayTryAnother} = this.spec;
    const relay = new StreamRelay({
      response,
      context,
      clock: this.parts.clock,
      cancellation: this.cancellation,
      mayTryAnother,
      onBytes: hasEvent => this.recordBytes(hasEvent),
      onEvents: (events, isContinuous) =>
        reservation.streamed(events, isContinuous),
      onWhole: () => reservation.streamCompleted(),
      sendHead: () => this.sendStreamHead(head),
    });
    return relay.run();
  }

  /** Records bytes of a stream, with whether an event of it has come. */
  private recordBytes(hasEvent: boolean): void {
    if (this.spec.context.delivered === 0) this.partial = true;
    if (!hasEvent) return;
    this.partial = false;
    this.recordBegun();
    this.recordFirstEvent();
    this.recordPause();
  }

  /** Sends the head of the stream, unless the caller has got one. */
  private sendStreamHead(head: ResponseHead): void {
    const {context} = this.spec;
    context.streamHead ??= head;
    context.answer.sendStreamHead(head);
  }

  /** Records, once, that the endpoint has begun the answer. */
  private recordBegun(): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    const {context, reservation} = this.spec;
    if (context.streamVersion === undefined)
      this.recordVersion(versionOf(reservation.endpoint.entry));
    this.parts.onAnswerBegun(context);
    this.dropLargeBody();
  }

  /** Lets go of a large body where no further attempt can follow. */
  private dropLargeBody(): void {
    const {context} = this.spec;
    const {route, body, possibleRuns, traits} = context;
    const mayRepeat = route.repeatable || route.resumable;
    const mayFollow = mayRepeat && possibleRuns + 1 < route.attempts;
    if (mayFollow || body.length < SMALL_BODY_BYTES) return;
    traits?.dropBody();
    context.dropBody();
  }

  /** Records which version has begun the stream that the caller gets. */
  private recordVersion(version: string): void {
    const {context} = this.spec;
    const {route, request, service} = context;
    context.streamVersion = version;
    if (version === UNSTATED_VERSION) return;
    if (!route.streaming || !route.resumable) return;
    this.parts.onStreamBegun({attempt: request.id, service, version});
  }

  private recordPause(): void {
    const {context, reservation} = this.spec;
    const now = this.parts.clock.monotonic();
    const pause = context.pauses.recordEvent(now);
    if (pause !== undefined) reservation.paused?.(pause, now);
  }

  private recordFirstEvent(): void {
    const {clock, metrics} = this.parts;
    const {context} = this.spec;
    this.stopFirstResponseTimer();
    if (context.firstByteAt !== 0) return;
    context.firstByteAt = clock.monotonic();
    const first = context.firstByteAt - context.arrived;
    metrics.time('first-event', first, {route: context.route.name});
  }
}
