/**
 * A selector that derives everything anew from the directory for each call, as
 * the reference that the product's selector is compared with.
 */
import {
  applyLoadEvent,
  chooseEngine,
  chooseLeastBusy,
  coldStartRate,
  DemandTracker,
  expectedRequests,
  INITIAL_LOAD,
  isBelowRate,
  isEjected,
  isLargePrompt,
  affinityPart,
  largeEngineCount,
  LARGE_PROMPT_RANKING_KEY,
  PrefixCacheIndex,
  rendezvousOrder,
  sharedParts,
  sharedTokenCount,
  withSend,
  type Choice,
  type Candidate,
  type RecentSends,
  type EndpointLoad,
  type EndpointRequirements,
  type HostContext,
  type LoadEvent,
  type Prompt,
} from '../../source/balance/index.js';
import type {Directory, KnownEndpoint} from '../../source/directory/index.js';
import {
  isRegionAllowed,
  type AllowedRegions,
  type Service,
} from '../../source/routing/index.js';

const PLAIN_REQUESTS_PER_SLOT = 1.5;

/** Selects endpoints without remembering anything that can be derived. */
export class PlainSelector {
  directory: Directory = new Map();
  services: ReadonlyMap<string, Service> = new Map();
  zonesOut: ReadonlySet<string> = new Set();
  hosts: readonly string[];
  unreachableReports: readonly string[] = [];
  readonly prefixCache = new PrefixCacheIndex();
  readonly demand: DemandTracker;
  private readonly loads = new Map<string, EndpointLoad>();
  private readonly sends = new Map<string, RecentSends>();
  private largeCount = 0;
  private rotation = 0;

  constructor(private readonly context: HostContext) {
    this.hosts = [context.host];
    this.demand = new DemandTracker(context.clock);
  }

  setDirectory(directory: Directory): void {
    for (const [id, {knownAt}] of this.directory) {
      if (directory.get(id)?.knownAt === knownAt) continue;
      this.loads.delete(id);
      this.sends.delete(id);
      this.prefixCache.removeEndpoint(id);
    }
    this.directory = directory;
  }

  update(id: string, event: LoadEvent): void {
    if (!this.directory.has(id)) return;
    this.loads.set(id, applyLoadEvent(this.load(id), event));
  }

  load(id: string): EndpointLoad {
    return this.loads.get(id) ?? INITIAL_LOAD;
  }

  slotCount(service: string): number {
    const slots = this.eligible(service).map(({entry}) => entry.slots);
    return slots.reduce((sum, each) => sum + each, 0) / this.hosts.length;
  }

  /** Whether an endpoint of a service without engines has a free slot. */
  hasPlainCapacity(service: string, homes?: AllowedRegions): boolean {
    return this.eligible(service, homes).some(
      ({entry}) =>
        expectedRequests(this.load(entry.id), this.now) <
        entry.slots * PLAIN_REQUESTS_PER_SLOT,
    );
  }

  /** Chooses an endpoint and counts the request there. */
  reserve(requirements: EndpointRequirements): Choice | undefined {
    const {service, prompt} = requirements;
    const choice = this.choose(requirements);
    const known = choice && this.directory.get(choice.id);
    if (!choice || !known) return undefined;
    const {id, prefillMilliseconds} = choice;
    if (prompt) {
      const cached = this.prefixCache.tokens(sharedParts(prompt), id, this.now);
      const shared = sharedTokenCount(prompt);
      this.demand.recordSend(service, shared, shared - cached);
      this.prefixCache.recordPrefill(sharedParts(prompt), id, this.now);
    }
    if (this.now < known.coldUntil)
      this.sends.set(id, withSend(this.sends.get(id) ?? [], this.now));
    this.update(id, {kind: 'sent', prefillMilliseconds});
    return choice;
  }

