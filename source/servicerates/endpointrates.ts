/** What this host has learned of one endpoint. */
import {
  afterReport,
  afterSample,
  NO_ESTIMATE,
  quantileOf,
  valueOf,
  weightOf,
  type Estimate,
} from './estimate.js';
import {
  afterDuration,
  loadEffectAt,
  NO_MEANS,
  type EndpointMeans,
} from './loadeffect.js';
import {
  isOverrun,
  normalMilliseconds,
  prefillMillisecondsPerToken,
  type FirstEvent,
  type StatedLoad,
} from './observations.js';
import type {ServiceRate} from './rate.js';
import type {ServiceKnowledge, TypicalDurations} from './serviceknowledge.js';
import {
  afterObservation,
  afterStatement,
  MAX_FACTOR_AGE_MILLISECONDS,
  statedFactorAt,
  UNKNOWN_WORK_FACTOR,
  workFactorAt,
  type WorkFactor,
} from './workfactor.js';

/** Durations at one endpoint, at the usual work factor and load. */
export interface Durations {
  /** Milliseconds to prefill a token of a prompt. */
  readonly prompt: number;
  /** Milliseconds between two events of a stream. */
  readonly event: number;
  /** Milliseconds of a request without a prompt. */
  readonly plain: number;
}

/** Gaps of a stream of which the middle one is a sample. */
const GAPS_PER_SAMPLE = 5;
/** Weight of an estimate from which a single answer is compared with it. */
const MIN_WEIGHT_TO_COMPARE = 3;
/** Samples from which an estimate is shared with other hosts. */
const MIN_SHARED_SAMPLES = 3;
/**
 * Part of the samples below the value that is taken from them. Waits that this
 * host does not know of only ever lengthen a time to a first event or answer.
 */
const WAITING_QUANTILE = 0.4;
/** Weight at which half is known. */
const HALF_CERTAIN_WEIGHT = 4;
/** Age at which a rate is half as certain. */
const CERTAINTY_HALF_LIFE_MILLISECONDS = 60_000;

/** A first event of which the time of its own tokens is not known yet. */
interface PendingFirst {
  readonly first: Omit<FirstEvent, 'baseMilliseconds'>;
  /** Events that came with it, itself included. */
  readonly events: number;
}

/** First events that are kept until more is known. */
const MAX_PENDING_FIRSTS = 3;

/** A rate as it was last computed. */
interface ComputedRate {
  readonly rate: ServiceRate;
  /** Monotonic milliseconds between which it holds. */
  readonly since: number;
  readonly until: number;
}

/** Time for which a rate holds whose work factor is about to fade. */
const FADING_RATE_MILLISECONDS = 20;
/** Time for which another rate holds, unless something is observed. */
const STEADY_RATE_MILLISECONDS = 2_000;

/** Learns the durations and the work factor of one endpoint. */
export class EndpointRates {
  factor: WorkFactor = UNKNOWN_WORK_FACTOR;
  private prompt: Estimate = NO_ESTIMATE;
  private event: Estimate = NO_ESTIMATE;
  private plain: Estimate = NO_ESTIMATE;
  private means: EndpointMeans = NO_MEANS;
  /** Gaps that do not make a sample yet. */
  private gaps: number[] = [];
  /** First events that came before anything was known of the others. */
  private pendingFirsts: PendingFirst[] = [];
  /** Part of its slots that was in use at its last answer. */
  private utilization: number | undefined;
  private computed: ComputedRate | undefined;

  constructor(
    readonly id: string,
    readonly service: ServiceKnowledge,
  ) {}

  /** The rate at a time, which holds for a moment unless something changes. */
  rateAt(now: number): ServiceRate {
    const {computed, factor} = this;
    if (computed && now >= computed.since && now < computed.until)
      return computed.rate;
    const rate = this.service.toRate(this.durations(now), {
      workFactor: workFactorAt(factor, now),
      certainty: this.certaintyAt(now),
      observedAt: this.observedAt,
    });
    const isFading = now - factor.latestAt < MAX_FACTOR_AGE_MILLISECONDS;
    const duration = isFading
      ? FADING_RATE_MILLISECONDS
      : STEADY_RATE_MILLISECONDS;
    this.computed = {rate, since: now, until: now + duration};
    return rate;
  }

