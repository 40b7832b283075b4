/**
 * Which endpoints of a service may get a request now: those that are not
 * leaving, in zones that are in service and regions that the request may enter.
 * In its cold start, or while it names a limit, an endpoint is eligible only up to
 * this host’s part of that limit.
 */
import type {StreamContinuation} from '../admission/index.js';
import {
  versionOf,
  type Directory,
  type KnownEndpoint,
} from '../directory/index.js';
import {
  isRegionAllowed,
  type AllowedRegions,
  type Service,
} from '../routing/index.js';
import {assumedHosts, type SharingHosts} from '../membership/index.js';
import {EligibleSet} from './eligibleset.js';
import type {NamedLimits} from './namedlimits.js';
import type {WithheldEndpoints} from './withheld.js';
import {
  coldStartRate,
  isBelowRate,
  namedLimitRate,
  nextExpiry,
  shareOfRate,
  withSend,
  type RecentSends,
} from './sharedrate.js';

/** Parts of limits that are remembered, so that they are not derived each time. */
const MAX_CACHED_RATES = 4_096;

/** A host, and the regions of the zones. */
export interface HostLocation {
  readonly host: string;
  /** The region of each availability zone. */
  readonly regions: Readonly<Partial<Record<string, string>>>;
}

/** Limits the endpoints among which a request may choose. */
export interface EndpointFilter {
  readonly service: string;
  /** Regions that the request must not leave; undefined for all. */
  readonly homes?: AllowedRegions | undefined;
  /**
   * Monotonic milliseconds until which an endpoint is ejected after failures.
   * `invalidate` is called when one of them changes.
   */
  readonly ejectedUntil: (id: string) => number;
}

/** Which endpoints are eligible, until a time or a change. */
interface Evaluation {
  readonly set: EligibleSet;
  /** Monotonic milliseconds. */
  readonly validUntil: number;
  /** The number of changes before it. */
  readonly version: number;
}

/** The endpoints that a host knows, and which of them are eligible. */
export class EligibleEndpoints {
  directory: Directory = new Map();
  services: ReadonlyMap<string, Service> = new Map();
  private sharing: SharingHosts;
  private zonesOut: ReadonlySet<string> = new Set();
  private byService: ReadonlyMap<string, readonly KnownEndpoint[]> = new Map();
  /** The sends to endpoints that have a limit. */
  private readonly recentSends = new Map<string, RecentSends>();
  /** The part of a limit that this host has, by endpoint and limit. */
  private readonly hostRates = new Map<string, number>();
  /** The last evaluation by service and regions. */
  private readonly evaluations = new Map<string, Evaluation>();
  private version = 0;

  constructor(
    private readonly location: HostLocation,
    private readonly limits: NamedLimits,
    private readonly withheld: WithheldEndpoints,
  ) {
    this.sharing = {hosts: [location.host], confidence: 'confirmed'};
  }

  setServices(services: ReadonlyMap<string, Service>): void {
    this.services = services;
    this.hostRates.clear();
    this.invalidate();
  }

  /** Sets the zones that operators have taken out of service. */
  setZonesOut(zones: ReadonlySet<string>): void {
    this.zonesOut = zones;
    this.invalidate();
  }

  /** The names of the hosts that are believed to be alive, including this one. */
  get hosts(): readonly string[] {
    return this.sharing.hosts;
  }

  /** The number of hosts among which a limit is divided. */
  get assumedHosts(): number {
    return assumedHosts(this.sharing);
  }

  /** Sets the hosts that share the limits, including this one. */
  setSharing(sharing: SharingHosts): void {
    const {hosts, confidence} = sharing;
    const isSame =
      confidence === this.sharing.confidence &&
      hosts.length === this.hosts.length &&
      hosts.every((name, index) => name === this.hosts[index]);
    if (isSame) return;
    this.sharing = sharing;
    this.hostRates.clear();
    this.invalidate();
  }

  /** Discards what was evaluated. */
  invalidate(): void {
    this.version++;
  }

  /** Replaces the directory; returns the ids that were removed or restarted. */
  setDirectory(directory: Directory): string[] {
    if (directory === this.directory) return [];
    const ended: string[] = [];
    for (const [id, known] of this.directory) {
      if (directory.get(id)?.knownAt === known.knownAt) continue;
      this.recentSends.delete(id);
      this.limits.remove(id);
      ended.push(id);
    }
    this.directory = directory;
    this.byService = groupByService(directory);
    this.hostRates.clear();
    this.evaluations.clear();
    return ended;
  }

  /**
   * The endpoints that may get a request. Those whose entry has lapsed are
   * returned only when there are no others; of the rest, ejected ones likewise.
   * Returns the same object as long as it has the same endpoints.
   */
  eligible(filter: EndpointFilter, now: number): EligibleSet {
    const {service, homes} = filter;
    const key = homes ? [service, ...homes].join('\n') : service;
    const before = this.evaluations.get(key);
    if (before?.version === this.version && now < before.validUntil)
      return before.set;
    const endpoints = this.evaluate(filter, now);
    const set = before?.set.hasSame(endpoints)
      ? before.set
      : new EligibleSet(endpoints);
    const validUntil = this.nextChange(filter, now);
    this.evaluations.set(key, {set, validUntil, version: this.version});
    return set;
  }

