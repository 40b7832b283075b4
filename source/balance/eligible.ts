/**
 * Which endpoints of a service may get a request now: those that are not
 * leaving, in zones that are in service and regions that the request may enter.
 * In its cold start an endpoint is eligible only up to this host’s part of the
 * cold start limit.
 */
import type {Directory, KnownEndpoint} from '../directory/index.js';
import {
  isRegionAllowed,
  type AllowedRegions,
  type Service,
} from '../routing/index.js';
import {
  coldStartRate,
  isBelowRate,
  nextExpiry,
  withSend,
  type ColdStartSends,
} from './coldstart.js';
import {EligibleSet} from './eligibleset.js';

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
  hosts: readonly string[];
  private zonesOut: ReadonlySet<string> = new Set();
  private byService: ReadonlyMap<string, readonly KnownEndpoint[]> = new Map();
  private readonly coldStartSends = new Map<string, ColdStartSends>();
  /** The part of the cold start limit that this host has, by endpoint. */
  private readonly coldStartRates = new Map<string, number>();
  /** The last evaluation by service and regions. */
  private readonly evaluations = new Map<string, Evaluation>();
  private version = 0;

  constructor(private readonly location: HostLocation) {
    this.hosts = [location.host];
  }

  setServices(services: ReadonlyMap<string, Service>): void {
    this.services = services;
    this.coldStartRates.clear();
    this.invalidate();
  }

  /** Sets the zones that operators have taken out of service. */
  setZonesOut(zones: ReadonlySet<string>): void {
    this.zonesOut = zones;
    this.invalidate();
  }

  /** Sets the hosts that are believed to be alive, including this one. */
  setHosts(hosts: readonly string[]): void {
    const isSame =
      hosts.length === this.hosts.length &&
      hosts.every((name, index) => name === this.hosts[index]);
    if (isSame) return;
    this.hosts = hosts;
    this.coldStartRates.clear();
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
      this.coldStartSends.delete(id);
      ended.push(id);
    }
    this.directory = directory;
    this.byService = groupByService(directory);
    this.coldStartRates.clear();
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
    for (const {entry, coldUntil, removeAt} of this.byService.get(service) ??
      []) {
      const sends = this.coldStartSends.get(entry.id) ?? [];
      next = earliestAfter(now, next, ejectedUntil(entry.id));
      next = earliestAfter(now, next, removeAt ?? Infinity);
      next = earliestAfter(now, next, coldUntil);
      if (now < coldUntil) next = Math.min(next, nextExpiry(sends, now));
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
   * Counts a request that is sent to an endpoint, if it is in its cold start.
   */
  recordSend({entry, coldUntil}: KnownEndpoint, now: number): void {
    if (now >= coldUntil) return;
    const before = this.coldStartSends.get(entry.id) ?? [];
    this.coldStartSends.set(entry.id, withSend(before, now));
    this.invalidate();
  }

  /**
   * Whether it is not leaving, its zone is in service and its entry is valid.
   */
  private isUsable(
    {entry, removeAt: lapsesAt}: KnownEndpoint,
    now: number,
  ): boolean {
    if (entry.leaving || this.zonesOut.has(entry.zone)) return false;
    return lapsesAt === undefined || now < lapsesAt;
  }

  /**
   * Whether it is usable and within this host’s part of the cold start limit.
   */
  private isEligible(known: KnownEndpoint, now: number): boolean {
    const {entry, coldUntil} = known;
    if (!this.isUsable(known, now)) return false;
    if (now >= coldUntil) return true;
    const totalRate = this.services.get(entry.service)?.coldRate ?? 0;
    if (totalRate === 0) return true;
    const rate = this.coldStartRate(entry.id, totalRate);
    return isBelowRate(this.coldStartSends.get(entry.id) ?? [], rate, now);
  }

  private coldStartRate(endpoint: string, totalRate: number): number {
    let rate = this.coldStartRates.get(endpoint);
    if (rate === undefined) {
      const {host} = this.location;
      rate = coldStartRate(endpoint, totalRate, host, this.hosts);
      this.coldStartRates.set(endpoint, rate);
    }
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
