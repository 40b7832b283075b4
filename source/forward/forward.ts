/**
 * The course of one request: its route and team, a place in the line, one
 * attempt after another, and a final answer by the time that its caller or its
 * route sets.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Admission, Ticket} from '../admission/index.js';
import {afterFailure} from '../attempt/index.js';
import {
  counted,
  mayRepeat,
  NO_REPEATS,
  pointOf,
  type EndpointBook,
  type Place,
  type RepeatBound,
  type RepeatCount,
} from '../balance/index.js';
import {Cancellation} from '../cancellation/index.js';
import type {Clock} from '../clock/index.js';
import {Refusal} from '../errors/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Random} from '../random/index.js';
import {serviceFor, type RoutingTable} from '../routing/index.js';
import {readBytes} from '../wire/index.js';
import {CallerAnswer} from './answer.js';
import {Attempt, AttemptFailure} from './attempt.js';
import type {Connections} from './connections.js';
import {Course} from './course.js';
import {retryAfterOf, statusOf} from './outcome.js';
import type {Protocol} from './protocol.js';

/** Share of the time left for which a request may wait in line. */
const WAITING_SHARE = 0.6;
/** Times its target after which a request that may be repeated is sent anew. */
const PATIENCE_TARGETS = 2;
/** Times its expected wait that is added to that. */
const PATIENCE_EXPECTED = 2;
/** Sends that one request may make, those that did not run among them. */
const SENDS_MOST = 4;
/** Least share of a service's starts that each route gets while it waits. */
const FLOOR_SHARE = 0.05;
/** What a request without a prompt counts for between teams, in tokens. */
const PLAIN_TOKENS = 100;

/** What requests of a host share. */
export interface ForwarderParts {
  readonly protocol: Protocol;
  readonly connections: Connections;
  readonly admission: Admission;
  readonly book: EndpointBook;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly repeatBound: RepeatBound;
  /** Called when an endpoint has begun to run a request of a team. */
  readonly began: (team: string) => void;
}

/** Serves the requests of callers. */
export class Forwarder {
  /** Set once a configuration is known. */
  table: RoutingTable | undefined;
  /** The bound on repeats that is in force. */
  repeatBound: RepeatBound;
  private readonly repeats = new Map<string, RepeatCount>();
  private readonly courses = new Set<Course>();
  private emptied: () => void = () => {};

  constructor(private readonly parts: ForwarderParts) {
    this.repeatBound = parts.repeatBound;
  }

