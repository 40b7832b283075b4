/**
 * The state of the allocator, which runs on the owner of a pool. For every
 * host it keeps the grants that the host may still be using: those that have
 * neither expired nor been replaced by a later grant that the host reports as
 * applied. A new grant never exceeds what these grants leave of the limit.
 *
 * Requests can run longer than the grant under which they were started, so a
 * host that no longer sends demands may still be running some. Warm endpoints
 * tolerate that, and an expired grant no longer counts. For cold endpoints,
 * `countsExpiredGrants` is set: a silent host's last grant counts until the
 * endpoint itself reports fewer running requests, so that the sum over all
 * hosts stays within the limit at every instant.
 */
import type {Demand} from './messages.js';

/** Lifetime of a grant, counted from when the host sent its demand. */
export const GRANT_LIFETIME_MILLISECONDS = 3_000;
/** Most that two hosts' clocks drift apart during the lifetime of a grant. */
export const CLOCK_DRIFT_MILLISECONDS = 250;

/** Requests that an endpoint can run at once, for all hosts together. */
export interface EndpointLimit {
  readonly endpoint: string;
  readonly slots: number;
  /** The endpoint's latest load report, if there is one. */
  readonly report?: LoadReport | undefined;
}

/** A load report of an endpoint. */
export interface LoadReport {
  readonly running: number;
  /**
   * Owner's monotonic milliseconds. The report includes every request that
   * was started before this time and is still running.
   */
  readonly covers: number;
}

/** A grant that its host may still be using. */
interface OutstandingGrant {
  readonly number: number;
  /**
   * Owner’s monotonic milliseconds from which the host cannot be using it, even
   * if the clocks have drifted apart.
   */
  readonly expiresAt: number;
  /** Host’s monotonic milliseconds from which the host does not use it. */
  readonly hostExpiresAt: number;
  /** Slots granted, by endpoint. */
  readonly counts: ReadonlyMap<string, number>;
}

/** What the owner of a pool knows of one host. */
export interface HostAccount {
  readonly demand: Demand;
  /** Running requests that the host reported last, by endpoint. */
  readonly inUse: ReadonlyMap<string, number>;
  readonly outstanding: readonly OutstandingGrant[];
  /** Owner’s monotonic milliseconds at which the last demand arrived. */
  readonly demandReceivedAt: number;
  /** Slots in the latest grant to the host, by endpoint. */
  readonly lastGranted: ReadonlyMap<string, number> | undefined;
}

/** The allocator of one pool in one availability zone; immutable. */
export interface AllocatorState {
  /** Incarnation of the owner. */
  readonly owner: string;
  /**
   * Whether expired grants count until a load report of the endpoint shows
   * that fewer requests are running.
   */
  readonly countsExpiredGrants: boolean;
  /** Owner’s monotonic milliseconds before which it issues no grants. */
  readonly grantsFrom: number;
  readonly limits: readonly EndpointLimit[];
  readonly hosts: ReadonlyMap<string, HostAccount>;
  readonly nextGrantNumber: number;
}

/**
 * The allocator of a new owner. It issues no grants until all grants of a
 * former owner must have expired.
 */
export function emptyAllocator(
  owner: string,
  countsExpiredGrants: boolean,
  now: number,
): AllocatorState {
  const from = now + GRANT_LIFETIME_MILLISECONDS + CLOCK_DRIFT_MILLISECONDS;
  return {
    owner,
    countsExpiredGrants,
    grantsFrom: from,
    limits: [],
    hosts: new Map(),
    nextGrantNumber: 1,
  };
}

/** The allocator with new limits. */
export function setLimits(
  allocator: AllocatorState,
  limits: readonly EndpointLimit[],
): AllocatorState {
  return {...allocator, limits};
}

/**
 * The allocator after a host's demand. Removes the host's grants that had
 * expired on its own clock when it sent the demand, and those before the one
 * that it has applied.
 */
