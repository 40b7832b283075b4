/**
 * The entry point of admission: p-queue runs the requests, the admission queue
 * decides their order, and timers refuse those that wait past their bound.
 */
import type {Cancel, Clock} from '../clock/index.js';
import {Refusal} from '../errors/index.js';
import {expectedWait} from './forecast.js';
import {AdmissionQueue, type GroupCount, type Selection} from './queue.js';
import type {
  SchedulingGroup,
  CapacityProvider,
  AdmissionRequest,
} from './request.js';
import {createRunner, type Runnable, type Runner} from './runner.js';

/** The work of one request; resolves to the tokens that it cost. */
export type Work = () => Promise<number>;

interface QueuedRequest extends Runnable {
  group: SchedulingGroup;
  readonly refuse: (refusal: Refusal) => void;
  /** The tier’s total floor delay in milliseconds when it was queued. */
  readonly floorDelayBefore: number;
  cancelTimer: Cancel;
  started: boolean;
}

interface RunningRequest {
  readonly request: AdmissionRequest;
  readonly preempt: () => void;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  preempted: boolean;
}

/** A handle on one request in admission. */
export interface AdmissionHandle {
  /**
   * Resolves when the work has ended. Rejects with a Refusal if the request
   * gets no slot, and with what the work throws.
   */
  readonly done: Promise<void>;
  /** Refuses the request while it is queued; no effect once it has started. */
  readonly cancel: (reason: Refusal) => void;
}

/** The options of an Admission. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly capacity: CapacityProvider;
  /** Requests that may be queued at once. */
  readonly maxQueued: number;
  /** Called when the set of queued or running requests has changed. */
  readonly onChange?: () => void;
}

/** Estimate of the service time of a pool that has not served a request yet. */
const INITIAL_SERVICE_TIME_MILLISECONDS = 500;
/** Weight of the latest request in the moving average of service times. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Time after which a request looks again for the slot of a preempted one. */
const PREEMPTION_RECHECK_MILLISECONDS = 100;

/** Time between two checks whether a late request should still wait. */
const LATE_CHECK_INTERVAL_MILLISECONDS = 100;
/** Age of a pool’s last start up to which the pool counts as serving. */
const MAX_START_AGE_MILLISECONDS = 500;

/** The requests of a host that are queued for a slot or hold one. */
export class Admission {
  private readonly queue: AdmissionQueue<QueuedRequest>;
  private readonly runner: Runner<QueuedRequest>;
  private readonly running = new Set<RunningRequest>();
  /** Monotonic milliseconds of the last start, by pool. */
  private readonly lastStarts = new Map<string, number>();
  /** Moving averages by pool, in milliseconds. */
  private readonly serviceTimes = new Map<string, number>();

  constructor(private readonly options: AdmissionOptions) {
    this.queue = new AdmissionQueue<QueuedRequest>(options.capacity);
    this.runner = createRunner(this.queue, options.clock, selection =>
      this.onStart(selection),
    );
  }

  /**
   * Waits for a slot and does the work in it. `done` rejects with a Refusal if
   * the request gets none; errors of the work pass through unchanged. `preempt`
   * is called when the running work must make way for a higher tier.
   *
   * ```ts
   * const handle = admission.run(request, () => relay(), () => abort());
   * await handle.done;
   * ```
   */
  run(
    request: AdmissionRequest,
    work: Work,
    preempt: () => void,
  ): AdmissionHandle {
    const refusal =
      this.checkExpectedWait(request) ?? this.makeSpaceInQueue(request.group);
    if (refusal) return {done: Promise.reject(refusal), cancel: () => {}};
    return this.enqueue(request, work, preempt);
  }

  /** Starts every queued request that has capacity now. */
  dispatch(): void {
    this.runner.concurrency = Infinity;
  }

  /** The number of queued requests. */
  get waiting(): number {
    return this.queue.size;
  }

  /** The groups of a pool that have queued requests, with how many. */
  waitingByGroup(pool: string): GroupCount[] {
    return this.queue.waitingByGroup(pool, this.options.clock.monotonic());
  }