  /** Records the load and the work factor that an answer states. */
  recordLoad(load: StatedLoad | undefined, now: number): void {
    this.computed = undefined;
    const stated = load?.workFactor;
    if (stated !== undefined)
      this.factor = afterStatement(this.factor, stated, now);
    if (load && load.slots > 0) this.utilization = load.running / load.slots;
  }

  /** Records the first event of a stream. */
  recordFirstEvent(
    first: Omit<FirstEvent, 'baseMilliseconds' | 'workFactor'>,
    events: number,
    now: number,
  ): void {
    const workFactor = statedFactorAt(this.factor, now);
    const pending = {first: {...first, workFactor}, events};
    if (weightOf(this.event) > 0) return this.learnPrefill(pending, now);
    this.pendingFirsts.push(pending);
    if (this.pendingFirsts.length > MAX_PENDING_FIRSTS)
      this.pendingFirsts.shift();
  }

  /** Learns from a first event how fast prompts are prefilled. */
  private learnPrefill({first, events}: PendingFirst, now: number): void {
    const baseMilliseconds =
      this.service.baseAfter(first) ?? this.durations(now).event * events;
    const sample = prefillMillisecondsPerToken({...first, baseMilliseconds});
    if (sample === undefined) return;
    this.prompt = this.withSample(this.prompt, sample, now);
  }

  /** Records the mean time of some events since the event before them. */
  recordGap(milliseconds: number, now: number): void {
    const compared = weightOf(this.event) >= MIN_WEIGHT_TO_COMPARE;
    const expected = compared ? this.durations(now).event : undefined;
    const gap = this.normalize(milliseconds, expected, now);
    if (gap === undefined) return;
    this.gaps.push(gap);
    if (this.gaps.length < GAPS_PER_SAMPLE) return;
    const sample = quantileOf(this.gaps, 0.5);
    this.gaps = [];
    this.event = this.withSample(this.event, sample, now);
    for (const pending of this.pendingFirsts) this.learnPrefill(pending, now);
    this.pendingFirsts = [];
  }

  /** Records the answer to a request without a prompt. */
  recordPlainAnswer(
    milliseconds: number,
    load: StatedLoad | undefined,
    now: number,
  ): void {
    if (isOverrun(load)) return;
    const compared = weightOf(this.plain) >= MIN_WEIGHT_TO_COMPARE;
    const expected = compared ? this.durations(now).plain : undefined;
    const sample = this.normalize(milliseconds, expected, now);
    if (sample === undefined) return;
    this.plain = this.withSample(this.plain, sample, now);
  }

  /** Records what another host has learned; undefined for what it has not. */
  recordReport(
    {prompt, event, plain}: Partial<Durations>,
    usualFactor: number | undefined,
    now: number,
  ): void {
    this.computed = undefined;
    if (this.certaintyAt(now) === 0) this.service.forgetTypicalDurations();
    if (prompt !== undefined)
      this.prompt = afterReport(this.prompt, prompt, now);
    if (event !== undefined) this.event = afterReport(this.event, event, now);
    if (plain !== undefined) this.plain = afterReport(this.plain, plain, now);
    if (usualFactor !== undefined && this.factor.statements === 0)
      this.factor = {...this.factor, usual: usualFactor};
  }

  /** The durations, which are the typical ones before the first sample. */
  durations(now: number): Durations {
    return this.durationsFrom(this.service.typicalDurations(now));
  }

