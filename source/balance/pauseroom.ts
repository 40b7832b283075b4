/**
 * How much prefill each engine has room for beside its streams, from what is
 * believed of its load and known of the pauses that its streams allow.
 */
import {EnginePauses, pauseCost, type RunningStream} from '../pauses/index.js';
import type {ServiceRates} from '../servicerates/index.js';
import type {Candidate} from './choose.js';
import type {EligibleSet} from './eligibleset.js';
import type {BelievedLoad} from './loadhistory.js';
import {isLargePrompt, type Prompt} from './prompt.js';
import type {Estimate} from './ratedcost.js';
import type {EndpointRequirements, Reservation} from './reservation.js';

/** A request with a prompt, as far as pauses depend on it. */
export interface PauseRequest {
  readonly service: string;
  readonly isLarge: boolean;
  /** Longest pause of its stream that is in time; undefined without a stream. */
  readonly pauseTarget: number | undefined;
}

/** A request that may have to wait, and the engines that it waits for. */
export interface WaitingRequest {
  readonly service: string;
  readonly tier: number;
  readonly engines: EligibleSet;
  /** Whether an engine, by its index, is set aside for large prompts. */
  readonly isForLarge: (index: number) => boolean;
  /** The load that an engine is believed to have, and how much is not ours. */
  readonly loadAt: (id: string) => BelievedLoad & {otherRequests: number};
}

/** Mean speed of a service’s engines. */
interface MeanSpeed {
  readonly prefillTokensPerMillisecond: number;
  readonly millisecondsPerToken: number;
  readonly computedAt: number;
}

/** Time for which a mean speed is used again. */
const MEAN_SPEED_MILLISECONDS = 1_000;
/** Requests of other hosts from which they are taken to have a stream there. */
const MIN_OTHER_REQUESTS = 0.5;
/** Weight of one prompt in the average of the prefill by tier. */
const PREFILL_WEIGHT = 0.1;

/** Decides by the room that engines have beside their streams. */
export class PauseRoom {
  readonly pauses = new EnginePauses();
  private readonly speeds = new Map<string, MeanSpeed>();
  /** Slow average of the prefill that prompts add, by service and tier. */
  private readonly prefills = new Map<string, Map<number, number>>();

  constructor(private readonly rates: ServiceRates) {}

  /** Discards what is known of services that are no longer configured. */
  retainServices(services: ReadonlyMap<string, unknown>): void {
    this.pauses.retainServices(services);
    for (const known of [this.speeds, this.prefills])
      for (const service of known.keys())
        if (!services.has(service)) known.delete(service);
  }

  /** Updates the mean speed of a service’s engines. */
  updateSpeed(service: string, {endpoints}: EligibleSet, now: number): void {
    const before = this.speeds.get(service);
    const age = now - (before?.computedAt ?? -Infinity);
    if (age < MEAN_SPEED_MILLISECONDS || endpoints.length === 0) return;
    let prefill = 0;
    let perToken = 0;
    for (const {entry} of endpoints) {
      const rate = this.rates.rateOf(entry.id, now);
      prefill += rate.prefillTokensPerMillisecond;
      perToken += rate.millisecondsPerToken;
    }
    this.speeds.set(service, {
      prefillTokensPerMillisecond: prefill / endpoints.length,
      millisecondsPerToken: perToken / endpoints.length,
      computedAt: now,
    });
  }

  /**
   * Whether a prompt belongs to the engines that are set aside for large ones.
   * The fixed size counts where no rates or pauses are known.
   *
   * ```ts
   * const isLarge = room.isLarge('drafting', prompt, clock.monotonic());
   * ```
   */
  isLarge(service: string, prompt: Prompt, now: number): boolean {
    const speed = this.rates.isInUse(service)
      ? this.speeds.get(service)
      : undefined;
    if (!speed) return isLargePrompt(prompt);
    const prefill = prompt.tokens / speed.prefillTokensPerMillisecond;
    const perToken = speed.millisecondsPerToken;
    return (
      this.pauses.isLarge(service, {prefill, perToken}, now) ??
      isLargePrompt(prompt)
    );
  }

