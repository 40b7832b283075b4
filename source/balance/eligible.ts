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
  withSend,
  type ColdStartSends,
} from './coldstart.js';

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
  /** Whether an endpoint is ejected after failures. */
  readonly isEjected: (id: string) => boolean;
}

/** The endpoints that a host knows, and which of them are eligible. */
export class EligibleEndpoints {
  directory: Directory = new Map();
  services: ReadonlyMap<string, Service> = new Map();
  /** Zones that operators have taken out of service. */
  zonesOut: ReadonlySet<string> = new Set();
  /** The hosts that are believed to be alive, including this one. */
  hosts: readonly string[];
  private byService: ReadonlyMap<string, readonly KnownEndpoint[]> = new Map();
  private readonly coldStartSends = new Map<string, ColdStartSends>();

  constructor(private readonly location: HostLocation) {
    this.hosts = [location.host];
  }

  /** Replaces the directory; returns the ids that were removed or restarted. */
  setDirectory(directory: Directory): string[] {
    const ended: string[] = [];
    for (const [id, known] of this.directory) {
      if (directory.get(id)?.knownAt === known.knownAt) continue;
      this.coldStartSends.delete(id);
      ended.push(id);
    }
    this.directory = directory;
    this.byService = groupByService(directory);
    return ended;
  }

  /**
   * The endpoints that may get a request. Those whose entry has lapsed are
   * returned only when there are no others; of the rest, ejected ones likewise.
   */
  eligible(filter: EndpointFilter, now: number): KnownEndpoint[] {
    const {service, homes, isEjected} = filter;
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
    const healthy = preferred.filter(({entry}) => !isEjected(entry.id));
    return healthy.length > 0 ? healthy : preferred;
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
    const rate = coldStartRate(
      entry.id,
      totalRate,
      this.location.host,
      this.hosts,
    );
    return isBelowRate(this.coldStartSends.get(entry.id) ?? [], rate, now);
  }
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
