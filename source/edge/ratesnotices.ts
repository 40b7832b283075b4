/** What is logged and measured of the service rates of endpoints. */
import type {Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {
  RatesChange,
  ServiceRate,
  ServiceRates,
} from '../servicerates/index.js';

const MAX_LOGGED_TEXT_LENGTH = 80;

/** What the notices are made with. */
export interface RatesNoticesParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly rates: () => ServiceRates;
}

/** Logs and measures the rates of a host's endpoints. */
export class RatesNotices {
  /** Services whose rates have gauges. */
  private readonly measured = new Set<string>();

  constructor(private readonly parts: RatesNoticesParts) {}

  /**
   * Logs that endpoints state how long work takes there, or no longer do, and the
   * first load of an endpoint that is not as it should be.
   */
  handle(change: RatesChange): void {
    const {logger, metrics} = this.parts;
    if (change.kind === 'use') {
      const {service, isInUse} = change;
      this.measure(service);
      const event = isInUse ? 'work-factors-stated' : 'work-factors-ended';
      logger.info(event, {service});
      return;
    }
    metrics.count('load-malformed');
    const {endpoint, text, isFirst} = change;
    if (!isFirst) return;
    const shown = text.slice(0, MAX_LOGGED_TEXT_LENGTH);
    logger.warn('load-malformed', {endpoint, text: shown});
  }

  /** Adds the gauges of a service, once. */
  private measure(service: string): void {
    if (this.measured.has(service)) return;
    this.measured.add(service);
    const {metrics, clock, rates} = this.parts;
    const gauge = (name: string, read: (rate: ServiceRate) => number) =>
      metrics.gauge(name, {service}, () => {
        const rate = rates().typicalRate(service, clock.monotonic());
        return rate ? read(rate) : 0;
      });
    gauge(
      'rate-prefill-tokens-per-millisecond',
      rate => rate.prefillTokensPerMillisecond,
    );
    gauge('rate-milliseconds-per-token', rate => rate.millisecondsPerToken);
    gauge('rate-plain-milliseconds', rate => rate.plainMilliseconds);
    gauge('rate-work-factor', rate => rate.workFactor);
    metrics.gauge('work-factor-endpoints', {service}, () =>
      rates().statingCount(service),
    );
    metrics.gauge('work-factor-statements', {service}, () =>
      rates().statementCount(service),
    );
  }
}
