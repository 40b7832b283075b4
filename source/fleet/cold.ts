/**
 * What a cold endpoint still bears. The holder of the zone's lease counts on
 * nothing that it has not seen: grants from when the endpoint was warm must
 * have lapsed, and a report that covers that moment must say what is running.
 */
import type {Endpoint} from '../configuration/index.js';
import {
  committedAt,
  CREDIT_MILLISECONDS,
  type Grantor,
  type Limit,
} from '../credits/index.js';
import type {Sighting} from './watch.js';

/** Longest time by which a load report lags, in milliseconds. */
const REPORT_LAG_MILLISECONDS = 2_000;

/** The limit of a cold endpoint, with its last report. */
export function coldLimit(
  {name: endpoint, coldSlots}: Endpoint,
  sighting: Sighting | undefined,
  grantor: Grantor,
  now: number,
): Limit {
  const none = {endpoint, places: 0};
  if (!sighting || sighting.state !== 'cold') return none;
  const {running, askedAt, since} = sighting;
  const report = {running, covers: askedAt - REPORT_LAG_MILLISECONDS};
  if (report.covers < since + CREDIT_MILLISECONDS) return {...none, report};
  const unexplained = running - committedAt(grantor, {...none, report}, now);
  const places = Math.max(coldSlots - Math.max(unexplained, 0), 0);
  return {endpoint, places, report};
}