  private evaluate(
    {service, homes, ejectedUntil}: EndpointFilter,
    now: number,
  ): KnownEndpoint[] {
    const {regions} = this.location;
    const eligible = (this.byService.get(service) ?? []).filter(
      known =>
        isRegionAllowed(homes, regions[known.entry.zone]) &&
        this.isEligible(known, now),
    );
    // An endpoint whose entry has lapsed may have left, so it is a last resort.
    const unlapsed = eligible.filter(
      ({removeAt: lapsesAt}) => lapsesAt === undefined,
    );
    const preferred = unlapsed.length > 0 ? unlapsed : eligible;
    const healthy = preferred.filter(
      ({entry}) => now >= ejectedUntil(entry.id),
    );
    return healthy.length > 0 ? healthy : preferred;
  }

  /**
   * The next monotonic time at which an endpoint of the service may become
   * eligible, or cease to be, without any other change.
   */
  private nextChange(
    {service, ejectedUntil}: EndpointFilter,
    now: number,
  ): number {
    let next = Infinity;
    for (const known of this.byService.get(service) ?? []) {
      const {entry, coldUntil, removeAt} = known;
      next = earliestAfter(now, next, ejectedUntil(entry.id));
      next = earliestAfter(now, next, removeAt ?? Infinity);
      next = earliestAfter(now, next, coldUntil);
      next = earliestAfter(now, next, this.withheld.backoffUntil(entry));
      const rate = this.hostRate(known, now);
      if (rate === undefined) continue;
      const sends = this.recentSends.get(entry.id) ?? [];
      next = Math.min(next, nextExpiry(sends, rate, now));
      next = earliestAfter(now, next, this.limits.lapsesAt(entry.id));
    }
    return next;
  }

  /**
   * Whether an endpoint is still there, not restarted since it was looked up,
   * and may be used.
   */
  isStillUsable({entry, knownAt}: KnownEndpoint, now: number): boolean {
    const known = this.directory.get(entry.id);
    if (known?.knownAt !== knownAt) return false;
    return this.isUsable(known, now);
  }

  /**
   * Whether an endpoint at which a stream may go on is known, even if it may get
   * nothing now. Where there is none, waiting for one is of no use.
   */
  hasVersion(service: string, {softwareVersion}: StreamContinuation): boolean {
    const endpoints = this.byService.get(service) ?? [];
    return endpoints.some(
      ({entry}) =>
        !entry.leaving &&
        (softwareVersion === undefined || versionOf(entry) === softwareVersion),
    );
  }

  /**
   * Counts a request that is sent to an endpoint, if it has a limit or is in its
   * cold start, for which a limit may be configured any time.
   */
  recordSend({entry, coldUntil}: KnownEndpoint, now: number): void {
    const {id} = entry;
    const isLimited = this.limits.rate(id, now) !== undefined;
    if (now >= coldUntil && !isLimited) return;
    const before = this.recentSends.get(id) ?? [];
    this.recentSends.set(id, withSend(before, now));
    this.invalidate();
  }

  /** Whether this host’s part of an endpoint’s limit allows one more request. */
  isWithinLimit(known: KnownEndpoint, now: number): boolean {
    const rate = this.hostRate(known, now);
    if (rate === undefined) return true;
    return isBelowRate(this.recentSends.get(known.entry.id) ?? [], rate, now);
  }

  /**
   * Whether it is not leaving, wants requests of this host, its zone is in service
   * and its entry is valid.
   */
  private isUsable(
    {entry, removeAt: lapsesAt}: KnownEndpoint,
    now: number,
  ): boolean {
    if (entry.leaving || this.zonesOut.has(entry.zone)) return false;
    if (this.withheld.isWithheld(entry, now)) return false;
    return lapsesAt === undefined || now < lapsesAt;
  }

  /** Whether it is usable and within this host’s part of its limit. */
  private isEligible(known: KnownEndpoint, now: number): boolean {
    return this.isUsable(known, now) && this.isWithinLimit(known, now);
  }

  /**
   * This host’s part of the endpoint’s limit, in requests a second; undefined
   * where it has none.
   */
  private hostRate(
    {entry, coldUntil}: KnownEndpoint,
    now: number,
  ): number | undefined {
    const {id, service} = entry;
    const coldRate =
      now < coldUntil ? (this.services.get(service)?.coldRate ?? 0) : 0;
    const named = this.limits.rate(id, now);
    if (coldRate === 0 && named === undefined) return undefined;
    const key = `${id} ${coldRate} ${named ?? ''}`;
    const cached = this.hostRates.get(key);
    if (cached !== undefined) return cached;
    const {host} = this.location;
    const parts: number[] = [];
    const {sharing} = this;
    if (coldRate > 0)
      parts.push(shareOfRate(coldStartRate, id, coldRate, host, sharing));
    if (named !== undefined)
      parts.push(shareOfRate(namedLimitRate, id, named, host, sharing));
    const rate = Math.min(...parts);
    if (this.hostRates.size >= MAX_CACHED_RATES) this.hostRates.clear();
    this.hostRates.set(key, rate);
    return rate;
  }
}

/** The earlier of two times, of which `time` counts only if it is after now. */
function earliestAfter(now: number, earliest: number, time: number): number {
  return time > now && time < earliest ? time : earliest;
}

function groupByService(
  directory: Directory,
): ReadonlyMap<string, readonly KnownEndpoint[]> {
  const services = new Map<string, KnownEndpoint[]>();
  for (const known of directory.values()) {
    const {service} = known.entry;
    const endpoints = services.get(service);
    if (endpoints) endpoints.push(known);
    else services.set(service, [known]);
  }
  return services;
}
