/**
 * One attempt of a request at one endpoint. A whole answer is held until all of
 * it is there; the events of a stream pass on as they come.
 */
import type {IncomingMessage} from 'node:http';

import type {Place} from '../balance/index.js';
import {Cancellation, type Signal} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {WireError} from '../errors/index.js';
import {readWhole} from '../relay/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Connections, Received} from './connections.js';
import type {Course} from './course.js';
import {EventCutter} from './events.js';
import type {AnswerHead, Protocol} from './protocol.js';

/** Largest answer that is held until it is whole, in bytes. */
const HELD_BYTES = 16_777_216;
const FAILURE_STATUS = 500;
const SUCCESS_STATUS = 300;
/** Milliseconds of silence in a stream after which it goes on elsewhere. */
const STREAM_SILENCE_MILLISECONDS = 1_000;

/** An endpoint's whole answer. */
export interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** An attempt that failed. */
export class AttemptFailure extends WireError {
  constructor(
    stage: WireError['stage'],
    detail: string,
    /** Whether it is certain that the endpoint did not run it. */
    readonly notRun: boolean,
    /** The endpoint's own answer, where it says that it failed. */
    readonly answer?: WholeAnswer,
  ) {
    super(stage, detail);
  }
}

/** What an attempt needs of the host. */
export interface AttemptParts {
  readonly protocol: Protocol;
  readonly connections: Connections;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly began: (team: string) => void;
}

/** What one attempt is made for. */
export interface AttemptOrder {
  readonly course: Course;
  readonly place: Place;
  /** Aborted when the request is over. */
  readonly stop: Signal;
  /** Milliseconds to wait for a first sign; absent where no other may try. */
  readonly patience: number | undefined;
}

/** One attempt. */
export class Attempt {
  /** Aborted when the request is over or the endpoint is silent for too long. */
  private readonly halt = new Cancellation();
  private stopPatience: Cancel = () => {};

  constructor(
    private readonly order: AttemptOrder,
    private readonly parts: AttemptParts,
  ) {}

  /** Runs to the end of the answer. Throws an AttemptFailure. */
  async run(): Promise<void> {
    const {course, stop, patience} = this.order;
    const stopWatching = stop.onAbort(() => this.halt.abort());
    if (patience !== undefined) {
      const {clock} = this.parts;
      this.stopPatience = clock.after(patience, () => this.halt.abort());
    }
    course.underWay = true;
    try {
      await this.relay(await this.send());
      course.runs++;
    } catch (error) {
      const failure = asFailure(error);
      const proven = failure.notRun || failure.stage === 'connect';
      if (!proven) course.runs++;
      throw failure;
    } finally {
      course.underWay = false;
      this.stopPatience();
      stopWatching();
    }
  }

  /** Sends the request; resolves with the message that answers it. */
  private send(): Promise<Received> {
    const {course, place} = this.order;
    const {arrival, route, team, tier, timeLeft, lastEvent, body} = course;
    const {id, address} = place.endpoint.entry;
    const headers = this.parts.protocol.requestHeaders(arrival, {
      endpoint: id,
      team: team?.name,
      tier,
      timeLeft,
      lastEvent,
    });
    if (body.length > 0 || arrival.method === 'POST') {
      headers.push('Content-Length', String(body.length));
    }
    const {method, url} = arrival;
    const fresh = !route.repeatable && !route.resumable;
    const {isOpen} = place;
    const outgoing = {address, method, url, headers, body, fresh, isOpen};
    return this.parts.connections.send(outgoing, this.halt);
  }

  private async relay(received: Received): Promise<void> {
    const {message} = received;
    const {parts} = this;
    const {course, place} = this.order;
    const head = parts.protocol.answerHead(message);
    if (head.notRun) {
      if (head.misdirected) place.unreachable();
      message.resume();
      throw new AttemptFailure('status', `status ${head.status}`, true);
    }
    if (!head.sealed || head.id !== course.arrival.id) {
      message.destroy();
      throw new AttemptFailure('malformed', 'not an answer to this', false);
    }
    place.answered(head.load);
    if (course.team) parts.began(course.team.name);
    if (course.route.streaming && head.status < SUCCESS_STATUS) {
      await this.relayStream(received, head);
      return;
    }
    this.stopPatience();
    await this.relayWhole(received, head);
  }

  private async relayWhole(
    {message, isWhole}: Received,
    head: AnswerHead,
  ): Promise<void> {
    const {course} = this.order;
    const {timeLeft} = course;
    const body = await readWhole(message, HELD_BYTES, timeLeft, this.halt);
    if (!(await isWhole())) {
      throw new AttemptFailure('cut', 'the answer is cut short', false);
    }
    if (head.status >= FAILURE_STATUS) {
      const detail = `status ${head.status}`;
      throw new AttemptFailure('status', detail, false, {head, body});
    }
    if (course.answer.begun) {
      throw new AttemptFailure('malformed', 'no stream to go on with', false);
    }
    course.firstAt = this.parts.clock.monotonic();
    course.answer.sendWhole(head, body);
  }

  private relayStream(
    {message, isWhole}: Received,
    head: AnswerHead,
  ): Promise<void> {
    const {parts} = this;
    const {course} = this.order;
    const {answer, route} = course;
    const cutter = new EventCutter(course.lastEvent);
    return new Promise((resolve, reject) => {
      let ended = false;
      let finished = false;
      const finish = (failure?: AttemptFailure) => {
        if (finished) return;
        finished = true;
        stopSilence();
        stopWatching();
        if (!failure) return resolve();
        message.destroy();
        reject(failure);
      };
      const fail = (stage: WireError['stage'], detail: string) =>
        finish(new AttemptFailure(stage, detail, false));
      let stopSilence: Cancel = () => {};
      const listen = () => {
        stopSilence();
        if (!route.resumable) return;
        stopSilence = parts.clock.after(STREAM_SILENCE_MILLISECONDS, () =>
          fail('between-events', 'the stream is silent'),
        );
      };
      message.on('data', (bytes: Buffer) => {
        listen();
        const whole = cutter.push(bytes);
        if (whole.length === 0 || finished) return;
        this.pass(whole, head, message);
        course.lastEvent = cutter.lastId;
        course.delivered += cutter.count;
        cutter.count = 0;
      });
      const end = (whole: boolean) => {
        if (finished) return;
        if (!whole || cutter.unfinished) {
          return fail('cut', 'the stream is cut short');
        }
        answer.begin(head);
        answer.end();
        finish();
      };
      message.on('end', () => {
        ended = true;
        if (message.complete) void isWhole().then(end);
        else end(false);
      });
      message.on('error', error => fail('cut', error.message));
      message.on('close', () => {
        if (!ended) fail('cut', 'the connection is closed');
      });
      const stopWatching = this.halt.onAbort(() => fail('cut', 'ended'));
      listen();
    });
  }

  private pass(
    whole: Buffer,
    head: AnswerHead,
    message: IncomingMessage,
  ): void {
    const {parts} = this;
    const {course} = this.order;
    const {answer} = course;
    this.stopPatience();
    if (course.firstAt === 0) {
      course.firstAt = parts.clock.monotonic();
      const first = course.firstAt - course.arrived;
      parts.metrics.time('first-event', first, {route: course.route.name});
    }
    answer.begin(head);
    if (answer.write(whole)) return;
    message.pause();
    answer.onRoom(() => message.resume());
  }
}

/** A failure of the wire as the failure of an attempt. */
function asFailure(error: unknown): AttemptFailure {
  if (error instanceof AttemptFailure) return error;
  if (!(error instanceof WireError)) throw error;
  return new AttemptFailure(error.stage, error.message, false);
}
