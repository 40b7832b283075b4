/**
 * Carries one request from arrival to final response: looks up its route and
 * team, waits in the admission queue, makes attempts until one succeeds or no
 * retry is allowed, and responds by the deadline of the caller or the route.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Admission, AdmissionRequest} from '../admission/index.js';
import {decideAfterFailure, type RetryReason} from '../attempt/index.js';
import {
  hashToUnitInterval,
  type EndpointSelector,
  type Reservation,
  type RetryBudget,
} from '../balance/index.js';
import {Cancellation} from '../cancellation/index.js';
import type {Clock} from '../clock/index.js';
import type {EndpointEntry} from '../directory/index.js';
import {Refusal} from '../errors/index.js';
import type {Logger} from '../logging/index.js';
import type {MemoryAccount} from '../memory/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Quarantine, Suspect} from '../quarantine/index.js';
import type {RandomSource} from '../random/index.js';
import {AnyVersion, type AttemptVersions} from '../rollout/index.js';
import type {StreamVersions} from '../versions/index.js';
import {serviceFor, type RoutingTable} from '../routing/index.js';
import {admissionRequestFor} from './admission.js';
import {BodyReader} from './bodyreader.js';
import {ResponseBuffers} from './buffers.js';
import {CallerResponse} from './response.js';
import {CrashGuard} from './crashguard.js';
import {Attempt, type AttemptParts} from './attempt.js';
import {AttemptFailure} from './attemptfailure.js';
import type {ConnectionPool} from './connections.js';
import {RequestContext} from './context.js';
import {refusalStatus, retryAfterSeconds} from './outcome.js';
import type {Protocol} from './protocol.js';
import {RequestLog} from './requestlog.js';
import {setResumedVersion} from './resumption.js';
import {RetryCounter} from './retries.js';
import {StopSchedule} from './stopschedule.js';
import {VersionedAttempts} from './versionedattempt.js';

/**
 * A request that may be retried goes to another endpoint when there has been no
 * response for this multiple of its route's target plus a multiple of the wait
 * that was expected at the endpoint.
 */
const FIRST_RESPONSE_TARGET_FACTOR = 2;
/** The multiple of the expected wait. */
const FIRST_RESPONSE_EXPECTED_WAIT_FACTOR = 2;
/** Sends that one request may make, those that did not run it included. */
const MAX_SENDS = 4;
/** What all requests of a host share. */
export interface ForwarderParts {
  readonly protocol: Protocol;
  readonly connections: ConnectionPool;
  readonly admission: Admission;
  readonly book: EndpointSelector;
  readonly quarantine: Quarantine;
  readonly versions: StreamVersions;
  readonly memory: MemoryAccount;
  /** Which versions attempts may use; any if undefined. */
  readonly rollouts?: AttemptVersions;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /** The limit on retries at the start. */
  readonly retryBudget: RetryBudget;
  /**
   * Resolves with whether an endpoint has just ended that had not said it would
   * leave; not asked if it is not given.
   */
  readonly hasCrashed?: (entry: EndpointEntry) => Promise<boolean>;
  /** Called when an endpoint's response shows that it runs a team's request. */
  readonly onRunStarted: (team: string) => void;
}

/** Forwards the requests of callers to endpoints. */
export class Forwarder {
  /** Undefined until a configuration is known; requests are refused then. */
  routingTable: RoutingTable | undefined;
  private readonly retries: RetryCounter;
  private readonly stopSchedule = new StopSchedule();
  private readonly guard: CrashGuard;
  private readonly bodies: BodyReader;
  private readonly log: RequestLog;
  private readonly attempts: VersionedAttempts;
  private readonly attemptParts: AttemptParts;
  private readonly activeRequests = new Set<RequestContext>();
  private isStopped = false;
  private readonly onIdle: Array<() => void> = [];

  constructor(private readonly parts: ForwarderParts) {
    const {clock, quarantine, retryBudget, memory} = parts;
    const guard = new CrashGuard(quarantine);
    this.retries = new RetryCounter(retryBudget, clock);
    this.guard = guard;
    this.bodies = new BodyReader(memory);
    this.log = new RequestLog(parts);
    const rollouts = parts.rollouts ?? new AnyVersion();
    this.attempts = new VersionedAttempts({...parts, rollouts});
    this.attemptParts = {
      ...parts,
      buffers: new ResponseBuffers(memory.budget.answers, bytes =>
        memory.addAnswerBytes(bytes),
      ),
      onStreamBegun: stream => parts.versions.recordBegun(stream),
      onAnswerBegun: context => guard.recordBegun(context),
    };
  }

