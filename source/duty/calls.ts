/** The calls that only the holder of the duties makes. */

/** Who makes a call. */
export interface Holder {
  readonly name: string;
  /** Increases with each holder. */
  readonly fence: number;
  /** Whether the call may be sent; asked in the turn of the write. */
  readonly mayAct: () => boolean;
}

/** The requests of each team that endpoints began in one window. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** How many endpoints of one kind a service is to have in a zone. */
export interface EndpointOrder {
  readonly service: string;
  readonly zone: string;
  readonly count: number;
  /** Whether they are of the cheap kind that may be taken away. */
  readonly reclaimable: boolean;
}

/** What became of a call; `withheld` was not sent. */
export type CallOutcome = 'done' | 'unavailable' | 'withheld' | 'failed';

/** The platform's interface for duties. Calls never throw. */
export abstract class DutyCalls {
  abstract report(report: UsageReport, holder: Holder): Promise<CallOutcome>;
  abstract order(order: EndpointOrder, holder: Holder): Promise<CallOutcome>;
}
