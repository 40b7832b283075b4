/**
 * The leader's autoscaler: compares the capacity plan with what is there and
 * sends scale requests. A request names the desired total, so that sending it
 * twice does no harm. It is sent when the plan changes, and again when the zone
 * has not reached it after some time.
 */
import {planZones, type ZonePlan, type ZoneSupply} from '../capacity/index.js';
import type {Clock} from '../clock/index.js';
import type {Directory, KnownEndpoint} from '../directory/index.js';
import type {Logger} from '../logging/index.js';
import type {Service} from '../routing/index.js';
import type {FencedPlatformClient, Leader} from './client.js';

/** Milliseconds after which a request that is not yet met is sent again. */
const RESEND_DELAY_MILLISECONDS = 8_000;
/** Milliseconds for which a kind that was unavailable is not requested again. */
const UNAVAILABLE_BACKOFF_MILLISECONDS = 3_000;
/** Milliseconds for which a peak of the load counts after the load has dropped. */
const SCALE_DOWN_DELAY_MILLISECONDS = 30_000;
/**
 * Milliseconds after the first observation in which a baseline may still grow.
 */
const BASELINE_GROWTH_MILLISECONDS = 5_000;
/** Milliseconds after the first load from which the load shows the demand. */
const DEMAND_WARM_UP_MILLISECONDS = 10_000;
/** Mean number of busy endpoints from which a service counts as in use. */
const ACTIVE_THRESHOLD_ENDPOINTS = 0.05;

/** What a host knows, as far as the autoscaler needs it. */
export interface AutoscalerView {
  readonly services: ReadonlyMap<string, Service>;
  readonly directory: Directory;
  /** Zones that operators have taken out of service. */
  readonly zonesOut: ReadonlySet<string>;
  /** Mean number of a service's endpoints that the demand keeps busy. */
  readonly busy: (service: string) => number;
  /** Number of hosts that are believed to be up, including this one. */
  readonly hosts: number;
  /**
   * Whether a service is being moved to another version, whose endpoints are there
   * beside the old ones; they are not too many.
   */
  readonly isRollingOut?: (service: string) => boolean;
}

/** Dependencies of an autoscaler. */
export interface AutoscalerOptions {
  readonly client: FencedPlatformClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly view: () => AutoscalerView;
}

interface TimedCount {
  readonly count: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/**
 * Keeps the number of endpoints at the plan while this host is the leader. Keys
 * of its maps are services, or service, zone and kind.
 */
export class Autoscaler {
  /** Fencing token of the term in which `lastRequests` were sent. */
  private fence = 0;
  private readonly lastRequests = new Map<string, TimedCount>();
  private readonly unavailableUntil = new Map<string, number>();
  private readonly peakLoads = new Map<string, TimedCount>();
  /** On-demand endpoints at the first observation, with the time of it. */
  private readonly baselines = new Map<string, TimedCount>();
  /** Monotonic milliseconds at which a service was first in use. */
  private readonly activeSince = new Map<string, number>();
  /**
   * Zones in which a service was ever seen; it may have lost all of its
   * endpoints there.
   */
  private readonly seenZones = new Map<string, ReadonlySet<string>>();

  constructor(private readonly options: AutoscalerOptions) {}

  /**
   * Records the baseline of each service: the on-demand endpoints that exist
   * before the first scale request. Every host does so from its start, since a
   * host that becomes leader later sees only what its predecessor has left.
   */
  recordBaselines(): void {
    const view = this.options.view();
    for (const service of view.services.values()) {
      if (!service.range) continue;
      this.recordBaseline(service, view);
    }
  }

  /** Sends the scale requests that are due. */
  async reconcile(leader: Leader): Promise<void> {
    if (leader.fence !== this.fence) {
      this.fence = leader.fence;
      this.lastRequests.clear();
    }
    this.recordBaselines();
    const {services} = this.options.view();
    for (const service of services.values()) {
      if (service.range) await this.reconcileService(service, leader);
    }
  }

  /**
   * Records the baseline of a service, which may still grow for a while after
   * the first observation.
   */
  private recordBaseline(service: Service, view: AutoscalerView): void {
    const {name} = service;
    const now = this.options.clock.monotonic();
    const before = this.baselines.get(name);
    if (before && now - before.at > BASELINE_GROWTH_MILLISECONDS) return;
    const onDemand = totalOnDemand(this.suppliesOf(service, view));
    if (onDemand === 0) return;
    const count = Math.max(before?.count ?? 0, onDemand);
    this.baselines.set(name, {count, at: before?.at ?? now});
  }

