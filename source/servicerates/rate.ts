/** How fast an endpoint serves requests at present, as an immutable value. */

/** What one endpoint can do now. */
export interface ServiceRate {
  /** Uncached prompt tokens that it prefills in a millisecond. */
  readonly prefillTokensPerMillisecond: number;
  /** Milliseconds between two tokens of one response, at its usual load. */
  readonly millisecondsPerToken: number;
  /** Milliseconds that a request without a prompt takes. */
  readonly plainMilliseconds: number;
  /** How long work takes now as a multiple of what is usual there. */
  readonly workFactor: number;
  /** How well it is known: from 0, nothing is known, to 1. */
  readonly certainty: number;
  /** Monotonic milliseconds of the latest observation; -Infinity for none. */
  readonly observedAt: number;
}

/** What is assumed of an endpoint of which nothing is known. */
export const ASSUMED_RATE: ServiceRate = {
  prefillTokensPerMillisecond: 50,
  millisecondsPerToken: 3.1,
  plainMilliseconds: 20,
  workFactor: 1,
  certainty: 0,
  observedAt: -Infinity,
};
