/**
 * The slots that a cold endpoint can still offer. The holder of the zone's
 * lease relies only on what it has observed: all grants from the time when the
 * endpoint was warm must have expired, and a load report that covers that
 * expiry must show how many requests are running.
 */
import type {Endpoint} from '../configuration/index.js';
import {
  totalCommittedSlots,
  GRANT_LIFETIME_MILLISECONDS,
  type AllocatorState,
  type EndpointLimit,
} from '../credits/index.js';
import type {EndpointObservation} from './monitor.js';

/** Longest time by which a load report lags behind the endpoint. */
const MAX_REPORT_LAG_MILLISECONDS = 2_000;

/**
 * The slots that may be granted at a cold endpoint, with its last load report.
 * There are none unless the endpoint was observed to be cold and a load report
 * covers the expiry of all grants from before. Requests that it reports as
 * running and that no grant accounts for reduce the slots.
 */
export function coldEndpointLimit(
  {name: endpoint, coldSlots}: Endpoint,
  observation: EndpointObservation | undefined,
  allocator: AllocatorState,
  now: number,
): EndpointLimit {
  const noSlots = {endpoint, slots: 0};
  if (!observation || observation.state !== 'cold') return noSlots;
  const {running, requestedAt, since} = observation;
  const report = {running, covers: requestedAt - MAX_REPORT_LAG_MILLISECONDS};
  if (report.covers < since + GRANT_LIFETIME_MILLISECONDS)
    return {...noSlots, report};
  const unaccounted =
    running - totalCommittedSlots(allocator, {...noSlots, report}, now);
  const slots = Math.max(coldSlots - Math.max(unaccounted, 0), 0);
  return {endpoint, slots, report};
}