  /** Sets the limit on retries. */
  set retryBudget(budget: RetryBudget) {
    this.retries.budget = budget;
  }

  /** The number of requests in progress. */
  get activeCount(): number {
    return this.activeRequests.size;
  }

  /** Resolves when no request is in progress. */
  whenIdle(): Promise<void> {
    if (this.activeRequests.size === 0) return Promise.resolve();
    return new Promise(resolve => this.onIdle.push(resolve));
  }

  /**
   * From now on, passes on only what can be expected to end before a time in
   * monotonic milliseconds, at which `stop` is to be called.
   */
  announceStop(stopAt: number): void {
    this.stopSchedule.announce(stopAt);
  }

  /**
   * Ends the requests in progress, each with a final response that says whether
   * it may have run, and refuses all further ones.
   */
  stop(): void {
    this.isStopped = true;
    for (const context of this.activeRequests) context.end();
  }

  /**
   * Ends the requests in progress that are blocked from now on, unless their
   * answers have begun.
   */
  endRequestsWith(suspect: Suspect): void {
    for (const context of this.activeRequests)
      this.guard.endIfBlocked(context, suspect);
  }

  /**
   * Serves one request to its end, and logs the result; only refuses it where a
   * refusal is given. A request that was refused or failed does not throw.
   */
  async serve(
    message: IncomingMessage,
    response: ServerResponse,
    refusal?: Refusal,
  ): Promise<void> {
    const answer = new CallerResponse(response, this.parts.clock);
    const context = this.createContext(message, answer, refusal);
    if (!context) return;
    this.activeRequests.add(context);
    try {
      await this.run(context, message);
      this.recordResult(context, 'answered', '');
    } catch (error) {
      this.handleFailure(context, error);
    } finally {
      context.stopDeadlineTimer();
      context.dropBody();
      this.activeRequests.delete(context);
      if (this.activeRequests.size === 0)
        for (const resolve of this.onIdle.splice(0)) resolve();
    }
  }

  /** Matches route and team; refuses the request where that fails. */
  private createContext(
    message: IncomingMessage,
    answer: CallerResponse,
    refusal: Refusal | undefined,
  ): RequestContext | undefined {
    const {clock, protocol} = this.parts;
    const request = protocol.parseRequest(message);
    try {
      const {routingTable} = this;
      if (refusal) throw refusal;
      if (this.isStopped)
        throw new Refusal('not-ready', 'not-run', 'the host stops');
      if (!routingTable)
        throw new Refusal('not-ready', 'not-run', 'no configuration');
      const route = routingTable.match(request.host, request.path);
      if (!route) throw new Refusal('route-unknown', 'not-run', 'no route');
      const team = routingTable.team(request.bearer);
      const isKeyRejected = routingTable.requiresKeys && !route.open && !team;
      if (isKeyRejected)
        throw new Refusal('key-unknown', 'not-run', 'no such key');
      // A stream that is taken up goes to the service that began it.
      const point = hashToUnitInterval(request.resumes ?? request.id);
      const service = serviceFor(route, point);
      return new RequestContext({request, route, team, service, answer, clock});
    } catch (error) {
      if (!(error instanceof Refusal)) throw error;
      const {code} = error;
      this.log.unmatched(request, code, this.routingTable?.version ?? 0);
      const refused = {
        refusal: error,
        mayHaveRun: false,
        timeLeft: request.callerTimeout ?? 0,
      };
      const retryAfter = retryAfterSeconds(refused, this.parts.random);
      answer.refuse(error, refusalStatus(refused), retryAfter);
      message.resume();
      return undefined;
    }
  }

