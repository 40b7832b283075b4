/**
 * How much of each endpoint this host may use. Several hosts share every
 * endpoint, so no host may decide that by itself.
 */
import type {EndpointState} from './endpoint.js';

/** The slots of each endpoint that are assigned to this host. */
export abstract class SlotQuotas {
  /**
   * Requests that this host may run at the endpoint at once, at the monotonic
   * time `now`.
   */
  abstract slotsAt(endpoint: EndpointState, now: number): number;
}
