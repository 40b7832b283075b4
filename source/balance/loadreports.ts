/** The loads that hosts put on endpoints, as they report them to each other. */
import type {EndpointLoads} from './endpointloads.js';
import {isUnused} from './loadhistory.js';

/** The load that one host puts on one endpoint, as reported to other hosts. */
export interface EndpointLoadReport {
  readonly id: string;
  readonly requests: number;
  /** Milliseconds of prefill that this host’s requests still wait for there. */
  readonly reading: number;
}

/** The load of this host’s requests at each endpoint, for the other hosts. */
export function loadReports(loads: EndpointLoads): EndpointLoadReport[] {
  const reports: EndpointLoadReport[] = [];
  for (const [id, {ownRequests, ownPrefillMilliseconds}] of loads.entries()) {
    if (ownRequests === 0) continue;
    reports.push({
      id,
      requests: ownRequests,
      reading: Math.round(ownPrefillMilliseconds),
    });
  }
  return reports;
}

/**
 * Replaces what the other hosts have at some endpoints by the sums of their
 * reports. `now` is in monotonic milliseconds.
 */
export function applyLoadReports(
  loads: EndpointLoads,
  ids: Iterable<string>,
  reports: readonly EndpointLoadReport[],
  now: number,
): void {
  const sums = sumByEndpoint(reports);
  for (const id of ids) {
    const {requests = 0, reading = 0} = sums.get(id) ?? {};
    const {otherRequests, history} = loads.get(id);
    if (requests === 0 && otherRequests === 0) {
      if (!isUnused(history)) loads.apply(id, {kind: 'unused', now});
      continue;
    }
    const prefillMilliseconds = reading;
    const kind = 'reported';
    loads.apply(id, {kind, requests, prefillMilliseconds, now});
  }
}

/** The sums of the reports about each endpoint. */
function sumByEndpoint(
  reports: readonly EndpointLoadReport[],
): ReadonlyMap<string, {requests: number; reading: number}> {
  const sums = new Map<string, {requests: number; reading: number}>();
  for (const {id, requests, reading} of reports) {
    const sum = sums.get(id);
    if (sum) {
      sum.requests += requests;
      sum.reading += reading;
    } else sums.set(id, {requests, reading});
  }
  return sums;
}
