/**
 * Orders endpoints as the plan has it. An order is absolute and is sent when
 * the plan changes, or again when it has not come true for long.
 */
import {planZones, type ZonePlan, type ZoneSupply} from '../capacity/index.js';
import type {Clock} from '../clock/index.js';
import type {Directory, KnownEndpoint} from '../directory/index.js';
import type {Logger} from '../logging/index.js';
import type {Service} from '../routing/index.js';
import type {DutyCalls, Holder} from './calls.js';

/** Milliseconds after which an order that has not come true is sent again. */
const AGAIN_MILLISECONDS = 8_000;
/** Milliseconds for which a refused kind is not asked for again. */
const DRY_MILLISECONDS = 3_000;
/** Milliseconds for which a larger plan stands after the need for it is over. */
const KEEP_MILLISECONDS = 30_000;
/** Milliseconds after the first look in which what is found may still grow. */
const FOUND_MILLISECONDS = 5_000;
/** Milliseconds of callers after which their work tells what they need. */
const KNOWN_MILLISECONDS = 10_000;
/** Busy endpoints from which on callers are there. */
const CALLERS_BUSY = 0.05;

/** What a host knows that decides about orders. */
export interface OrderView {
  readonly services: ReadonlyMap<string, Service>;
  readonly directory: Directory;
  readonly zonesOut: ReadonlySet<string>;
  /** Endpoints of a service that callers keep busy, on the mean. */
  readonly busy: (service: string) => number;
  /** Hosts that are believed to live, this one among them. */
  readonly hosts: number;
}

/** What orders are made from. */
export interface OrdersOptions {
  readonly calls: DutyCalls;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly view: () => OrderView;
}

interface Standing {
  readonly count: number;
  readonly at: number;
}

/** The holder's orders. */
export class Orders {
  private fence = 0;
  private readonly sent = new Map<string, Standing>();
  private readonly dryUntil = new Map<string, number>();
  private readonly peaks = new Map<string, Standing>();
  /** Lasting endpoints at the first look, with its time. */
  private readonly found = new Map<string, Standing>();
  /** Monotonic milliseconds of the first callers, by service. */
  private readonly calledAt = new Map<string, number>();
  /** Zones in which a service was ever seen; it may have lost all there. */
  private readonly zones = new Map<string, ReadonlySet<string>>();

  constructor(private readonly options: OrdersOptions) {}

  /**
   * Notes what stands before the first order. Every host does, since one that
   * takes the duties over finds only what its predecessor has left.
   */
  note(): void {
    const view = this.options.view();
    for (const service of view.services.values()) {
      if (!service.range) continue;
      this.noteFound(service, view);
    }
  }

  /** Sends the orders that are due. */
  async carryOut(holder: Holder): Promise<void> {
    if (holder.fence !== this.fence) {
      this.fence = holder.fence;
      this.sent.clear();
    }
    this.note();
    const {services} = this.options.view();
    for (const service of services.values()) {
      if (service.range) await this.orderFor(service, holder);
    }
  }

  /** What is found may still grow for a while after the first look. */
  private noteFound(service: Service, view: OrderView): void {
    const {name} = service;
    const now = this.options.clock.monotonic();
    const before = this.found.get(name);
    if (before && now - before.at > FOUND_MILLISECONDS) return;
    const lasting = lastingOf(this.supplies(service, view));
    if (lasting === 0) return;
    const count = Math.max(before?.count ?? 0, lasting);
    this.found.set(name, {count, at: before?.at ?? now});
  }