  /** Reads the body and makes attempts until one succeeds. */
  private async run(
    context: RequestContext,
    message: IncomingMessage,
  ): Promise<void> {
    const {request, service} = context;
    const {book} = this.parts;
    const limit = this.routingTable?.limits.bodyBytes ?? 0;
    await Promise.race([
      this.bodies.read(context, message, limit),
      context.cancelled,
    ]);
    this.guard.checkArrival(context);
    await setResumedVersion(context, this.parts);
    if (request.prompt) book.recordArrival(service, request.prompt);
    this.retries.count(service, 'request');
    for (;;) {
      const failure = await this.makeAttempt(context);
      if (!failure) return;
      const reason = this.retryReason(context, failure);
      await this.guard.checkRetry(context);
      this.countRetry(context, failure, reason);
    }
  }

  /** Waits for admission and makes an attempt; returns its failure, if any. */
  private async makeAttempt(
    context: RequestContext,
  ): Promise<AttemptFailure | undefined> {
    const {admission} = this.parts;
    const stop = new Cancellation();
    const work = async () => {
      await this.sendToEndpoint(context, stop);
      return 0;
    };
    const handle = admission.run(
      this.createAdmissionRequest(context),
      work,
      () => {},
    );
    const stopWatching = context.cancellation.onAbort(() => {
      handle.cancel(context.reason());
      stop.abort();
    });
    try {
      await handle.done;
      return undefined;
    } catch (error) {
      if (context.cancellation.aborted) throw context.reason();
      if (error instanceof AttemptFailure) return error;
      throw error;
    } finally {
      stopWatching();
    }
  }

  /** Chooses an endpoint and runs an attempt there. Throws its failure. */
  private async sendToEndpoint(
    context: RequestContext,
    stop: Cancellation,
  ): Promise<void> {
    const {clock} = this.parts;
    const {failedEndpoints} = context;
    if (!this.stopSchedule.allows(context, clock.monotonic()))
      throw new Refusal('not-ready', 'not-run', 'the host stops too soon');
    const reservation = this.attempts.reserve(context);
    if (!reservation && context.streamVersion !== undefined) {
      const detail = `no endpoint of version ${context.streamVersion} for the rest`;
      throw new Refusal('endpoint-lost', 'ran', detail);
    }
    if (!reservation) throw new AttemptFailure('connect', 'no endpoint', true);
    context.sends++;
    this.log.sent(context, reservation.choice, reservation.endpoint.entry.zone);
    const firstResponseTimeout = this.firstResponseTimeout(
      context,
      reservation.choice.waitMilliseconds,
    );
    const attempt = new Attempt(
      {
        context,
        reservation,
        stop,
        firstResponseTimeout,
        mayTryAnother: () => this.mayTryAnother(context),
      },
      this.attemptParts,
    );
    const sentAt = clock.monotonic();
    const placed = this.attempts.begin(context, reservation);
    try {
      await attempt.run();
      placed.succeeded();
      const duration = clock.monotonic() - sentAt;
      this.stopSchedule.recordDuration(context.route, duration);
    } catch (error) {
      const isOverdue =
        attempt.hasPartialResponse && !context.callerDisconnected;
      const isFailure = isOverdue || !stop.aborted;
      if (error instanceof AttemptFailure && isFailure) {
        failedEndpoints.add(reservation.endpoint.entry.id);
        placed.failed(error);
        reportFailure(reservation, error);
        const sign = attempt.crashSign(error);
        if (sign)
          this.guard.recordSign(sign, context, reservation.endpoint, sentAt);
        const {id} = reservation.endpoint.entry;
        this.log.attemptFailed(context, id, error, sentAt);
      }
      throw error;
    } finally {
      placed.end();
      reservation.release();
    }
  }

  /**
   * Returns the milliseconds to wait for a first response before another
   * endpoint is tried; undefined where none may be. `expected` is the wait in
   * milliseconds that was expected at the endpoint.
   */
  private firstResponseTimeout(
    context: RequestContext,
    expected: number,
  ): number | undefined {
    const {route} = context;
    if (!this.mayTryAnother(context)) return undefined;
    return (
      route.target * FIRST_RESPONSE_TARGET_FACTOR +
      expected * FIRST_RESPONSE_EXPECTED_WAIT_FACTOR
    );
  }

  /** Whether another endpoint may be tried while an attempt is in progress. */
  private mayTryAnother(context: RequestContext): boolean {
    const {route, possibleRuns} = context;
    if (!route.repeatable && !route.resumable) return false;
    if (possibleRuns + 1 >= route.attempts) return false;
    return this.hasRetryBudget(context);
  }