  /**
   * Preempts up to `count` running repeatable requests of the pool that are of
   * tiers below `tier`: the lowest tier first, and within a tier those that
   * started last, since that wastes the least work. Returns how many.
   */
  preempt(pool: string, tier: number, count: number): number {
    const candidates = [...this.running].filter(
      ({request: {group}, preempted}) =>
        group.pool === pool &&
        group.tier > tier &&
        group.repeatable &&
        !preempted,
    );
    candidates.sort(
      (one, other) =>
        other.request.group.tier - one.request.group.tier ||
        other.startedAt - one.startedAt,
    );
    const chosen = candidates.slice(0, count);
    for (const running of chosen) {
      running.preempted = true;
      running.preempt();
    }
    return chosen.length;
  }

  private enqueue(
    request: AdmissionRequest,
    work: Work,
    preempt: () => void,
  ): AdmissionHandle {
    const {pool, tier} = request.group;
    let refuse: (refusal: Refusal) => void = () => {};
    const refused = new Promise<void>((_, reject) => {
      refuse = reject;
    });
    const queued: QueuedRequest = {
      ...request,
      refuse,
      floorDelayBefore: this.queue.floorTracker(pool).totalDelay(tier),
      cancelTimer: () => {},
      started: false,
    };
    const runInSlot = () => this.runInSlot(queued, work, preempt);
    const run = this.runner.add(runInSlot, {request: queued});
    if (!queued.started) this.startFirstTimer(queued);
    this.options.onChange?.();
    return {
      done: Promise.race([run, refused]),
      cancel: reason => this.drop(queued, reason),
    };
  }

  private onStart({request, byFloor}: Selection<QueuedRequest>): void {
    request.cancelTimer();
    request.started = true;
    const {pool, tier} = request.group;
    this.lastStarts.set(pool, this.options.clock.monotonic());
    if (!byFloor) return;
    const slots = Math.max(this.options.capacity.slotCount(pool), 1);
    this.queue
      .floorTracker(pool)
      .addDelay(tier, this.serviceTime(pool) / slots);
  }

  private async runInSlot(
    request: QueuedRequest,
    work: Work,
    preempt: () => void,
  ): Promise<void> {
    const startedAt = this.options.clock.monotonic();
    const running = {request, preempt, startedAt, preempted: false};
    this.running.add(running);
    let tokens = 0;
    try {
      tokens = await work();
    } finally {
      this.running.delete(running);
      this.recordServiceTime(
        request.group.pool,
        this.options.clock.monotonic() - startedAt,
      );
      this.queue.settle(request, tokens);
      this.options.onChange?.();
    }
  }

  /** The refusal of a request that could not start within its bound. */
  private checkExpectedWait(request: AdmissionRequest): Refusal | undefined {
    const {group} = request;
    const slots = this.options.capacity.slotCount(group.pool);
    const serviceTime = this.serviceTime(group.pool);
    const ahead = this.queue.countAhead(group);
    const wait = expectedWait({ahead, slots, serviceTime});
    if (wait <= request.bound - this.age(request)) return undefined;
    const detail = `a place is ${Math.round(wait)} ms away`;
    return new Refusal('target-unreachable', 'not-run', detail);
  }

  /**
   * Sheds a request of a lower tier if the queue is full; the refusal of the
   * new request if there is none.
   */
  private makeSpaceInQueue(group: SchedulingGroup): Refusal | undefined {
    if (this.queue.size < this.options.maxQueued) return undefined;
    const candidate = this.queue.shedCandidate(group.tier);
    if (!candidate) {
      return new Refusal(
        'queue-full',
        'not-run',
        `tier ${group.tier} waits in full`,
      );
    }
    const detail = `gave its place to tier ${group.tier}`;
    this.drop(candidate, new Refusal('shed', 'not-run', detail));
    return undefined;
  }

  /** Waits until the request is late or, where it never is, for its bound. */
  private startFirstTimer(queued: QueuedRequest): void {
    const {bound, targetBound = bound} = queued;
    const age = this.age(queued);
    if (targetBound >= bound || queued.group.isLate) {
      return this.startTimer(queued, bound - age);
    }
    queued.cancelTimer = this.options.clock.after(
      Math.max(targetBound - age, 0),
      () => this.becomeLate(queued),
    );
  }

