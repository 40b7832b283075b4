/**
 * Issues grants. The totals over all hosts are computed once per run, so a run
 * costs the number of hosts times the number of endpoints, and the grant to
 * each host only reads these totals.
 */
import {allocateShares, type HostDemand} from './shares.js';
import {
  totalCommittedSlots,
  committedSlots,
  GRANT_LIFETIME_MILLISECONDS,
  CLOCK_DRIFT_MILLISECONDS,
  removeSilentHosts,
  type AllocatorState,
  type HostAccount,
} from './allocator.js';
import type {Grant} from './messages.js';

/** A grant and the host that receives it. */
export interface AddressedGrant {
  readonly host: string;
  readonly grant: Grant;
}

/** The allocator after a run, and the grants that the run issued. */
export interface GrantResult {
  readonly allocator: AllocatorState;
  readonly grants: readonly AddressedGrant[];
}

/** Totals over all hosts for one run. */
interface GrantPlan {
  /** Slots of the pool that each host is to get. */
  readonly slotsByHost: ReadonlyMap<string, number>;
  /** Highest-priority tier that may preempt others; 0 for none. */
  readonly pressure: number;
  /** Slots committed to all hosts, by endpoint; updated by each grant. */
  readonly committedByEndpoint: Map<string, number>;
  /** Requests that may preempt others and that no grant has yielded to yet. */
  pressing: number;
}

/**
 * Issues the grant that answers a host's demand; none while grants of a former
 * owner may still be in use.
 *
 * ```ts
 * const {allocator, grants} = answerDemand(before, 'host-2', clock.monotonic());
 * ```
 */
export function answerDemand(
  allocator: AllocatorState,
  host: string,
  now: number,
): GrantResult {
  return issueGrants(allocator, [host], host, now);
}

/**
 * Issues a grant to every host whose slots differ from its latest grant, or
 * that is to give up running requests for a higher tier.
 *
 * ```ts
 * const {allocator, grants} = grantChanges(before, clock.monotonic());
 * ```
 */
export function grantChanges(
  allocator: AllocatorState,
  now: number,
): GrantResult {
  return issueGrants(
    allocator,
    [...allocator.hosts.keys()].sort(),
    undefined,
    now,
  );
}

/**
 * Issues grants to `hosts`: to the one that sent a demand (`requester`) in any
 * case, to others only on a change.
 */
function issueGrants(
  previous: AllocatorState,
  hosts: readonly string[],
  requester: string | undefined,
  now: number,
): GrantResult {
  let allocator = removeSilentHosts(previous, now);
  if (now < allocator.grantsFrom) return {allocator, grants: []};
  const plan = createPlan(allocator, now);
  const grants: AddressedGrant[] = [];
  for (const host of hosts) {
    const account = allocator.hosts.get(host);
    if (!account) continue;
    const counts = distributeSlots(
      allocator,
      account,
      plan,
      plan.slotsByHost.get(host) ?? 0,
      now,
    );
    const yields =
      requester === undefined ? yieldCount(account, counts, plan) : 0;
    const shouldGrant =
      host === requester ||
      yields > 0 ||
      countsDiffer(account.lastGranted, counts);
    if (!shouldGrant) continue;
    const issued = issueGrant(
      allocator,
      host,
      account,
      counts,
      plan,
      yields,
      now,
    );
    ({allocator} = issued);
    grants.push({host, grant: issued.grant});
  }
  return {allocator, grants};
}

function createPlan(allocator: AllocatorState, now: number): GrantPlan {
  const {limits, hosts} = allocator;
  const totalSlots = limits.reduce((sum, {slots}) => sum + slots, 0);
  const demands: HostDemand[] = [...hosts].map(([host, {demand}]) => ({
    host,
    classes: demand.classes,
  }));
  const {shares, pressure} = allocateShares(totalSlots, demands);
  let pressing = 0;
  for (const {classes} of demands) {
    for (const classDemand of classes) {
      if (classDemand.tier === pressure) pressing += classDemand.pressing;
    }
  }
  return {
    slotsByHost: new Map(shares.map(({host, slots}) => [host, slots])),
    pressure,
    committedByEndpoint: new Map(
      limits.map(limit => [
        limit.endpoint,
        totalCommittedSlots(allocator, limit, now),
      ]),
    ),
    pressing,
  };
}

