/**
 * The resources that all requests of a host share. Only the retry budget
 * changes; it is immutable itself, so each change replaces it.
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

/** The components of a host that serve requests. */
export interface ServingResources {
  readonly admission: Admission;
  readonly endpoints: EndpointTable;
  readonly adapter: EndpointAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: Settings;
  /** Called with the state that an endpoint reports in a response. */
  readonly onEndpointState: (
    endpoint: string,
    state: LoadReport['state'],
  ) => void;
  retryBudget: RetryTokenBucket;
}

/**
 * Returns the admission request for the next attempt. `estimate` is the expected
 * cost in tokens. A retry may wait for the full queue bound again, but keeps
 * the arrival time that decides its order in the queue.
 */
export function createAdmissionRequest(
  exchange: Exchange,
  {clock}: ServingResources,
  estimate: number,
  prefix: string,
): AdmissionRequest {
  const {caller, match, arrived} = exchange;
  const {name, tier, floorShare, cheapShare, queueBound} = match.class;
  const {pool, repeatable} = match.route;
  const elapsed = exchange.attempts > 0 ? clock.monotonic() - arrived : 0;
  return {
    group: {pool, className: name, tier, floorShare, cheapShare, repeatable},
    team: caller.team,
    weight: caller.weight,
    estimate,
    arrived,
    bound: queueBound + elapsed,
    prefix,
  };
}