  /** Returns what a request costs at a candidate for the sake of pauses. */
  costFor(
    {service, isLarge, pauseTarget}: PauseRequest,
    now: number,
  ): (candidate: Candidate, estimate: Estimate) => number {
    const {pauses} = this;
    const eventTokens = pauses.eventTokens(service);
    const sidePauses = [false, true].map(side =>
      pauses.sidePause(service, side, now),
    );
    const ownSide = sidePauses[isLarge ? 1 : 0] ?? Infinity;
    const otherSide = sidePauses[isLarge ? 0 : 1] ?? Infinity;
    return (candidate, {rate, load, prefill}) => {
      const {id, isForOtherSize} = candidate;
      const {ownRequests} = candidate.load;
      const {workFactor, millisecondsPerToken} = rate;
      const hasOthers = load.requests - ownRequests >= MIN_OTHER_REQUESTS;
      const othersPause = isForOtherSize ? otherSide : ownSide;
      const ownPause = pauses.ownPause(id);
      return pauseCost({
        allowedPause: hasOthers ? Math.min(ownPause, othersPause) : ownPause,
        ownPause: pauseTarget ?? Infinity,
        usualGap: eventTokens * millisecondsPerToken * workFactor,
        queued: load.prefillMilliseconds * workFactor,
        prefill: prefill * workFactor,
        isForOtherSize,
      });
    };
  }

  /** Records the prefill in milliseconds that a prompt of a tier adds. */
  recordPrefill(service: string, tier: number, prefill: number): void {
    const tiers = this.prefills.get(service) ?? new Map<number, number>();
    const before = tiers.get(tier) ?? prefill;
    tiers.set(tier, before + (prefill - before) * PREFILL_WEIGHT);
    this.prefills.set(service, tiers);
  }

  /**
   * Whether a request should wait until prefill that is queued has ended: its
   * own would fit beside the streams of some engine without the queue there, and
   * with it at none.
   */
  mustWait(
    {service, tier, engines, isForLarge, loadAt}: WaitingRequest,
    now: number,
  ): boolean {
    const prefill = this.prefills.get(service)?.get(tier);
    if (prefill === undefined) return false;
    const {pauses, rates} = this;
    const eventTokens = pauses.eventTokens(service);
    const largePause = pauses.sidePause(service, true, now);
    const smallPause = pauses.sidePause(service, false, now);
    let wouldFit = false;
    for (let index = 0; index < engines.size; index++) {
      const id = engines.endpoints[index]?.entry.id ?? '';
      const load = loadAt(id);
      const {workFactor, millisecondsPerToken} = rates.rateOf(id, now);
      const sidePause = isForLarge(index) ? largePause : smallPause;
      const allowedPause = Math.min(
        pauses.ownPause(id),
        load.otherRequests >= MIN_OTHER_REQUESTS ? sidePause : Infinity,
      );
      const room =
        allowedPause -
        (eventTokens * millisecondsPerToken + prefill) * workFactor;
      if (room - load.prefillMilliseconds * workFactor >= 0) return false;
      wouldFit ||= room >= 0;
    }
    return wouldFit;
  }

  /**
   * Counts the stream of a reservation at its engine until it is released, and
   * learns the size of events from its pauses.
   */
  track(
    reservation: Reservation,
    {service, pauseTarget}: EndpointRequirements,
    {isLarge, now}: {isLarge: boolean; now: number},
  ): Reservation {
    if (pauseTarget === undefined || !(pauseTarget > 0)) return reservation;
    const endpoint = reservation.choice.id;
    const stream: RunningStream = {
      service,
      endpoint,
      pause: pauseTarget,
      isLarge,
    };
    const {pauses, rates} = this;
    pauses.add(stream, now);
    let isRunning = true;
    return {
      ...reservation,
      paused: (gap, at) => {
        const rate = rates.rateOf(endpoint, at);
        const perToken = rate.millisecondsPerToken * rate.workFactor;
        pauses.recordGap(stream, gap, perToken);
      },
      release: () => {
        if (isRunning) pauses.remove(stream);
        isRunning = false;
        reservation.release();
      },
    };
  }
}
