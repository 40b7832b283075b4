/**
 * What has been learned of the load that other hosts put on one endpoint, as an
 * immutable value. It is believed the less the older it is: it ages towards what
 * is usual at that endpoint. A load that aged towards zero would make the
 * endpoints of which least is known look idle, and hosts would all choose those.
 */

/** The load of other hosts at an endpoint. Times are in monotonic milliseconds. */
export interface LoadHistory {
  /** Slow average of their requests. */
  readonly usualRequests: number;
  /** When that average was last updated. */
  readonly averagedAt: number;
  /** Slow average of the milliseconds of prefill that these wait for. */
  readonly usualPrefillMilliseconds: number;
  /** Their requests as the endpoint itself last stated them. */
  readonly statedRequests: number;
  readonly statedAt: number;
  /** Their requests and prefill as they last reported them. */
  readonly reportedRequests: number;
  readonly reportedPrefillMilliseconds: number;
  readonly reportedAt: number;
}

/** The load at an endpoint that is believed to exist now. */
export interface BelievedLoad {
  readonly requests: number;
  readonly prefillMilliseconds: number;
}

/** How fast what is known of the other hosts’ load becomes worthless. */
export interface BeliefAges {
  /** Mean age of what other hosts report when it is applied, in milliseconds. */
  readonly reportAge: number;
  /** Age at which half of the requests are expected to have changed. */
  readonly halfLife: number;
}

/** The part of an endpoint’s load that beliefs are derived from. */
interface LoadWithHistory {
  readonly ownRequests: number;
  readonly ownPrefillMilliseconds: number;
  readonly history: LoadHistory;
}

/** Age at which a load has half its weight in the average. */
const USUAL_HALF_LIFE_MILLISECONDS = 10_000;
/** Requests, or milliseconds of prefill, that count as none. */
const NEGLIGIBLE_LOAD = 0.01;
/** Age at which prefill that was reported is half forgotten. */
const PREFILL_HALF_LIFE_MILLISECONDS = 250;

/** The history of an endpoint of which nothing is known yet. */
export const NO_HISTORY: LoadHistory = {
  usualRequests: 0,
  averagedAt: -Infinity,
  usualPrefillMilliseconds: 0,
  statedRequests: 0,
  statedAt: -Infinity,
  reportedRequests: 0,
  reportedPrefillMilliseconds: 0,
  reportedAt: -Infinity,
};

/**
 * The history after the endpoint has stated how many requests it has of other
 * hosts.
 *
 * ```ts
 * history = withStatement(history, 5, clock.monotonic());
 * ```
 */
export function withStatement(
  before: LoadHistory,
  requests: number,
  now: number,
): LoadHistory {
  const weight = averageWeight(now - before.averagedAt);
  return {
    ...before,
    usualRequests: averaged(before.usualRequests, requests, weight),
    averagedAt: now,
    statedRequests: requests,
    statedAt: now,
  };
}

/**
 * The history after the other hosts have reported the sum of their load there.
 * Names each field in place of a spread, since it runs for each endpoint with
 * each report.
 */
export function withReport(
  before: LoadHistory,
  {requests, prefillMilliseconds}: BelievedLoad,
  now: number,
): LoadHistory {
  const weight = averageWeight(now - before.averagedAt);
  const prefillWeight = averageWeight(now - before.reportedAt);
  return {
    usualRequests: averaged(before.usualRequests, requests, weight),
    averagedAt: now,
    usualPrefillMilliseconds: averaged(
      before.usualPrefillMilliseconds,
      prefillMilliseconds,
      prefillWeight,
    ),
    statedRequests: before.statedRequests,
    statedAt: before.statedAt,
    reportedRequests: requests,
    reportedPrefillMilliseconds: prefillMilliseconds,
    reportedAt: now,
  };
}

/** Whether other hosts are not known to use the endpoint at all. */
export function isUnused(history: LoadHistory): boolean {
  const {usualRequests, usualPrefillMilliseconds, reportedRequests} = history;
  return usualRequests + usualPrefillMilliseconds + reportedRequests === 0;
}

/**
 * Computes the load that endpoints are believed to have at one time: this host’s
 * own, which it counts exactly, and that of the others by the latest statement
 * or report.
 *
 * ```ts
 * const beliefs = new Beliefs({reportAge: 1_200, halfLife: 1_000}, now);
 * const {requests} = beliefs.of(load);
 * ```
 */
export class Beliefs {
  /** The age whose weight was computed last; reports come for all at once. */
  private reportAge = Infinity;
  private reportWeight = 0;
  private prefillWeight = 0;

  constructor(
    private readonly ages: BeliefAges,
    private readonly now: number,
  ) {}

  /** The load of all hosts at an endpoint. */
  of({
    ownRequests,
    ownPrefillMilliseconds,
    history,
  }: LoadWithHistory): BelievedLoad {
    const {ages, now} = this;
    this.setReportAge(now - history.reportedAt + ages.reportAge);
    const {usualRequests, usualPrefillMilliseconds} = history;
    const statedAge = now - history.statedAt;
    const otherRequests =
      statedAge < this.reportAge
        ? averaged(
            usualRequests,
            history.statedRequests,
            0.5 ** (statedAge / ages.halfLife),
          )
        : averaged(usualRequests, history.reportedRequests, this.reportWeight);
    const otherPrefill = averaged(
      usualPrefillMilliseconds,
      history.reportedPrefillMilliseconds,
      this.prefillWeight,
    );
    return {
      requests: ownRequests + otherRequests,
      prefillMilliseconds: ownPrefillMilliseconds + otherPrefill,
    };
  }

  private setReportAge(age: number): void {
    if (age === this.reportAge) return;
    this.reportAge = age;
    this.reportWeight = 0.5 ** (age / this.ages.halfLife);
    this.prefillWeight = 0.5 ** (age / PREFILL_HALF_LIFE_MILLISECONDS);
  }
}

/** The weight of a load in the average, so long after the one before it. */
function averageWeight(elapsed: number): number {
  return 1 - 0.5 ** (elapsed / USUAL_HALF_LIFE_MILLISECONDS);
}

function averaged(before: number, value: number, weight: number): number {
  const average = before + (value - before) * weight;
  return average < NEGLIGIBLE_LOAD ? 0 : average;
}
