/**
 * What hosts tell each other of the rates of endpoints. A report has few whole
 * numbers, and reports are spread over the pulses so that these grow little.
 */
import * as z from 'zod';

import type {Durations, EndpointRates} from './endpointrates.js';
import {MAX_WORK_FACTOR} from './workfactor.js';

const MAX_FIGURE = 1_000_000;
const MAX_ID_LENGTH = 256;

/** A rate in units that make it a small whole number; 0 if it is not known. */
const figureSchema = z.number().int().min(0).max(MAX_FIGURE);

/** What a host has itself learned of an endpoint. */
export const rateReportSchema = z.tuple([
  z.string().max(MAX_ID_LENGTH).describe('Id of the endpoint.'),
  figureSchema.describe('Prompt tokens prefilled in 10 ms.'),
  figureSchema.describe('Tenths of a millisecond between two events.'),
  figureSchema.describe('Tenths of a token in an event.'),
  figureSchema.describe('Tenths of a millisecond of work without a prompt.'),
  figureSchema.describe('Usual work factor in percent; 0 if none is stated.'),
]);
export type RateReport = z.infer<typeof rateReportSchema>;

/** Units of the figures. */
const TENTHS = 10;
const HUNDREDTHS = 100;
/** Most reports that a host reads of a pulse. */
export const MAX_RATE_REPORTS = 64;
/** Bytes of a report beside its id. */
const BYTES_BESIDE_ID = 16;
/** Bytes of the field that holds the reports. */
const FIELD_BYTES = 10;
/** Most bytes that are saved for later pulses. */
const MAX_SAVED_BYTES = 256;
/** Change of an estimate from which it is reported again. */
const MIN_CHANGE = 0.05;
/**
 * Time after which an endpoint with new samples is reported even if its estimate
 * has not changed, for hosts that have started meanwhile.
 */
const REPEAT_MILLISECONDS = 30_000;

/** The last report of an endpoint by this host. */
interface LastReport {
  readonly at: number;
  readonly sampleCount: number;
  readonly estimates: Partial<Durations>;
}

/** Chooses what is reported in each pulse. */
export class ReportSchedule {
  private readonly last = new Map<string, LastReport>();
  private savedBytes = 0;

  /**
   * The reports for the next pulse, of which the least recently reported
   * endpoints come first. `bytes` is what they may add to a pulse on average.
   *
   * ```ts
   * const reports = schedule.take(endpoints, {bytes: 40, now});
   * ```
   */
  take(
    endpoints: readonly EndpointRates[],
    {bytes, now}: {bytes: number; now: number},
  ): RateReport[] {
    this.savedBytes = Math.min(this.savedBytes + bytes, MAX_SAVED_BYTES);
    let left = this.savedBytes - FIELD_BYTES;
    const reports: RateReport[] = [];
    for (const endpoint of this.due(endpoints, now)) {
      const size = endpoint.id.length + BYTES_BESIDE_ID;
      if (size > left) break;
      left -= size;
      reports.push(reportOf(endpoint));
      this.last.set(endpoint.id, {
        at: now,
        sampleCount: endpoint.sampleCount,
        estimates: endpoint.ownEstimates(),
      });
    }
    if (reports.length > 0) this.savedBytes = left;
    return reports;
  }

  /** Discards an endpoint that has left or restarted. */
  remove(endpoint: string): void {
    this.last.delete(endpoint);
  }

  private due(
    endpoints: readonly EndpointRates[],
    now: number,
  ): EndpointRates[] {
    const lastAt = ({id}: EndpointRates) => this.last.get(id)?.at ?? -Infinity;
    return endpoints
      .filter(endpoint => this.isDue(endpoint, now))
      .map(endpoint => ({endpoint, at: lastAt(endpoint)}))
      .sort((one, other) => (one.at < other.at ? -1 : 1))
      .map(({endpoint}) => endpoint);
  }

  private isDue(endpoint: EndpointRates, now: number): boolean {
    const last = this.last.get(endpoint.id);
    if (last && last.sampleCount === endpoint.sampleCount) return false;
    const estimates = endpoint.ownEstimates();
    const isKnown = Object.keys(estimates).length > 0;
    if (!isKnown) return false;
    if (!last || now - last.at >= REPEAT_MILLISECONDS) return true;
    return hasChanged(last.estimates, estimates);
  }
}

/** The durations of a report that are known. */
export function durationsOf([
  ,
  prefill,
  event,
  ,
  plain,
]: RateReport): Partial<Durations> {
  return {
    ...(prefill > 0 && {prompt: TENTHS / prefill}),
    ...(event > 0 && {event: event / TENTHS}),
    ...(plain > 0 && {plain: plain / TENTHS}),
  };
}

/** Tokens of an event according to a report; undefined if not known. */
export function eventTokensOf([, , , tokens]: RateReport): number | undefined {
  return tokens > 0 ? tokens / TENTHS : undefined;
}

/** The usual work factor of a report; undefined if none is stated. */
export function usualFactorOf(report: RateReport): number | undefined {
  const percent = report[5];
  if (percent === 0) return undefined;
  return Math.min(percent / HUNDREDTHS, MAX_WORK_FACTOR);
}

function reportOf(endpoint: EndpointRates): RateReport {
  const {id, service, factor} = endpoint;
  const {prompt, event, plain} = endpoint.ownEstimates();
  return [
    id,
    figure(prompt === undefined ? 0 : TENTHS / prompt),
    figure((event ?? 0) * TENTHS),
    figure((service.tokensPerEvent ?? 0) * TENTHS),
    figure((plain ?? 0) * TENTHS),
    service.stating.has(id)
      ? Math.max(figure(factor.usual * HUNDREDTHS), 1)
      : 0,
  ];
}

function figure(value: number): number {
  return Math.min(Math.round(value), MAX_FIGURE);
}

function hasChanged(
  before: Partial<Durations>,
  after: Partial<Durations>,
): boolean {
  const kinds = ['prompt', 'event', 'plain'] as const;
  return kinds.some(kind => {
    const value = after[kind];
    const last = before[kind];
    if (value === undefined || last === undefined) return value !== last;
    return Math.abs(Math.log(value / last)) > MIN_CHANGE;
  });
}
