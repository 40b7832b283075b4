/**
 * The estimate of a positive quantity, such as a duration, from samples that may
 * be far off. Medians of a window follow a lasting change within half a window,
 * and samples that are far off move them little.
 */

/** An estimate, as an immutable value. */
export interface Estimate {
  /** The latest samples of this host, the newest last. */
  readonly samples: readonly number[];
  /** The latest estimates of other hosts, the newest last. */
  readonly reports: readonly number[];
  /** Samples of this host so far. */
  readonly count: number;
  /** Monotonic milliseconds of the last sample or report; -Infinity for none. */
  readonly observedAt: number;
}

/** Samples in a window. */
const MAX_SAMPLES = 15;
/** Reports of other hosts in a window. */
const MAX_REPORTS = 5;
/** Weight of a report beside that of a sample: it summarizes several. */
const REPORT_WEIGHT = 4;
/** Weight of what is assumed beside that of a sample. */
const PRIOR_WEIGHT = 1;

/** The estimate before the first sample. */
export const NO_ESTIMATE: Estimate = {
  samples: [],
  reports: [],
  count: 0,
  observedAt: -Infinity,
};

/** The estimate after a sample of this host. */
export function afterSample(
  before: Estimate,
  sample: number,
  now: number,
): Estimate {
  const samples = [...before.samples, sample].slice(-MAX_SAMPLES);
  const count = before.count + 1;
  return {...before, samples, count, observedAt: now};
}

/** The estimate after a report of another host, from its own samples alone. */
export function afterReport(
  before: Estimate,
  report: number,
  now: number,
): Estimate {
  const reports = [...before.reports, report].slice(-MAX_REPORTS);
  return {...before, reports, observedAt: now};
}

/** How much is known: the samples in the window, and reports by their weight. */
export function weightOf({samples, reports}: Estimate): number {
  return samples.length + reports.length * REPORT_WEIGHT;
}

/**
 * The quantity, as the weighted geometric mean of this host’s samples, of the
 * reports and of what is assumed without them. `quantile` is the part of the
 * samples that is below the value taken from them.
 *
 * ```ts
 * const duration = valueOf(estimate, typicalDuration, 0.4);
 * ```
 */
export function valueOf(
  {samples, reports}: Estimate,
  prior: number,
  quantile = 0.5,
): number {
  let sum = Math.log(prior) * PRIOR_WEIGHT;
  let weight = PRIOR_WEIGHT;
  if (samples.length > 0) {
    sum += Math.log(quantileOf(samples, quantile)) * samples.length;
    weight += samples.length;
  }
  if (reports.length > 0) {
    sum += Math.log(quantileOf(reports, 0.5)) * reports.length * REPORT_WEIGHT;
    weight += reports.length * REPORT_WEIGHT;
  }
  return Math.exp(sum / weight);
}

/** The value of a list below which the given part of it is. */
export function quantileOf(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = [...values].sort((one, other) => one - other);
  const index = Math.round((sorted.length - 1) * quantile);
  return sorted[index] ?? NaN;
}
