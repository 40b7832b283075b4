/**
 * What a cold endpoint still bears. The holder of the zone's lease counts on
 * nothing that it has not seen: grants from when the endpoint was warm must
 * have lapsed, and a report that covers that moment must say what is running.
 */
import type {Endpoint} from '../configuration/index.js';
import {
  totalCommittedSlots,
  GRANT_LIFETIME_MILLISECONDS,
  type AllocatorState,
  type EndpointLimit,
} from '../credits/index.js';
import type {Sighting} from './watch.js';

/** Longest time by which a load report lags, in milliseconds. */
const REPORT_LAG_MILLISECONDS = 2_000;

/** The limit of a cold endpoint, with its last report. */
export function coldLimit(
  {name: endpoint, coldSlots}: Endpoint,
  sighting: Sighting | undefined,
  grantor: AllocatorState,
  now: number,
): EndpointLimit {
  const none = {endpoint, slots: 0};
  if (!sighting || sighting.state !== 'cold') return none;
  const {running, askedAt, since} = sighting;
  const report = {running, covers: askedAt - REPORT_LAG_MILLISECONDS};
  if (report.covers < since + GRANT_LIFETIME_MILLISECONDS)
    return {...none, report};
  const unexplained =
    running - totalCommittedSlots(grantor, {...none, report}, now);
  const slots = Math.max(coldSlots - Math.max(unexplained, 0), 0);
  return {endpoint, slots, report};
}