  private async reconcileService(
    service: Service,
    leader: Leader,
  ): Promise<void> {
    const {range} = service;
    const view = this.options.view();
    const supplies = this.suppliesOf(service, view);
    if (!range || view.directory.size === 0) return;
    if (view.isRollingOut?.(service.name)) return;
    const {name} = service;
    const {hosts} = view;
    const busyNow = view.busy(name);
    const baseline = this.baselines.get(name)?.count ?? 0;
    const isDemandKnown = this.isDemandKnown(name, busyNow);
    // The first callers look like more load than they are, since the engines
    // have nothing cached yet; so that load is not kept as a peak.
    const busy = isDemandKnown ? this.recentPeakLoad(name, busyNow) : busyNow;
    for (const plan of planZones({
      range,
      supplies,
      busy,
      baseline,
      isDemandKnown,
      hosts,
    })) {
      const supply = supplies.find(({zone}) => zone === plan.zone);
      if (supply) await this.reconcileZone(name, plan, supply, leader);
    }
  }

  private async reconcileZone(
    service: string,
    {zone, onDemand, reclaimable}: ZonePlan,
    supply: ZoneSupply,
    leader: Leader,
  ): Promise<void> {
    const kinds = [
      {reclaimable: true, count: reclaimable, present: supply.reclaimable},
      {reclaimable: false, count: onDemand, present: supply.onDemand},
    ];
    for (const kind of kinds) {
      const key = `${service} ${zone} ${kind.reclaimable}`;
      if (!this.isDue(key, kind.count, kind.present)) continue;
      const request = {service, zone, ...kind};
      const now = this.options.clock.monotonic();
      const outcome = await this.options.client.scale(request, leader);
      this.options.logger.info('endpoints-ordered', {
        ...request,
        fence: leader.fence,
        outcome,
      });
      if (outcome === 'withheld') return;
      if (outcome === 'unavailable') {
        this.unavailableUntil.set(key, now + UNAVAILABLE_BACKOFF_MILLISECONDS);
        this.lastRequests.delete(key);
      } else if (outcome === 'done') {
        this.lastRequests.set(key, {count: kind.count, at: now});
      }
    }
  }

  private isDue(key: string, count: number, present: number): boolean {
    const now = this.options.clock.monotonic();
    if (now < (this.unavailableUntil.get(key) ?? -Infinity)) return false;
    const last = this.lastRequests.get(key);
    if (!last) return count !== present;
    if (last.count !== count) return true;
    return count !== present && now - last.at >= RESEND_DELAY_MILLISECONDS;
  }

  private zonesOfService(
    service: string,
    endpoints: readonly KnownEndpoint[],
    pricedZones: readonly string[],
  ): string[] {
    const seen = this.seenZones.get(service) ?? new Set<string>();
    const here = endpoints.map(({entry}) => entry.zone);
    const zones = new Set([...seen, ...pricedZones, ...here]);
    this.seenZones.set(service, zones);
    return [...zones].sort();
  }

  /** Whether a service has been in use for long enough to know its demand. */
  private isDemandKnown(service: string, busy: number): boolean {
    const now = this.options.clock.monotonic();
    const since = this.activeSince.get(service);
    if (since !== undefined) return now - since >= DEMAND_WARM_UP_MILLISECONDS;
    if (busy >= ACTIVE_THRESHOLD_ENDPOINTS) this.activeSince.set(service, now);
    return false;
  }

  /**
   * The recent peak of the mean number of busy endpoints, so that a lull in the
   * load does not scale the service down.
   */
  private recentPeakLoad(service: string, busy: number): number {
    const now = this.options.clock.monotonic();
    const before = this.peakLoads.get(service);
    const stale = !before || now - before.at > SCALE_DOWN_DELAY_MILLISECONDS;
    if (stale || busy >= before.count) {
      this.peakLoads.set(service, {count: busy, at: now});
      return busy;
    }
    return before.count;
  }

  private suppliesOf(
    {name, range}: Service,
    view: AutoscalerView,
  ): ZoneSupply[] {
    const endpoints = [...view.directory.values()].filter(
      ({entry}) => entry.service === name,
    );
    const zones = this.zonesOfService(
      name,
      endpoints,
      Object.keys(range?.prices ?? {}),
    );
    const now = this.options.clock.monotonic();
    return zones.map(zone => {
      const here = endpoints.filter(({entry}) => entry.zone === zone);
      const key = `${name} ${zone} true`;
      return {
        zone,
        onDemand: countStaying(here, false),
        reclaimable: countStaying(here, true),
        reclaimableUnavailable:
          now < (this.unavailableUntil.get(key) ?? -Infinity),
        out: view.zonesOut.has(zone),
      };
    });
  }
}

function totalOnDemand(supplies: readonly ZoneSupply[]): number {
  return supplies.reduce((sum, {onDemand}) => sum + onDemand, 0);
}

function countStaying(
  endpoints: readonly KnownEndpoint[],
  reclaimable: boolean,
): number {
  return endpoints.filter(
    ({entry}) => !entry.leaving && entry.reclaimable === reclaimable,
  ).length;
}
