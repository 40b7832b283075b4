/**
 * The owner's side of credits. The owner of a pool keeps, for every host, what
 * that host may still believe that it has been granted: every grant that has
 * neither lapsed nor been replaced by a later one that the host says it has
 * applied. A new grant never exceeds what the others' beliefs leave.
 *
 * Requests outlast the grants that they were started with, so a host that has
 * fallen silent may still be running some. For warm endpoints that is borne: a
 * lapsed grant counts for nothing. Strict books, for cold endpoints, count a
 * silent host's last grant until the endpoint itself says that it runs less,
 * so the sum over all hosts stays within the limit at every instant.
 */
import type {Demand} from './messages.js';

/** Milliseconds for which a host may use a grant, from when it asked. */
export const CREDIT_MILLISECONDS = 3_000;
/** Milliseconds by which two clocks may drift apart over a grant. */
export const DRIFT_MILLISECONDS = 250;

/** What an endpoint bears from all hosts together. */
export interface Limit {
  readonly endpoint: string;
  readonly places: number;
  readonly report?: LoadNews | undefined;
}

/** What the endpoint has said of itself. */
export interface LoadNews {
  readonly running: number;
  /**
   * Owner's monotonic milliseconds: what was started before and still runs is
   * in the report.
   */
  readonly covers: number;
}

interface Outstanding {
  readonly number: number;
  /** Owner’s monotonic milliseconds after which the host cannot use it. */
  readonly lapses: number;
  /** Host’s monotonic milliseconds after which it does not use it. */
  readonly until: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** What the owner knows of one host. */
export interface HostAccount {
  readonly demand: Demand;
  readonly inUse: ReadonlyMap<string, number>;
  readonly outstanding: readonly Outstanding[];
  /** Owner’s monotonic milliseconds. */
  readonly heardAt: number;
  /** What the host was told last. */
  readonly told: ReadonlyMap<string, number> | undefined;
}

/** The books of one pool in one availability zone. */
export interface Grantor {
  /** Incarnation of the owner. */
  readonly owner: string;
  /** Whether silent hosts count until the endpoint says otherwise. */
  readonly strict: boolean;
  /** Owner’s monotonic milliseconds from which it may grant at all. */
  readonly from: number;
  readonly limits: readonly Limit[];
  readonly hosts: ReadonlyMap<string, HostAccount>;
  readonly nextNumber: number;
}

/**
 * The books of a new owner. It waits until everything that a former owner
 * may have granted has lapsed.
 */
export function emptyGrantor(
  owner: string,
  strict: boolean,
  now: number,
): Grantor {
  const from = now + CREDIT_MILLISECONDS + DRIFT_MILLISECONDS;
  return {owner, strict, from, limits: [], hosts: new Map(), nextNumber: 1};
}

/** The books with new limits. */
export function setLimits(before: Grantor, limits: readonly Limit[]): Grantor {
  return {...before, limits};
}

/** The books after a host has said what it needs. */
export function takeDemand(
  before: Grantor,
  host: string,
  demand: Demand,
  now: number,
): Grantor {
  const present = before.hosts.get(host);
  const applied = demand.owner === before.owner ? demand.applied : 0;
  const outstanding = (present?.outstanding ?? []).filter(
    ({number, until}) => number >= applied && until > demand.sentAt,
  );
  const inUse = new Map(
    demand.inUse.map(({endpoint, count}) => [endpoint, count]),
  );
  const told = present?.told;
  const account = {demand, inUse, outstanding, heardAt: now, told};
  return {...before, hosts: new Map(before.hosts).set(host, account)};
}

/**
 * The books without the needs of a host that is gone. Its grants still count
 * until they lapse; what it had running counts until then, too.
 */
export function dropHost(before: Grantor, host: string): Grantor {
  const present = before.hosts.get(host);
  if (!present) return before;
  const demand = {...present.demand, classes: []};
  return {
    ...before,
    hosts: new Map(before.hosts).set(host, {...present, demand}),
  };
}

/** Places at an endpoint that a host may be using or may yet use. */
export function committedOf(
  {strict}: Grantor,
  {inUse, outstanding, heardAt}: HostAccount,
  {endpoint, report}: Limit,
  now: number,
): number {
  const used = inUse.get(endpoint) ?? 0;
  let granted = 0;
  let lapsed = 0;
  let lapsedAt = heardAt;
  for (const {counts, lapses} of outstanding) {
    const count = counts.get(endpoint) ?? 0;
    if (lapses > now) granted = Math.max(granted, count);
    else lapsed = Math.max(lapsed, count);
    if (lapses <= now) lapsedAt = Math.max(lapsedAt, lapses);
  }
  if (!strict) return Math.max(used, granted);
  const silent = Math.max(used, lapsed);
  const told = report !== undefined && report.covers >= lapsedAt;
  return Math.max(granted, told ? Math.min(silent, report.running) : silent);
}

/** Places at an endpoint that all hosts together may be using. */
export function committedAt(
  grantor: Grantor,
  limit: Limit,
  now: number,
): number {
  let sum = 0;
  for (const account of grantor.hosts.values()) {
    sum += committedOf(grantor, account, limit, now);
  }
  return sum;
}

/** Forgets hosts that were silent for long and that nothing counts for. */
export function withoutLapsed(before: Grantor, now: number): Grantor {
  const patience = 2 * CREDIT_MILLISECONDS + DRIFT_MILLISECONDS;
  const isGone = (account: HostAccount) =>
    now - account.heardAt > patience &&
    (!before.strict ||
      before.limits.every(
        limit => committedOf(before, account, limit, now) === 0,
      ));
  const kept = [...before.hosts].filter(([, account]) => !isGone(account));
  if (kept.length === before.hosts.size) return before;
  return {...before, hosts: new Map(kept)};
}