  /**
   * Puts a request that can no longer meet its target behind those that can, and
   * refuses it when such requests keep starting before it.
   */
  private becomeLate(queued: QueuedRequest): void {
    if (!this.queue.remove(queued)) return;
    queued.group = {...queued.group, isLate: true};
    this.queue.push(queued);
    this.checkLate(queued);
  }

  private checkLate(queued: QueuedRequest): void {
    const {pool} = queued.group;
    const left = queued.bound - this.age(queued);
    const now = this.options.clock.monotonic();
    const isServing =
      now - (this.lastStarts.get(pool) ?? -Infinity) <
      MAX_START_AGE_MILLISECONDS;
    const {className, floorShare} = queued.group;
    const floors = this.queue.floorTracker(pool);
    const isOwed = floors.shortfall(className, floorShare, now) > 0;
    if (isServing && !isOwed && this.queue.isOvertaken(queued.group)) {
      const waited = Math.round(this.age(queued));
      const detail = `too late for its target after ${waited} ms${this.reason(queued)}`;
      return this.drop(
        queued,
        new Refusal('target-unreachable', 'not-run', detail),
      );
    }
    if (left <= LATE_CHECK_INTERVAL_MILLISECONDS)
      return this.startTimer(queued, left);
    queued.cancelTimer = this.options.clock.after(
      LATE_CHECK_INTERVAL_MILLISECONDS,
      () => this.checkLate(queued),
    );
  }

  private startTimer(queued: QueuedRequest, delay: number): void {
    queued.cancelTimer = this.options.clock.after(Math.max(delay, 0), () =>
      this.expire(queued),
    );
  }

  /**
   * Refuses a request whose bound has passed, unless it is due more time: for
   * what floors have delayed its tier since it was queued, or because the slot
   * of a request that it preempts is about to become free.
   */
  private expire(queued: QueuedRequest): void {
    const {pool, tier} = queued.group;
    const floorDelay =
      this.queue.floorTracker(pool).totalDelay(tier) - queued.floorDelayBefore;
    const left = queued.bound + floorDelay - this.age(queued);
    if (left > 0) return this.startTimer(queued, left);
    if (
      this.preempt(pool, tier, 1) > 0 ||
      this.isPreemptionPending(pool, tier)
    ) {
      return this.startTimer(queued, PREEMPTION_RECHECK_MILLISECONDS);
    }
    const detail = `waited ${queued.bound} ms${this.reason(queued)}`;
    this.drop(queued, new Refusal('queue-timeout', 'not-run', detail));
  }

  /** Whether a preempted request of a lower tier still holds its slot. */
  private isPreemptionPending(pool: string, tier: number): boolean {
    for (const {request, preempted} of this.running) {
      const {group} = request;
      if (preempted && group.pool === pool && group.tier > tier) return true;
    }
    return false;
  }

  /** The end of a refusal’s text: what the request lacks to start. */
  private reason({group}: QueuedRequest): string {
    const shortage = this.options.capacity.shortage(group);
    return shortage ? `: ${shortage}` : '';
  }

  /** Takes a request out of the queue and refuses it, unless it has started. */
  private drop(queued: QueuedRequest, refusal: Refusal): void {
    if (!this.queue.remove(queued)) return;
    queued.cancelTimer();
    queued.refuse(refusal);
    this.options.onChange?.();
  }

  /** Milliseconds since the request’s arrival. */
  private age(request: AdmissionRequest): number {
    return this.options.clock.monotonic() - request.arrived;
  }

  /** Mean milliseconds for which a request of the pool holds a slot. */
  private serviceTime(pool: string): number {
    return this.serviceTimes.get(pool) ?? INITIAL_SERVICE_TIME_MILLISECONDS;
  }

  private recordServiceTime(pool: string, duration: number): void {
    const before = this.serviceTime(pool);
    const after = before + SERVICE_TIME_WEIGHT * (duration - before);
    this.serviceTimes.set(pool, after);
  }
}
