/** The descriptor budget of one host, with its metrics. */
import type {Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {descriptorBudgetOf, type DescriptorBudget} from './budget.js';
import {CallerSlots, type CallerPressure, type CallerSlot} from './callers.js';
import {DESCRIPTOR_USES, openDescriptors} from './counts.js';
import {EndpointRoom} from './endpoints.js';
import {descriptorShortages, usedFields} from './shortages.js';

/** Time without a connection that was closed or refused after which the budget counts as left. */
const LEFT_MILLISECONDS = 5_000;

/** What the descriptors of a host are made from. */
export interface HostDescriptorsOptions {
  /** What the process may have open; undefined if no limit is known. */
  readonly limit: number | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The descriptors of one host. */
export class HostDescriptors {
  readonly budget: DescriptorBudget | undefined;
  /** Room for connections to endpoints. */
  readonly endpoints: EndpointRoom;
  private isReached = false;
  private pressedAt = 0;

  constructor(private readonly options: HostDescriptorsOptions) {
    const {limit, clock, metrics} = options;
    this.budget = limit === undefined ? undefined : descriptorBudgetOf(limit);
    const {budget} = this;
    descriptorShortages.reportTo(options);
    this.endpoints = new EndpointRoom({
      budget,
      counts: openDescriptors,
      clock,
      onRefused: () => this.notePressure('endpoints', 'refused'),
    });
    for (const use of DESCRIPTOR_USES) {
      metrics.gauge('open-descriptors', {use}, () => openDescriptors.of(use));
      if (budget) metrics.gauge('descriptor-budget', {use}, () => budget[use]);
    }
    if (budget) metrics.gauge('descriptor-limit', {}, () => budget.limit);
  }

  /** Creates the account of callers' connections. */
  createCallerSlots<Slot extends CallerSlot>(): CallerSlots<Slot> {
    return new CallerSlots<Slot>({
      budget: this.budget,
      clock: this.options.clock,
      onPressure: pressure => this.notePressure('callers', pressure),
    });
  }

  /** Counts a connection that was closed or refused, and logs the first one. */
  private notePressure(
    use: 'callers' | 'endpoints',
    pressure: CallerPressure,
  ): void {
    const {clock, logger, metrics} = this.options;
    metrics.count('descriptor-pressure', {use, pressure});
    this.pressedAt = clock.monotonic();
    if (this.isReached) return;
    this.isReached = true;
    const limit = this.budget?.limit ?? 0;
    logger.warn('descriptor-budget-reached', {use, limit, ...usedFields()});
    this.watch(LEFT_MILLISECONDS);
  }

  /** Looks after a while whether the budget has been left. */
  private watch(after: number): void {
    const {clock, logger} = this.options;
    clock.after(after, () => {
      const left = this.pressedAt + LEFT_MILLISECONDS - clock.monotonic();
      if (left > 0) return this.watch(left);
      this.isReached = false;
      logger.info('descriptor-budget-left', usedFields());
    });
  }
}
