/**
 * What a request lacks to start now at the endpoints of its service. A host’s own
 * limits at engines keep the hosts of a large fleet from filling the engines
 * together (`share.ts`); they count only what is as urgent as the request.
 */
import type {CapacityShortage, StreamContinuation} from '../admission/index.js';
import type {EligibleSet} from './eligibleset.js';
import type {CountedLoad} from './ownloads.js';
import {hostPrefillLimit, hostSlotLimit, type HostLimitInput} from './share.js';

/**
 * Requests that an endpoint of a plain service, one without inference engines,
 * may have for each of its slots.
 */
const PLAIN_REQUESTS_PER_SLOT = 1.5;
/**
 * Fraction of the engines’ slots that a request may fill beside more urgent ones.
 */
const SLOT_FRACTION_BESIDE_URGENT = 0.85;

/** The requests of all hosts that an endpoint is believed to have, by its id. */
type RequestsAt = (id: string) => number;

/** What is known of the engines of a set. */
export interface EngineUse {
  /** What this host has there that is as urgent as the request. */
  readonly own: CountedLoad;
  readonly demand: HostLimitInput;
  readonly requestsAt: RequestsAt;
}

/**
 * What a request lacks at engines; undefined for nothing.
 *
 * ```ts
 * const shortage = engineShortage(eligible, {own, demand, requestsAt});
 * ```
 */
export function engineShortage(
  engines: EligibleSet,
  {own, demand, requestsAt}: EngineUse,
): CapacityShortage | undefined {
  const fraction = own.moreUrgentRequests > 0 ? SLOT_FRACTION_BESIDE_URGENT : 1;
  const slotLimit = hostSlotLimit(engines.slots, demand);
  if (own.requests >= slotLimit * fraction) return 'host-requests';
  const prefillLimit = hostPrefillLimit(engines.size, demand);
  if (own.prefillMilliseconds >= prefillLimit * fraction) return 'host-prefill';
  return slotShortage(engines, fraction, requestsAt);
}

/**
 * What a stream that has begun lacks to go on at the engines of its version. The
 * host's own limits do not count: such streams are few, and had their place.
 */
export function continuationShortage(
  engines: EligibleSet,
  {softwareVersion}: StreamContinuation,
  requestsAt: RequestsAt,
): CapacityShortage | undefined {
  const suitable = engines.ofVersion(softwareVersion);
  if (suitable.size === 0) return 'no-endpoint';
  return slotShortage(suitable, 1, requestsAt);
}

/** What a request lacks at endpoints without engines; undefined for nothing. */
export function plainShortage(
  endpoints: EligibleSet,
  requestsAt: RequestsAt,
): CapacityShortage | undefined {
  return slotShortage(endpoints, PLAIN_REQUESTS_PER_SLOT, requestsAt);
}

function slotShortage(
  {endpoints}: EligibleSet,
  requestsPerSlot: number,
  requestsAt: RequestsAt,
): CapacityShortage | undefined {
  const hasFreeSlot = endpoints.some(
    ({entry}) => requestsAt(entry.id) < entry.slots * requestsPerSlot,
  );
  return hasFreeSlot ? undefined : 'endpoints-full';
}