  private async orderFor(service: Service, holder: Holder): Promise<void> {
    const {range} = service;
    const view = this.options.view();
    const supplies = this.supplies(service, view);
    if (!range || view.directory.size === 0) return;
    const {name} = service;
    const {hosts} = view;
    const present = view.busy(name);
    const found = this.found.get(name)?.count ?? 0;
    const known = this.isKnown(name, present);
    // Engines that keep nothing yet make the first callers look like more work.
    const busy = known ? this.peak(name, present) : present;
    for (const plan of planZones({
      range,
      supplies,
      busy,
      found,
      known,
      hosts,
    })) {
      const supply = supplies.find(({zone}) => zone === plan.zone);
      if (supply) await this.orderZone(name, plan, supply, holder);
    }
  }

  private async orderZone(
    service: string,
    {zone, lasting, reclaimable}: ZonePlan,
    supply: ZoneSupply,
    holder: Holder,
  ): Promise<void> {
    const kinds = [
      {reclaimable: true, count: reclaimable, present: supply.reclaimable},
      {reclaimable: false, count: lasting, present: supply.lasting},
    ];
    for (const kind of kinds) {
      const key = `${service} ${zone} ${kind.reclaimable}`;
      if (!this.isDue(key, kind.count, kind.present)) continue;
      const order = {service, zone, ...kind};
      const now = this.options.clock.monotonic();
      const outcome = await this.options.calls.order(order, holder);
      this.options.logger.info('endpoints-ordered', {
        ...order,
        fence: holder.fence,
        outcome,
      });
      if (outcome === 'withheld') return;
      if (outcome === 'unavailable') {
        this.dryUntil.set(key, now + DRY_MILLISECONDS);
        this.sent.delete(key);
      } else if (outcome === 'done') {
        this.sent.set(key, {count: kind.count, at: now});
      }
    }
  }

  private isDue(key: string, count: number, present: number): boolean {
    const now = this.options.clock.monotonic();
    if (now < (this.dryUntil.get(key) ?? -Infinity)) return false;
    const standing = this.sent.get(key);
    if (!standing) return count !== present;
    if (standing.count !== count) return true;
    return count !== present && now - standing.at >= AGAIN_MILLISECONDS;
  }

  private zonesOf(
    service: string,
    endpoints: readonly KnownEndpoint[],
    priced: readonly string[],
  ): string[] {
    const seen = this.zones.get(service) ?? new Set<string>();
    const here = endpoints.map(({entry}) => entry.zone);
    const zones = new Set([...seen, ...priced, ...here]);
    this.zones.set(service, zones);
    return [...zones].sort();
  }

  /** Whether callers have been there for long enough to tell what they need. */
  private isKnown(service: string, busy: number): boolean {
    const now = this.options.clock.monotonic();
    const calledAt = this.calledAt.get(service);
    if (calledAt !== undefined) return now - calledAt >= KNOWN_MILLISECONDS;
    if (busy >= CALLERS_BUSY) this.calledAt.set(service, now);
    return false;
  }

  /** The most that was busy lately, so that a lull gives nothing away. */
  private peak(service: string, busy: number): number {
    const now = this.options.clock.monotonic();
    const before = this.peaks.get(service);
    const stale = !before || now - before.at > KEEP_MILLISECONDS;
    if (stale || busy >= before.count) {
      this.peaks.set(service, {count: busy, at: now});
      return busy;
    }
    return before.count;
  }

  private supplies({name, range}: Service, view: OrderView): ZoneSupply[] {
    const endpoints = [...view.directory.values()].filter(
      ({entry}) => entry.service === name,
    );
    const zones = this.zonesOf(
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
        lasting: staying(here, false),
        reclaimable: staying(here, true),
        dry: now < (this.dryUntil.get(key) ?? -Infinity),
        out: view.zonesOut.has(zone),
      };
    });
  }
}

function lastingOf(supplies: readonly ZoneSupply[]): number {
  return supplies.reduce((sum, {lasting}) => sum + lasting, 0);
}

function staying(
  endpoints: readonly KnownEndpoint[],
  reclaimable: boolean,
): number {
  return endpoints.filter(
    ({entry}) => !entry.leaving && entry.reclaimable === reclaimable,
  ).length;
}
