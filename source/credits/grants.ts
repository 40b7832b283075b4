/**
 * Granting from the books. What concerns all hosts is worked out once for a
 * run over them, so a run costs the hosts times the endpoints and a renewal by
 * one host only reads the sums.
 */
import {divide, type HostNeed} from './divide.js';
import {
  committedAt,
  committedOf,
  CREDIT_MILLISECONDS,
  DRIFT_MILLISECONDS,
  withoutLapsed,
  type Grantor,
  type HostAccount,
} from './grantor.js';
import type {Grant} from './messages.js';

/** A grant with the host that it is for. */
export interface Addressed {
  readonly host: string;
  readonly grant: Grant;
}

/** Books after grants, with the grants. */
export interface Granted {
  readonly grantor: Grantor;
  readonly grants: readonly Addressed[];
}

interface Plan {
  readonly places: ReadonlyMap<string, number>;
  readonly pressure: number;
  /** Places committed to all hosts, by endpoint; kept up while granting. */
  readonly committed: Map<string, number>;
  /** Requests that press and that no host has yet been told to yield for. */
  pressing: number;
}

/**
 * The answer to a host that has said what it needs.
 *
 * ```ts
 * const {grantor, grants} = grantAnswer(before, 'host-2', clock.monotonic());
 * ```
 */
export function grantAnswer(
  before: Grantor,
  host: string,
  now: number,
): Granted {
  return run(before, [host], host, now);
}

/**
 * Grants to every host whose share has changed since it was last told.
 *
 * ```ts
 * const {grantor, grants} = grantNews(before, clock.monotonic());
 * ```
 */
export function grantNews(before: Grantor, now: number): Granted {
  return run(before, [...before.hosts.keys()].sort(), undefined, now);
}

function run(
  before: Grantor,
  hosts: readonly string[],
  asked: string | undefined,
  now: number,
): Granted {
  let grantor = withoutLapsed(before, now);
  if (now < grantor.from) return {grantor, grants: []};
  const plan = planOf(grantor, now);
  const grants: Addressed[] = [];
  for (const host of hosts) {
    const account = grantor.hosts.get(host);
    if (!account) continue;
    const counts = countsFor(
      grantor,
      account,
      plan,
      plan.places.get(host) ?? 0,
      now,
    );
    const yields = asked === undefined ? yieldsOf(account, counts, plan) : 0;
    const news = host === asked || yields > 0 || differs(account.told, counts);
    if (!news) continue;
    const granted = grantOf(grantor, host, account, counts, plan, yields, now);
    ({grantor} = granted);
    grants.push({host, grant: granted.grant});
  }
  return {grantor, grants};
}

function planOf(grantor: Grantor, now: number): Plan {
  const {limits, hosts} = grantor;
  const all = limits.reduce((sum, {places}) => sum + places, 0);
  const needs: HostNeed[] = [...hosts].map(([host, {demand}]) => ({
    host,
    classes: demand.classes,
  }));
  const {shares, pressure} = divide(all, needs);
  let pressing = 0;
  for (const {classes} of needs) {
    for (const need of classes) {
      if (need.tier === pressure) pressing += need.pressing;
    }
  }
  return {
    places: new Map(shares.map(({host, places}) => [host, places])),
    pressure,
    committed: new Map(
      limits.map(limit => [limit.endpoint, committedAt(grantor, limit, now)]),
    ),
    pressing,
  };
}

/** Spreads a host’s places over the endpoints, within what the others leave. */
function countsFor(
  grantor: Grantor,
  account: HostAccount,
  plan: Plan,
  places: number,
  now: number,
): Map<string, number> {
  const room = new Map<string, number>();
  for (const limit of grantor.limits) {
    const own = committedOf(grantor, account, limit, now);
    const others = (plan.committed.get(limit.endpoint) ?? 0) - own;
    room.set(limit.endpoint, Math.max(limit.places - others, 0));
  }
  const counts = new Map<string, number>();
  let rest = places;
  for (const [endpoint, free] of room) {
    const kept = Math.min(account.inUse.get(endpoint) ?? 0, free, rest);
    counts.set(endpoint, kept);
    rest -= kept;
  }
  for (; rest > 0; rest--) {
    const roomiest = roomiestOf(room, counts);
    if (roomiest === undefined) break;
    counts.set(roomiest, (counts.get(roomiest) ?? 0) + 1);
  }
  return counts;
}

function roomiestOf(
  room: ReadonlyMap<string, number>,
  counts: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  let most = 0;
  for (const [endpoint, free] of room) {
    const left = free - (counts.get(endpoint) ?? 0);
    if (left > most) {
      most = left;
      best = endpoint;
    }
  }
  return best;
}

/**
 * What a host gives up for those that press: as much as it runs beyond its
 * grant, but over all hosts no more than press.
 */
function yieldsOf(
  {inUse}: HostAccount,
  counts: ReadonlyMap<string, number>,
  plan: Plan,
): number {
  const beyond = Math.max(totalOf(inUse) - totalOf(counts), 0);
  const yields = Math.min(beyond, plan.pressing);
  plan.pressing -= yields;
  return yields;
}

function totalOf(counts: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of counts.values()) sum += count;
  return sum;
}

function differs(
  told: ReadonlyMap<string, number> | undefined,
  counts: ReadonlyMap<string, number>,
): boolean {
  if (!told || told.size !== counts.size) return true;
  for (const [endpoint, count] of counts) {
    if (told.get(endpoint) !== count) return true;
  }
  return false;
}

function grantOf(
  grantor: Grantor,
  host: string,
  account: HostAccount,
  counts: ReadonlyMap<string, number>,
  plan: Plan,
  yields: number,
  now: number,
): {grantor: Grantor; grant: Grant} {
  const number = grantor.nextNumber;
  const {ledger, pool, zone, sentAt: answers} = account.demand;
  for (const limit of grantor.limits) {
    const own = committedOf(grantor, account, limit, now);
    const more = Math.max((counts.get(limit.endpoint) ?? 0) - own, 0);
    const all = plan.committed.get(limit.endpoint) ?? 0;
    plan.committed.set(limit.endpoint, all + more);
  }
  const grant: Grant = {
    kind: 'grant',
    ledger,
    pool,
    zone,
    number,
    owner: grantor.owner,
    answers,
    counts: [...counts].map(([endpoint, count]) => ({endpoint, count})),
    pressure: plan.pressure,
    yields,
  };
  const lapses = now + CREDIT_MILLISECONDS + DRIFT_MILLISECONDS;
  const until = answers + CREDIT_MILLISECONDS;
  const outstanding = [...account.outstanding, {number, lapses, until, counts}];
  const hosts = new Map(grantor.hosts);
  hosts.set(host, {...account, outstanding, told: counts});
  return {grantor: {...grantor, hosts, nextNumber: number + 1}, grant};
}
