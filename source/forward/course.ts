/** The state of one request between its arrival and its final answer. */
import {Cancellation} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {Refusal} from '../errors/index.js';
import {homesOf, type Homes, type Route, type Team} from '../routing/index.js';
import type {CallerAnswer} from './answer.js';
import type {Arrival} from './protocol.js';

/** Milliseconds before the caller gives up at which it gets its answer. */
const ANSWER_FLIGHT_MILLISECONDS = 8;

/** What is known of a request when it has been let in. */
export interface CourseStart {
  readonly arrival: Arrival;
  readonly route: Route;
  readonly team: Team | undefined;
  readonly service: string;
  readonly answer: CallerAnswer;
  readonly clock: Clock;
}

/** One request under way. */
export class Course {
  readonly arrival: Arrival;
  readonly route: Route;
  readonly team: Team | undefined;
  readonly service: string;
  readonly answer: CallerAnswer;
  /** Monotonic milliseconds. */
  readonly arrived: number;
  /** Monotonic milliseconds at which it gets its final answer. */
  readonly endsAt: number;
  /** Aborted when the caller has left or the time is up. */
  readonly ended = new Cancellation<Refusal>();
  /** Rejects when the request is ended. */
  readonly over: Promise<never>;
  /** Endpoints at which it has failed. */
  readonly failedAt = new Set<string>();
  body: Buffer = Buffer.alloc(0);
  /** Times that it was sent to an endpoint. */
  sends = 0;
  /** Of these, how many may have run. */
  runs = 0;
  /** Whether an attempt is under way that may have reached an endpoint. */
  underWay = false;
  /** Events that the caller has. */
  delivered = 0;
  /** The last event that the caller has. */
  lastEvent: string | undefined;
  /** Monotonic milliseconds of the first byte for the caller. */
  firstAt = 0;
  /** Whether the caller has left. */
  left = false;
  private readonly clock: Clock;
  private readonly stopTimer: Cancel;

  constructor(start: CourseStart) {
    const {arrival, route, clock} = start;
    this.arrival = arrival;
    this.route = route;
    this.team = start.team;
    this.service = start.service;
    this.answer = start.answer;
    this.clock = clock;
    this.lastEvent = arrival.lastEvent;
    this.arrived = clock.monotonic();
    const patience = arrival.patience ?? route.timeout;
    const time = Math.min(
      route.timeout,
      Math.max(patience - ANSWER_FLIGHT_MILLISECONDS, 0),
    );
    this.endsAt = this.arrived + time;
    this.stopTimer = clock.after(time, () => this.expire());
    this.over = new Promise((_, reject) => {
      this.ended.onAbort(() => reject(this.reason()));
    });
    this.over.catch(() => {});
    this.answer.onLost(() => {
      this.left = true;
      this.ended.abort();
    });
  }

  /** Regions that the request must not leave. */
  get homes(): Homes {
    return homesOf(this.route, this.team);
  }

  /** 0 is served first. */
  get tier(): number {
    return this.team?.tier ?? this.route.tier;
  }

  /** Milliseconds until its final answer. */
  get timeLeft(): number {
    return Math.max(this.endsAt - this.clock.monotonic(), 0);
  }

  /** Whether an endpoint may have run it. */
  get mayHaveRun(): boolean {
    return this.runs > 0 || this.underWay;
  }

  /** Why it was ended. */
  reason(): Refusal {
    const outcome = this.mayHaveRun ? 'unknown' : 'not-run';
    const left = () => new Refusal('internal', outcome, 'the caller has left');
    return this.ended.reason ?? left();
  }

  /** Stops its timer. */
  settle(): void {
    this.stopTimer();
  }

  private expire(): void {
    const refusal = this.mayHaveRun
      ? new Refusal('timed-out', 'unknown', 'no answer in time')
      : new Refusal('queue-timeout', 'not-run', 'no endpoint in time');
    this.ended.abort(refusal);
  }
}