  /**
   * Returns why another attempt may follow. Otherwise throws what ends the
   * request: a Refusal, or an EndpointErrorRelayed after it has passed the
   * endpoint's own error response on.
   */
  private retryReason(
    context: RequestContext,
    failure: AttemptFailure,
  ): RetryReason {
    const {route} = context;
    const {stage, notRun} = failure;
    const provenNotRun = notRun || stage === 'connect';
    const decision = decideAfterFailure({
      stage,
      notRun,
      delivered: context.delivered,
      repeatable: route.repeatable || route.resumable || provenNotRun,
      resumable: route.resumable,
      attempts: provenNotRun ? context.sends : context.possibleRuns,
      maxAttempts: provenNotRun ? MAX_SENDS : route.attempts,
      hasRetryBudget: stage === 'connect' || this.hasRetryBudget(context),
    });
    if (decision.kind === 'retry') return decision.reason;
    if (failure.answer && !context.answer.isHeadSent) {
      context.answer.sendComplete(failure.answer.head, failure.answer.body);
      throw new EndpointErrorRelayed(failure.answer.head.status);
    }
    throw new Refusal(decision.code, decision.outcome, failure.message);
  }

  /** Counts another attempt towards the limit on retries. */
  private countRetry(
    {service, route}: RequestContext,
    {stage}: AttemptFailure,
    reason: RetryReason,
  ): void {
    if (stage !== 'connect') this.retries.count(service, 'repeat');
    this.parts.metrics.count('retry', {reason, route: route.name});
  }

  /** Ends and logs a request that failed, was refused or was cancelled. */
  private handleFailure(context: RequestContext, error: unknown): void {
    const {logger, random, metrics} = this.parts;
    if (error instanceof EndpointErrorRelayed) {
      this.recordResult(context, 'failed-by-endpoint', String(error.status));
      return;
    }
    if (context.callerDisconnected) {
      this.recordResult(context, 'caller-left', '');
      return;
    }
    if (!(error instanceof Refusal)) {
      const detail = error instanceof Error ? (error.stack ?? '') : 'unknown';
      logger.error('request-failed', {request: context.request.id, detail});
    }
    const refusal =
      error instanceof Refusal
        ? error
        : new Refusal('internal', 'unknown', 'internal error');
    const {mayHaveRun, timeLeft} = context;
    const refused = {refusal, mayHaveRun, timeLeft};
    const status = refusalStatus(refused);
    const outcome = context.answer.isHeadSent ? 'broken-off' : 'refused';
    context.answer.refuse(refusal, status, retryAfterSeconds(refused, random));
    const {code} = refusal;
    metrics.count('refusal', {reason: code, route: context.route.name});
    this.recordResult(context, outcome, `${status} ${code} ${refusal.message}`);
  }

  private createAdmissionRequest(context: RequestContext): AdmissionRequest {
    const {route, service, tier, homes, arrived, deadline, sends} = context;
    const {continuation} = context;
    const isRetry = sends > 0;
    const {prompt} = context.request;
    const team = context.team?.name ?? '';
    return admissionRequestFor(
      {
        route,
        service,
        team,
        tier,
        homes,
        prompt,
        arrived,
        deadline,
        isRetry,
        continuation,
      },
      this.parts.clock.monotonic(),
    );
  }

  /** Whether the limit on retries allows one more for the request's service. */
  private hasRetryBudget({service}: RequestContext): boolean {
    return this.retries.allowsRetry(service, this.parts.book.assumedHosts);
  }

  private recordResult(
    context: RequestContext,
    outcome: string,
    detail: string,
  ): void {
    const version = this.routingTable?.version ?? 0;
    this.log.ended(context, outcome, detail, version);
  }
}

/**
 * Records a failure in the endpoint's load. Does not count a failure to connect
 * to an endpoint that has left, nor a request that it stated it did not run.
 */
function reportFailure(
  reservation: Reservation,
  {stage, notRun}: AttemptFailure,
): void {
  if (stage === 'connect') {
    if (reservation.isEndpointUsable()) reservation.unreachable();
    return;
  }
  if (!notRun) reservation.failed();
}

/** Ends a request whose caller was sent the endpoint's own error response. */
class EndpointErrorRelayed extends Error {
  constructor(readonly status: number) {
    super(String(status));
  }
}
