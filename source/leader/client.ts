/** The platform calls that only the leader may make. */

/** The leader on whose behalf a call is made. */
export interface Leader {
  /** Name of the host. */
  readonly name: string;
  /** Fencing token; each new leader has a higher one. */
  readonly fence: number;
  /**
   * Whether a call may still be sent. To be checked in the turn of the event
   * loop in which the call is written.
   */
  readonly mayAct: () => boolean;
}

/** For each team, the number of its requests that endpoints began in a window. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** The desired number of endpoints of one kind that a service has in a zone. */
export interface ScaleRequest {
  readonly service: string;
  readonly zone: string;
  readonly count: number;
  /** Whether they are the cheap kind, which the platform may take away. */
  readonly reclaimable: boolean;
}

/**
 * The result of a call. `unavailable`: the platform has no endpoints of the
 * kind to give. `withheld`: not sent, as the leader's term was over.
 */
export type CallOutcome = 'done' | 'unavailable' | 'withheld' | 'failed';

/**
 * Client for the platform calls that carry the leader's fencing token. Its
 * methods never throw: a failure is an outcome.
 */
export abstract class FencedPlatformClient {
  /** Reports the usage of a window. */
  abstract reportUsage(
    report: UsageReport,
    leader: Leader,
  ): Promise<CallOutcome>;
  /** Sets the desired number of endpoints. */
  abstract scale(request: ScaleRequest, leader: Leader): Promise<CallOutcome>;
}