/**
 * Distributes a host’s slots over the endpoints, within what is not committed
 * to other hosts. Slots with running requests of the host come first; each
 * further one goes to the endpoint with the most available slots.
 */
function distributeSlots(
  allocator: AllocatorState,
  account: HostAccount,
  plan: GrantPlan,
  slots: number,
  now: number,
): Map<string, number> {
  const availableByEndpoint = new Map<string, number>();
  for (const limit of allocator.limits) {
    const committedToHost = committedSlots(allocator, account, limit, now);
    const committedToOthers =
      (plan.committedByEndpoint.get(limit.endpoint) ?? 0) - committedToHost;
    availableByEndpoint.set(
      limit.endpoint,
      Math.max(limit.slots - committedToOthers, 0),
    );
  }
  const counts = new Map<string, number>();
  let remaining = slots;
  for (const [endpoint, available] of availableByEndpoint) {
    const retained = Math.min(
      account.inUse.get(endpoint) ?? 0,
      available,
      remaining,
    );
    counts.set(endpoint, retained);
    remaining -= retained;
  }
  for (; remaining > 0; remaining--) {
    const target = mostAvailableEndpoint(availableByEndpoint, counts);
    if (target === undefined) break;
    counts.set(target, (counts.get(target) ?? 0) + 1);
  }
  return counts;
}

function mostAvailableEndpoint(
  availableByEndpoint: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  let highest = 0;
  for (const [endpoint, available] of availableByEndpoint) {
    const unassigned = available - (counts.get(endpoint) ?? 0);
    if (unassigned > highest) {
      highest = unassigned;
      best = endpoint;
    }
  }
  return best;
}

/**
 * Running requests that a host is to give up for a higher tier: those beyond
 * its grant, but over all hosts no more than the requests that may preempt.
 */
function yieldCount(
  {inUse}: HostAccount,
  counts: ReadonlyMap<string, number>,
  plan: GrantPlan,
): number {
  const excess = Math.max(sumCounts(inUse) - sumCounts(counts), 0);
  const yields = Math.min(excess, plan.pressing);
  plan.pressing -= yields;
  return yields;
}

function sumCounts(counts: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of counts.values()) sum += count;
  return sum;
}

function countsDiffer(
  lastGranted: ReadonlyMap<string, number> | undefined,
  counts: ReadonlyMap<string, number>,
): boolean {
  if (!lastGranted || lastGranted.size !== counts.size) return true;
  for (const [endpoint, count] of counts) {
    if (lastGranted.get(endpoint) !== count) return true;
  }
  return false;
}

/**
 * The next grant to a host, and the allocator that records it as outstanding.
 * Adds newly committed slots to the plan.
 */
function issueGrant(
  allocator: AllocatorState,
  host: string,
  account: HostAccount,
  counts: ReadonlyMap<string, number>,
  plan: GrantPlan,
  yields: number,
  now: number,
): {allocator: AllocatorState; grant: Grant} {
  const number = allocator.nextGrantNumber;
  const {ledger, pool, zone, sentAt: answers} = account.demand;
  for (const limit of allocator.limits) {
    const committedToHost = committedSlots(allocator, account, limit, now);
    const added = Math.max(
      (counts.get(limit.endpoint) ?? 0) - committedToHost,
      0,
    );
    const committed = plan.committedByEndpoint.get(limit.endpoint) ?? 0;
    plan.committedByEndpoint.set(limit.endpoint, committed + added);
  }
  const grant: Grant = {
    kind: 'grant',
    ledger,
    pool,
    zone,
    number,
    owner: allocator.owner,
    answers,
    counts: [...counts].map(([endpoint, count]) => ({endpoint, count})),
    pressure: plan.pressure,
    yields,
  };
  const expiresAt =
    now + GRANT_LIFETIME_MILLISECONDS + CLOCK_DRIFT_MILLISECONDS;
  const hostExpiresAt = answers + GRANT_LIFETIME_MILLISECONDS;
  const outstanding = [
    ...account.outstanding,
    {number, expiresAt, hostExpiresAt, counts},
  ];
  const hosts = new Map(allocator.hosts);
  hosts.set(host, {...account, outstanding, lastGranted: counts});
  return {allocator: {...allocator, hosts, nextGrantNumber: number + 1}, grant};
}