  /** The durations, given those that are typical of the service. */
  durationsFrom(typical: TypicalDurations): Durations {
    const event = valueOf(this.event, typical.event);
    // Machines that make tokens slowly mostly prefill slowly too.
    const promptPrior = (typical.prompt * event) / typical.event;
    return {
      event,
      prompt: valueOf(this.prompt, promptPrior, WAITING_QUANTILE),
      plain: valueOf(this.plain, typical.plain, WAITING_QUANTILE),
    };
  }

  /** The estimates that are based on any sample or report. */
  knownEstimates(): Partial<Durations> {
    const known = ({samples, reports}: Estimate, quantile?: number) => {
      const values = samples.length > 0 ? samples : reports;
      return values.length > 0
        ? quantileOf(values, quantile ?? 0.5)
        : undefined;
    };
    return withoutUndefined({
      prompt: known(this.prompt, WAITING_QUANTILE),
      event: known(this.event),
      plain: known(this.plain, WAITING_QUANTILE),
    });
  }

  /** What this host has learned itself, to be shared with other hosts. */
  ownEstimates(): Partial<Durations> {
    const own = ({samples}: Estimate, quantile: number) =>
      samples.length < MIN_SHARED_SAMPLES
        ? undefined
        : quantileOf(samples, quantile);
    return withoutUndefined({
      prompt: own(this.prompt, WAITING_QUANTILE),
      event: own(this.event, 0.5),
      plain: own(this.plain, WAITING_QUANTILE),
    });
  }

  /** Samples of this host so far, of all kinds. */
  get sampleCount(): number {
    return this.prompt.count + this.event.count + this.plain.count;
  }

  /** Monotonic milliseconds of the latest observation or report. */
  get observedAt(): number {
    return Math.max(
      this.prompt.observedAt,
      this.event.observedAt,
      this.plain.observedAt,
      this.factor.latestAt,
    );
  }

  /** How well the durations are known: from 0, nothing is known, to 1. */
  certaintyAt(now: number): number {
    const weight =
      weightOf(this.prompt) + weightOf(this.event) + weightOf(this.plain);
    if (weight === 0) return 0;
    const age = Math.max(now - this.observedAt, 0);
    const decay = 0.5 ** (age / CERTAINTY_HALF_LIFE_MILLISECONDS);
    return (weight / (weight + HALF_CERTAIN_WEIGHT)) * decay;
  }

  private withSample(before: Estimate, sample: number, now: number): Estimate {
    this.computed = undefined;
    // Until then the typical durations may be assumed ones.
    if (weightOf(before) === 0) this.service.forgetTypicalDurations();
    return afterSample(before, sample, now);
  }

  /**
   * The duration at the usual work factor and load, which adds to what is known
   * of the effect of load; undefined if it tells nothing. Where a duration is
   * expected, the current work factor follows from the ratio of the two.
   */
  private normalize(
    milliseconds: number,
    expected: number | undefined,
    now: number,
  ): number | undefined {
    const {service, utilization} = this;
    const workFactor = statedFactorAt(this.factor, now);
    const loadEffect =
      utilization === undefined
        ? 1
        : loadEffectAt(service.loadEffect, utilization);
    const factors = {workFactor, loadEffect};
    const normal = normalMilliseconds(milliseconds, factors);
    if (normal === undefined) return undefined;
    if (utilization !== undefined) {
      const unloaded = milliseconds / workFactor;
      const duration = {milliseconds: unloaded, utilization};
      const after = afterDuration(service.loadEffect, this.means, duration);
      service.loadEffect = after.effect;
      this.means = after.means;
    }
    if (expected !== undefined) {
      const ratio = milliseconds / (expected * loadEffect);
      this.factor = afterObservation(this.factor, ratio, now);
      this.computed = undefined;
    }
    return normal;
  }
}

function withoutUndefined({
  prompt,
  event,
  plain,
}: Record<keyof Durations, number | undefined>): Partial<Durations> {
  return {
    ...(prompt !== undefined && {prompt}),
    ...(event !== undefined && {event}),
    ...(plain !== undefined && {plain}),
  };
}