export function recordDemand(
  allocator: AllocatorState,
  host: string,
  demand: Demand,
  now: number,
): AllocatorState {
  const existing = allocator.hosts.get(host);
  const applied = demand.owner === allocator.owner ? demand.applied : 0;
  const outstanding = (existing?.outstanding ?? []).filter(
    ({number, hostExpiresAt}) =>
      number >= applied && hostExpiresAt > demand.sentAt,
  );
  const inUse = new Map(
    demand.inUse.map(({endpoint, count}) => [endpoint, count]),
  );
  const lastGranted = existing?.lastGranted;
  const account = {
    demand,
    inUse,
    outstanding,
    demandReceivedAt: now,
    lastGranted,
  };
  return {...allocator, hosts: new Map(allocator.hosts).set(host, account)};
}

/**
 * The allocator without the demand of a host that is gone. The host's grants
 * still count until they expire. The requests that it last reported as running
 * still count, too, until `removeSilentHosts` removes the host.
 */
export function clearDemand(
  allocator: AllocatorState,
  host: string,
): AllocatorState {
  const existing = allocator.hosts.get(host);
  if (!existing) return allocator;
  const demand = {...existing.demand, classes: []};
  return {
    ...allocator,
    hosts: new Map(allocator.hosts).set(host, {...existing, demand}),
  };
}

/**
 * Slots of an endpoint that a host may be using now or may still use under its
 * grants. With `countsExpiredGrants`, the slots of expired grants count, too.
 * Once a load report covers the time of the host's last demand and of the last
 * expiry, they count at most as many requests as the report shows.
 */
export function committedSlots(
  {countsExpiredGrants}: AllocatorState,
  {inUse, outstanding, demandReceivedAt}: HostAccount,
  {endpoint, report}: EndpointLimit,
  now: number,
): number {
  const reportedInUse = inUse.get(endpoint) ?? 0;
  let granted = 0;
  let expired = 0;
  let silentSince = demandReceivedAt;
  for (const {counts, expiresAt} of outstanding) {
    const count = counts.get(endpoint) ?? 0;
    if (expiresAt > now) granted = Math.max(granted, count);
    else expired = Math.max(expired, count);
    if (expiresAt <= now) silentSince = Math.max(silentSince, expiresAt);
  }
  if (!countsExpiredGrants) return Math.max(reportedInUse, granted);
  const possiblyRunning = Math.max(reportedInUse, expired);
  const isReported = report !== undefined && report.covers >= silentSince;
  return Math.max(
    granted,
    isReported ? Math.min(possiblyRunning, report.running) : possiblyRunning,
  );
}

/** Slots of an endpoint that are committed to all hosts together. */
export function totalCommittedSlots(
  allocator: AllocatorState,
  limit: EndpointLimit,
  now: number,
): number {
  let sum = 0;
  for (const account of allocator.hosts.values()) {
    sum += committedSlots(allocator, account, limit, now);
  }
  return sum;
}

/**
 * The allocator without the hosts that have sent no demand for two grant
 * lifetimes and the drift of the clocks. With `countsExpiredGrants`, a host
 * stays as long as slots are committed to it.
 */
export function removeSilentHosts(
  allocator: AllocatorState,
  now: number,
): AllocatorState {
  const maxSilenceMilliseconds =
    2 * GRANT_LIFETIME_MILLISECONDS + CLOCK_DRIFT_MILLISECONDS;
  const isForgettable = (account: HostAccount) =>
    now - account.demandReceivedAt > maxSilenceMilliseconds &&
    (!allocator.countsExpiredGrants ||
      allocator.limits.every(
        limit => committedSlots(allocator, account, limit, now) === 0,
      ));
  const kept = [...allocator.hosts].filter(
    ([, account]) => !isForgettable(account),
  );
  if (kept.length === allocator.hosts.size) return allocator;
  return {...allocator, hosts: new Map(kept)};
}
