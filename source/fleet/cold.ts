/**
 * What a cold endpoint still bears. The holder of the zone's lease counts on
 * nothing that it has not seen: grants from when the endpoint was warm must
 * have lapsed, and a report asked for after that must say what is running
 * there that no host has told it of.
 */
import type {Endpoint} from '../configuration/index.js';
import {CREDIT_MILLISECONDS, type Grantor} from '../credits/index.js';
import type {Sighting} from './watch.js';

/** Longest time by which a load report lags, in milliseconds. */
const REPORT_LAG_MILLISECONDS = 2_000;

/** Places at a cold endpoint that can be granted to hosts. */
export function coldPlaces(
  endpoint: Endpoint,
  sighting: Sighting | undefined,
  {hosts}: Grantor,
  now: number,
): number {
  if (!sighting || sighting.state !== 'cold') return 0;
  const settled =
    sighting.since + CREDIT_MILLISECONDS + REPORT_LAG_MILLISECONDS;
  if (sighting.askedAt < settled) return 0;
  if (now - sighting.askedAt > REPORT_LAG_MILLISECONDS) return 0;
  let told = 0;
  for (const {inUse} of hosts.values()) told += inUse.get(endpoint.name) ?? 0;
  const foreign = Math.max(sighting.running - told, 0);
  return Math.max(endpoint.coldSlots - foreign, 0);
}
