/**
 * Which endpoints of a service may get a request now: those that stay, in zones
 * that are not out and regions that the request may enter, in their cold start
 * only as far as this host's part of the bound goes.
 */
import type {Directory, KnownEndpoint} from '../directory/index.js';
import {isHome, type Homes, type Service} from '../routing/index.js';
import {coldShare, mayAdd, withSend, type ColdSends} from './cold.js';

/** Where a host stands. */
export interface Standpoint {
  readonly host: string;
  /** The region of each availability zone. */
  readonly regions: Readonly<Partial<Record<string, string>>>;
}

/** What a request asks of the endpoints among which it may choose. */
export interface Selection {
  readonly service: string;
  readonly homes?: Homes | undefined;
  /** Whether an endpoint is given a rest. */
  readonly isAvoided: (id: string) => boolean;
}

/** The endpoints that a host knows. */
export class OpenEndpoints {
  directory: Directory = new Map();
  services: ReadonlyMap<string, Service> = new Map();
  zonesOut: ReadonlySet<string> = new Set();
  /** The hosts that are believed to live, this one among them. */
  hosts: readonly string[];
  private ofService: ReadonlyMap<string, readonly KnownEndpoint[]> = new Map();
  private readonly coldSends = new Map<string, ColdSends>();

  constructor(private readonly place: Standpoint) {
    this.hosts = [place.host];
  }

  /** Takes over a directory; answers the ids that are gone or started anew. */
  setDirectory(directory: Directory): string[] {
    const ended: string[] = [];
    for (const [id, known] of this.directory) {
      if (directory.get(id)?.knownAt === known.knownAt) continue;
      this.coldSends.delete(id);
      ended.push(id);
    }
    this.directory = directory;
    this.ofService = byService(directory);
    return ended;
  }

  /**
   * The endpoints that may get a request; one that is given a rest only where no
   * other is there.
   */
  usable(selection: Selection, now: number): KnownEndpoint[] {
    const {service, homes, isAvoided} = selection;
    const {regions} = this.place;
    const open = (this.ofService.get(service) ?? []).filter(
      known =>
        isHome(homes, regions[known.entry.zone]) && this.isOpen(known, now),
    );
    // One whose entry has lapsed may have left, so it is a last resort.
    const entered = open.filter(({lapsesAt}) => lapsesAt === undefined);
    const standing = entered.length > 0 ? entered : open;
    const sound = standing.filter(({entry}) => !isAvoided(entry.id));
    return sound.length > 0 ? sound : standing;
  }

  /** Whether an endpoint that was known once is still there and may be used. */
  stands({entry, knownAt}: KnownEndpoint, now: number): boolean {
    const known = this.directory.get(entry.id);
    if (known?.knownAt !== knownAt) return false;
    return this.mayUse(known, now);
  }

  /** Notes a request that is sent to an endpoint. */
  noteSend({entry, coldUntil}: KnownEndpoint, now: number): void {
    if (now >= coldUntil) return;
    const before = this.coldSends.get(entry.id) ?? [];
    this.coldSends.set(entry.id, withSend(before, now));
  }

  private mayUse({entry, lapsesAt}: KnownEndpoint, now: number): boolean {
    if (entry.leaving || this.zonesOut.has(entry.zone)) return false;
    return lapsesAt === undefined || now < lapsesAt;
  }

  private isOpen(known: KnownEndpoint, now: number): boolean {
    const {entry, coldUntil} = known;
    if (!this.mayUse(known, now)) return false;
    if (now >= coldUntil) return true;
    const rate = this.services.get(entry.service)?.coldRate ?? 0;
    if (rate === 0) return true;
    const share = coldShare(entry.id, rate, this.place.host, this.hosts);
    return mayAdd(this.coldSends.get(entry.id) ?? [], share, now);
  }
}

function byService(
  directory: Directory,
): ReadonlyMap<string, readonly KnownEndpoint[]> {
  const services = new Map<string, KnownEndpoint[]>();
  for (const known of directory.values()) {
    const {service} = known.entry;
    const others = services.get(service);
    if (others) others.push(known);
    else services.set(service, [known]);
  }
  return services;
}