  /** Resolves when no request is under way. */
  whenEmpty(): Promise<void> {
    if (this.courses.size === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.emptied = resolve;
    });
  }

  /** Serves one request to its end; never throws. */
  async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const answer = new CallerAnswer(response);
    const course = this.begin(message, answer);
    if (!course) return;
    this.courses.add(course);
    try {
      await this.run(course, message);
      this.note(course, 'answered', '');
    } catch (error) {
      this.giveUp(course, error);
    } finally {
      course.settle();
      this.courses.delete(course);
      if (this.courses.size === 0) this.emptied();
    }
  }

  private begin(
    message: IncomingMessage,
    answer: CallerAnswer,
  ): Course | undefined {
    const {clock, protocol, logger, metrics} = this.parts;
    const arrival = protocol.arrival(message);
    try {
      const {table} = this;
      if (!table) throw new Refusal('not-ready', 'not-run', 'no configuration');
      const route = table.match(arrival.host, arrival.path);
      if (!route) throw new Refusal('route-unknown', 'not-run', 'no route');
      const team = table.team(arrival.bearer);
      const barred = table.asksForKeys && !route.open && !team;
      if (barred) throw new Refusal('key-unknown', 'not-run', 'no such key');
      const point = pointOf(arrival.id);
      const service = serviceFor(route, point);
      return new Course({arrival, route, team, service, answer, clock});
    } catch (error) {
      if (!(error instanceof Refusal)) throw error;
      const {code} = error;
      metrics.count('refusal', {reason: code, route: ''});
      logger.warn('request-refused', {
        request: arrival.id,
        host: arrival.host,
        path: arrival.path,
        version: this.table?.version ?? 0,
        reason: code,
      });
      const givenUp = {
        refusal: error,
        mayHaveRun: false,
        timeLeft: arrival.patience ?? 0,
      };
      const retryAfter = retryAfterOf(givenUp, this.parts.random);
      answer.refuse(error, statusOf(givenUp), retryAfter);
      message.resume();
      return undefined;
    }
  }

  private async run(course: Course, message: IncomingMessage): Promise<void> {
    const {arrival, service} = course;
    const {book} = this.parts;
    const limit = this.table?.limits.bodyBytes ?? 0;
    const body = await Promise.race([readBytes(message, limit), course.over]);
    course.body = body;
    if (arrival.prompt) book.arrived(service, arrival.prompt);
    this.count(course, 'request');
    for (;;) {
      const failure = await this.oneAttempt(course);
      if (!failure) return;
      this.decide(course, failure);
    }
  }

  /** Waits for a place and makes an attempt; answers its failure. */
  private async oneAttempt(
    course: Course,
  ): Promise<AttemptFailure | undefined> {
    const {admission} = this.parts;
    const stop = new Cancellation();
    const work = async () => {
      await this.inPlace(course, stop);
      return 0;
    };
    const entry = admission.run(this.ticketOf(course), work, () => {});
    const stopWatching = course.ended.onAbort(() => {
      entry.cancel(course.reason());
      stop.abort();
    });
    try {
      await entry.done;
      return undefined;
    } catch (error) {
      if (course.ended.aborted) throw course.reason();
      if (error instanceof AttemptFailure) return error;
      throw error;
    } finally {
      stopWatching();
    }
  }

  private async inPlace(course: Course, stop: Cancellation): Promise<void> {
    const {book, clock} = this.parts;
    const {service, arrival, failedAt, homes} = course;
    const {prompt} = arrival;
    const place = book.take({service, prompt, failedAt, homes});
    if (!place) throw new AttemptFailure('connect', 'no endpoint', true);
    course.sends++;
    this.noteSend(course, place.choice, place.endpoint.entry.zone);
    const patience = this.patienceOf(course, place.choice.cost);
    const attempt = new Attempt({course, place, stop, patience}, this.parts);
    const sentAt = clock.monotonic();
    try {
      await attempt.run();
    } catch (error) {
      if (error instanceof AttemptFailure && !stop.aborted) {
        failedAt.add(place.endpoint.entry.id);
        blame(place, error);
        this.noteFailure(course, place.endpoint.entry.id, error, sentAt);
      }
      throw error;
    } finally {
      place.release();
    }
  }

  /** How long to wait for a sign of life before another endpoint may try. */
  private patienceOf(course: Course, expected: number): number | undefined {
    const {route, runs} = course;
    if (!route.repeatable && !route.resumable) return undefined;
    if (runs + 1 >= route.attempts) return undefined;
    if (!this.mayRepeat(course)) return undefined;
    return route.target * PATIENCE_TARGETS + expected * PATIENCE_EXPECTED;
  }

  /** Lets the request go on, or throws the Refusal that ends it. */
  private decide(course: Course, failure: AttemptFailure): void {
    const {metrics} = this.parts;
    const {route} = course;
    const {stage, notRun} = failure;
    const proven = notRun || stage === 'connect';
    const decision = afterFailure({
      stage,
      notRun,
      delivered: course.delivered,
      repeatable: route.repeatable || route.resumable || proven,
      resumable: route.resumable,
      attempts: proven ? course.sends : course.runs,
      attemptsMost: proven ? SENDS_MOST : route.attempts,
      budget: stage === 'connect' || this.mayRepeat(course),
    });
    if (decision.kind === 'refuse') {
      if (failure.answer && !course.answer.begun) {
        course.answer.sendWhole(failure.answer.head, failure.answer.body);
        throw new AnsweredByEndpoint(failure.answer.head.status);
      }
      throw new Refusal(decision.code, decision.outcome, failure.message);
    }
    if (stage !== 'connect') this.count(course, 'repeat');
    metrics.count('retry', {reason: decision.reason, route: route.name});
  }

  private giveUp(course: Course, error: unknown): void {
    const {logger, random, metrics} = this.parts;
    if (error instanceof AnsweredByEndpoint) {
      this.note(course, 'failed-by-endpoint', String(error.status));
      return;
    }
    if (course.left) {
      this.note(course, 'caller-left', '');
      return;
    }
    if (!(error instanceof Refusal)) {
      const detail = error instanceof Error ? (error.stack ?? '') : 'unknown';
      logger.error('request-failed', {request: course.arrival.id, detail});
    }
    const refusal =
      error instanceof Refusal
        ? error
        : new Refusal('internal', 'unknown', 'internal error');
    const {mayHaveRun, timeLeft} = course;
    const givenUp = {refusal, mayHaveRun, timeLeft};
    const status = statusOf(givenUp);
    const outcome = course.answer.begun ? 'broken-off' : 'refused';
    course.answer.refuse(refusal, status, retryAfterOf(givenUp, random));
    const {code} = refusal;
    metrics.count('refusal', {reason: code, route: course.route.name});
    this.note(course, outcome, `${status} ${code} ${refusal.message}`);
  }

  private ticketOf(course: Course): Ticket {
    const {route, arrival, team, timeLeft, homes} = course;
    const {prompt} = arrival;
    const spent = this.parts.clock.monotonic() - course.arrived;
    return {
      lane: {
        pool: course.service,
        className: route.name,
        tier: course.tier + 1,
        floorShare: FLOOR_SHARE,
        cheapShare: 0,
        repeatable: false,
        homes,
      },
      team: team?.name ?? '',
      weight: 1,
      estimate: prompt ? prompt.tokens + prompt.output : PLAIN_TOKENS,
      arrived: course.arrived,
      bound: spent + timeLeft * WAITING_SHARE,
      prefix: '',
    };
  }

  private mayRepeat({service}: Course): boolean {
    const {repeatBound} = this;
    const {book, clock} = this.parts;
    const count = this.repeats.get(service) ?? NO_REPEATS;
    const now = clock.monotonic();
    return mayRepeat(count, repeatBound, book.hostCount, now);
  }

  private count({service}: Course, what: 'request' | 'repeat'): void {
    const {repeatBound} = this;
    const {clock} = this.parts;
    const before = this.repeats.get(service) ?? NO_REPEATS;
    const after = counted(before, what, repeatBound, clock.monotonic());
    this.repeats.set(service, after);
  }

  private noteSend(
    course: Course,
    choice: {id: string; cost: number; reading: number},
    zone: string,
  ): void {
    this.parts.logger.info('request-sent', {
      request: course.arrival.id,
      endpoint: choice.id,
      zone,
      cost: Math.round(choice.cost),
      reading: Math.round(choice.reading),
      waited: Math.round(this.parts.clock.monotonic() - course.arrived),
      send: course.sends,
    });
  }

  private noteFailure(
    course: Course,
    endpoint: string,
    failure: AttemptFailure,
    sentAt: number,
  ): void {
    this.parts.logger.warn('attempt-failed', {
      request: course.arrival.id,
      endpoint,
      stage: failure.stage,
      notRun: failure.notRun,
      detail: failure.message,
      after: Math.round(this.parts.clock.monotonic() - sentAt),
      delivered: course.delivered,
    });
  }

  private note(course: Course, outcome: string, detail: string): void {
    const {logger, metrics, clock} = this.parts;
    const {route, arrival, team, service} = course;
    const total = clock.monotonic() - course.arrived;
    metrics.count('request', {route: route.name, outcome});
    if (outcome === 'answered') {
      metrics.time('answer', total, {route: route.name});
    }
    logger.info('request', {
      request: arrival.id,
      outcome,
      detail,
      route: route.name,
      team: team?.name ?? '',
      service,
      version: this.table?.version ?? 0,
      sends: course.sends,
      first: Math.round(Math.max(course.firstAt - course.arrived, 0)),
      total: Math.round(total),
      events: course.delivered,
    });
  }
}

/** Notes at an endpoint that it has failed a request, unless it has left. */
function blame(place: Place, {stage, notRun}: AttemptFailure): void {
  if (stage === 'connect') {
    if (place.isOpen()) place.unreachable();
    return;
  }
  if (!notRun) place.failed();
}

/** The endpoint's own failure was passed on as the answer. */
class AnsweredByEndpoint extends Error {
  constructor(readonly status: number) {
    super(String(status));
  }
}
