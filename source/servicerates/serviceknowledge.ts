/** What this host has learned of the endpoints of one service together. */
import type {Durations, EndpointRates} from './endpointrates.js';
import {
  afterReport,
  afterSample,
  NO_ESTIMATE,
  quantileOf,
  valueOf,
  weightOf,
} from './estimate.js';
import {NO_LOAD_EFFECT, type LoadEffect} from './loadeffect.js';
import {
  firstEventWork,
  tokensPerEvent,
  type FirstEvent,
} from './observations.js';
import {
  baseMilliseconds,
  withPoint,
  type FirstEventPoints,
} from './resistantline.js';
import {ASSUMED_RATE, type ServiceRate} from './rate.js';
import {StatingEndpoints} from './stating.js';

/** The durations that are typical of the endpoints of a service. */
export type TypicalDurations = Durations;

/** Time for which the typical durations are not computed anew. */
const TYPICAL_MILLISECONDS = 1_000;
const ASSUMED_DURATIONS: TypicalDurations = {
  prompt: 1 / ASSUMED_RATE.prefillTokensPerMillisecond,
  event: ASSUMED_RATE.millisecondsPerToken,
  plain: ASSUMED_RATE.plainMilliseconds,
};

/** What is known of a service. */
export class ServiceKnowledge {
  readonly stating = new StatingEndpoints();
  readonly endpoints = new Map<string, EndpointRates>();
  loadEffect: LoadEffect = NO_LOAD_EFFECT;
  /** Statements of a work factor so far. */
  statements = 0;
  private firstEvents: FirstEventPoints = [];
  private eventTokens = NO_ESTIMATE;
  /** Tokens of an event; undefined until it is computed from the estimate. */
  private computedTokens: number | undefined;
  private typical = ASSUMED_DURATIONS;
  private typicalUntil = -Infinity;

  constructor(readonly name: string) {}

  /**
   * Records a first event; returns the milliseconds to one where the whole prompt
   * is cached, undefined if that is not known.
   */
  baseAfter(first: Omit<FirstEvent, 'baseMilliseconds'>): number | undefined {
    const milliseconds = firstEventWork(first);
    if (milliseconds !== undefined) {
      const {uncachedTokens} = first;
      const point = {uncachedTokens, milliseconds};
      this.firstEvents = withPoint(this.firstEvents, point);
    }
    return baseMilliseconds(this.firstEvents);
  }

  /** Records that a whole stream has had so many events. */
  recordStream(outputTokens: number, events: number, now: number): void {
    const sample = tokensPerEvent(outputTokens, events);
    if (sample === undefined) return;
    this.eventTokens = afterSample(this.eventTokens, sample, now);
    this.computedTokens = undefined;
  }

  /** Records the tokens of an event that another host has learned. */
  recordReportedTokens(tokens: number, now: number): void {
    this.eventTokens = afterReport(this.eventTokens, tokens, now);
    this.computedTokens = undefined;
  }

  /** Tokens of an event of a stream; undefined before a whole one has come. */
  get tokensPerEvent(): number | undefined {
    const {samples, reports} = this.eventTokens;
    if (weightOf(this.eventTokens) === 0) return undefined;
    const values = samples.length > 0 ? samples : reports;
    this.computedTokens ??= valueOf(this.eventTokens, quantileOf(values, 0.5));
    return this.computedTokens;
  }

  /** The durations that are typical of the service’s endpoints. */
  typicalDurations(now: number): TypicalDurations {
    if (now < this.typicalUntil) return this.typical;
    const known = [...this.endpoints.values()].map(endpoint =>
      endpoint.knownEstimates(),
    );
    const median = (kind: keyof Durations) => {
      const values = known.flatMap(estimates => estimates[kind] ?? []);
      if (values.length === 0) return ASSUMED_DURATIONS[kind];
      return quantileOf(values, 0.5);
    };
    this.typical = {
      prompt: median('prompt'),
      event: median('event'),
      plain: median('plain'),
    };
    this.typicalUntil = now + TYPICAL_MILLISECONDS;
    return this.typical;
  }

  /** Has the typical durations computed anew when they are next asked for. */
  forgetTypicalDurations(): void {
    this.typicalUntil = -Infinity;
  }

  /** The rate that is typical of the service’s endpoints. */
  typicalRate(now: number): ServiceRate {
    const endpoints = [...this.endpoints.values()];
    const stating = endpoints.filter(({id}) => this.stating.has(id));
    const usual = stating.map(({factor}) => factor.usual);
    const known = endpoints.map(endpoint => endpoint.certaintyAt(now));
    const observedAt = endpoints.map(endpoint => endpoint.observedAt);
    return this.toRate(this.typicalDurations(now), {
      workFactor: usual.length > 0 ? quantileOf(usual, 0.5) : 1,
      certainty: Math.max(0, ...known),
      observedAt: Math.max(-Infinity, ...observedAt),
    });
  }

  /** Durations as a rate. */
  toRate(
    {prompt, event, plain}: Durations,
    rest: Pick<ServiceRate, 'workFactor' | 'certainty' | 'observedAt'>,
  ): ServiceRate {
    const tokens = this.tokensPerEvent;
    // Without the tokens of an event, only ratios between endpoints are known.
    const millisecondsPerToken =
      tokens === undefined
        ? (ASSUMED_RATE.millisecondsPerToken * event) / this.typical.event
        : event / tokens;
    return {
      prefillTokensPerMillisecond: 1 / prompt,
      millisecondsPerToken,
      plainMilliseconds: plain,
      ...rest,
    };
  }
}