  private choose({
    service,
    prompt,
    failedEndpoints,
    homes,
  }: EndpointRequirements): Choice | undefined {
    const eligible = this.eligible(service, homes);
    const untried = eligible.filter(
      ({entry}) => !failedEndpoints.has(entry.id),
    );
    const endpoints = untried.length > 0 ? untried : eligible;
    const start = endpoints.length > 0 ? this.rotation % endpoints.length : 0;
    this.rotation++;
    const candidates = [
      ...endpoints.slice(start),
      ...endpoints.slice(0, start),
    ].map(known => this.candidate(known, prompt, failedEndpoints));
    if (!prompt) return chooseLeastBusy(candidates, this.now);
    const marked = this.markForPrompt(candidates, prompt, service);
    return chooseEngine(marked, prompt, this.now);
  }

  private candidate(
    {entry, coldUntil}: KnownEndpoint,
    prompt: Prompt | undefined,
    failed: ReadonlySet<string>,
  ): Candidate {
    const reports = this.unreachableReports.filter(id => id === entry.id);
    const inZone = [...this.directory.values()].filter(
      other =>
        other.entry.zone === entry.zone &&
        this.load(other.entry.id).isUnreachable,
    );
    return {
      id: entry.id,
      slots: entry.slots,
      isSameZone: entry.zone === this.context.zone,
      isInColdStart: this.now < coldUntil,
      hasFailedRequest: failed.has(entry.id),
      isForOtherSize: false,
      rank: 0,
      unreachableSignals: reports.length + inZone.length,
      cachedTokens: prompt
        ? this.prefixCache.tokens(sharedParts(prompt), entry.id, this.now)
        : 0,
      load: this.load(entry.id),
    };
  }

  private markForPrompt(
    candidates: readonly Candidate[],
    prompt: Prompt,
    service: string,
  ): Candidate[] {
    const ids = candidates.map(({id}) => id);
    const demand = this.demand.fleetDemand(service);
    this.largeCount = largeEngineCount(ids.length, demand, this.largeCount);
    const order = rendezvousOrder(LARGE_PROMPT_RANKING_KEY, ids);
    const large = new Set(order.slice(0, this.largeCount));
    const part = isLargePrompt(prompt) ? affinityPart(prompt) : undefined;
    const ranked = part
      ? rendezvousOrder(part.id, ids).filter(id => large.has(id))
      : [];
    const rankOf = (id: string) => {
      if (!part) return 0;
      return ranked.includes(id) ? ranked.indexOf(id) : ids.length;
    };
    return candidates.map(candidate => ({
      ...candidate,
      isForOtherSize: large.has(candidate.id) !== isLargePrompt(prompt),
      rank: rankOf(candidate.id),
    }));
  }

  private eligible(service: string, homes?: AllowedRegions): KnownEndpoint[] {
    const allowed = [...this.directory.values()].filter(
      known =>
        known.entry.service === service &&
        isRegionAllowed(homes, this.context.regions[known.entry.zone]) &&
        this.isEligible(known),
    );
    const unlapsed = allowed.filter(({removeAt}) => removeAt === undefined);
    const preferred = unlapsed.length > 0 ? unlapsed : allowed;
    const healthy = preferred.filter(
      ({entry}) => !isEjected(this.load(entry.id), this.now),
    );
    return healthy.length > 0 ? healthy : preferred;
  }

  private isEligible({entry, coldUntil, removeAt}: KnownEndpoint): boolean {
    if (entry.leaving || this.zonesOut.has(entry.zone)) return false;
    if (removeAt !== undefined && this.now >= removeAt) return false;
    const total = this.services.get(entry.service)?.coldRate ?? 0;
    if (this.now >= coldUntil || total === 0) return true;
    const {host} = this.context;
    const rate = coldStartRate(entry.id, total, host, this.hosts);
    return isBelowRate(this.sends.get(entry.id) ?? [], rate, this.now);
  }

  private get now(): number {
    return this.context.clock.monotonic();
  }
}
