/**
 * How much longer work takes the more requests run at an endpoint. It is learned
 * for a service from how the durations at each endpoint vary with its load, so
 * that a busy endpoint is not taken for a slow one, nor an uneven one for a busy
 * one.
 */

/** What is known of the effect of load on a service’s endpoints. */
export interface LoadEffect {
  /** Decaying sums over the samples of all endpoints. */
  readonly covariance: number;
  readonly variance: number;
  /** Mean part of the slots that was in use. */
  readonly utilization: number;
  readonly count: number;
}

/** The means of one endpoint, from which its samples deviate. */
export interface EndpointMeans {
  readonly utilization: number;
  /** Of the logarithms of durations. */
  readonly logarithm: number;
  readonly count: number;
}

/** Samples over which the means and sums are taken. */
const MEAN_SAMPLES = 32;
const SUM_DECAY = 0.995;
/** Variance that is added, so that few samples show no effect. */
const ASSUMED_VARIANCE = 0.5;
/** Highest effect of all slots in use, as a logarithm. */
const MAX_SLOPE = 1.5;
const MAX_UTILIZATION = 1.5;
/** Deviation of a logarithm up to which a sample counts. */
const MAX_DEVIATION = 1;

/** The effect before the first sample. */
export const NO_LOAD_EFFECT: LoadEffect = {
  covariance: 0,
  variance: 0,
  utilization: 0,
  count: 0,
};
export const NO_MEANS: EndpointMeans = {utilization: 0, logarithm: 0, count: 0};

/**
 * The effect of the load on durations, as a factor that is 1 at the load that
 * the service usually has.
 *
 * ```ts
 * const factor = loadEffectAt(effect, running / slots);
 * ```
 */
export function loadEffectAt(effect: LoadEffect, utilization: number): number {
  if (effect.count === 0) return 1;
  const {covariance, variance} = effect;
  const slope = Math.min(
    Math.max(covariance / (variance + ASSUMED_VARIANCE), 0),
    MAX_SLOPE,
  );
  const used = Math.min(utilization, MAX_UTILIZATION);
  return Math.exp(slope * (used - effect.utilization));
}

/** The effect and the endpoint’s means after a duration at a load. */
export function afterDuration(
  effect: LoadEffect,
  means: EndpointMeans,
  {milliseconds, utilization}: {milliseconds: number; utilization: number},
): {effect: LoadEffect; means: EndpointMeans} {
  const used = Math.min(utilization, MAX_UTILIZATION);
  const usedDeviation = means.count === 0 ? 0 : used - means.utilization;
  const deviation =
    means.count === 0 ? 0 : clipped(Math.log(milliseconds) - means.logarithm);
  const counted = means.count === 0 ? Math.log(milliseconds) : deviation;
  const meanCount = Math.min(means.count + 1, MEAN_SAMPLES);
  const count = Math.min(effect.count + 1, MEAN_SAMPLES);
  return {
    effect: {
      covariance: effect.covariance * SUM_DECAY + usedDeviation * deviation,
      variance: effect.variance * SUM_DECAY + usedDeviation ** 2,
      utilization: effect.utilization + (used - effect.utilization) / count,
      count,
    },
    means: {
      utilization: means.utilization + (used - means.utilization) / meanCount,
      logarithm: means.logarithm + counted / meanCount,
      count: meanCount,
    },
  };
}

function clipped(deviation: number): number {
  return Math.min(Math.max(deviation, -MAX_DEVIATION), MAX_DEVIATION);
}
