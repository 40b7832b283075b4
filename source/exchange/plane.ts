/**
 * What the requests of a host share. The budget is the only value in it that
 * changes, and each change replaces it.
 */
import type {Admission, AdmissionRequest} from '../admission/index.js';
import type {RetryTokenBucket} from '../attempt/index.js';
import type {Clock} from '../clock/index.js';
import type {EndpointAdapter, LoadReport} from '../engine/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {EndpointTable} from '../placement/index.js';
import type {Settings} from '../settings/index.js';
import type {Exchange} from './exchange.js';

/** The parts of a host that serve requests. */
export interface Plane {
  readonly admission: Admission;
  readonly endpoints: EndpointTable;
  readonly adapter: EndpointAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: Settings;
  /** Called with what an answer says of its endpoint. */
  readonly observed: (endpoint: string, state: LoadReport['state']) => void;
  retryBudget: RetryTokenBucket;
}

/** The ticket of a request; one that comes again waits anew, but in its order. */
export function ticketOf(
  exchange: Exchange,
  {clock}: Plane,
  estimate: number,
  prefix: string,
): AdmissionRequest {
  const {caller, match, arrived} = exchange;
  const {name, tier, floorShare, cheapShare, queueBound} = match.class;
  const {pool, repeatable} = match.route;
  const spent = exchange.attempts > 0 ? clock.monotonic() - arrived : 0;
  return {
    group: {pool, className: name, tier, floorShare, cheapShare, repeatable},
    team: caller.team,
    weight: caller.weight,
    estimate,
    arrived,
    bound: queueBound + spent,
    prefix,
  };
}
