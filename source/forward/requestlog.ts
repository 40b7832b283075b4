/** The log lines and metrics of a request: each send, each failure, its end. */
import type {Choice} from '../balance/index.js';
import type {Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {countPauses} from '../pauses/index.js';
import type {AttemptFailure} from './attemptfailure.js';
import type {RequestContext} from './context.js';
import type {CallerRequest} from './protocol.js';

/** What the lines are written with. */
export interface RequestLogParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Writes the lines of requests. */
export class RequestLog {
  constructor(private readonly parts: RequestLogParts) {}

  /** A request that was refused before its route and team were known. */
  unmatched({id, host, path}: CallerRequest, reason: string, version: number) {
    const {logger, metrics} = this.parts;
    metrics.count('refusal', {reason, route: ''});
    const fields = {request: id, host, path, version, reason};
    logger.warn('request-refused', fields);
  }

  /** A request that is sent to an endpoint of a zone. */
  sent(context: RequestContext, choice: Choice, zone: string): void {
    const {logger, clock} = this.parts;
    logger.info('request-sent', {
      request: context.request.id,
      endpoint: choice.id,
      zone,
      cost: Math.round(choice.cost),
      reading: Math.round(choice.prefillMilliseconds),
      queuedReading: Math.round(
        choice.waitMilliseconds - choice.prefillMilliseconds,
      ),
      running: Math.round(choice.expectedRequests),
      tier: context.tier,
      waited: Math.round(clock.monotonic() - context.arrived),
      send: context.sends,
    });
  }

  /** An attempt that failed, sent at a monotonic time. */
  attemptFailed(
    context: RequestContext,
    endpoint: string,
    failure: AttemptFailure,
    sentAt: number,
  ): void {
    const {logger, metrics, clock} = this.parts;
    const {stage} = failure;
    metrics.count('attempt-failure', {stage, route: context.route.name});
    logger.warn('attempt-failed', {
      request: context.request.id,
      endpoint,
      stage,
      notRun: failure.notRun,
      detail: failure.message,
      after: Math.round(clock.monotonic() - sentAt),
      delivered: context.delivered,
    });
  }

  /** The end of a request. */
  ended(
    context: RequestContext,
    outcome: string,
    detail: string,
    version: number,
  ): void {
    const {logger, metrics, clock} = this.parts;
    const {route, request, team, service} = context;
    const total = clock.monotonic() - context.arrived;
    metrics.count('request', {route: route.name, outcome});
    countPauses(metrics, route.name, context.pauses);
    if (outcome === 'answered') {
      metrics.time('answer', total, {route: route.name});
    }
    logger.info('request', {
      request: request.id,
      outcome,
      detail,
      route: route.name,
      team: team?.name ?? '',
      tier: context.tier,
      service,
      version,
      sends: context.sends,
      first: Math.round(Math.max(context.firstByteAt - context.arrived, 0)),
      total: Math.round(total),
      events: context.delivered,
      pause: Math.round(context.longestPause),
      endpoint: context.endpoint ?? '',
    });
  }
}
