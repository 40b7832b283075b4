/**
 * Hosts that this one contacts without knowing that they are up: the seeds of its
 * settings, for as long as they are not reachable, and hosts that the store names,
 * for a while after it has named them.
 */
import {rendezvousOrder} from '../balance/index.js';
import type {Clock} from '../clock/index.js';
import type {GossipMessage, HostAddress} from './message.js';
import {OutboundConnection} from './outbound.js';

/** Who named a host that was contacted. */
export type ContactSource = 'seed' | 'store';

const CONTACT_INTERVAL_MILLISECONDS = 1_000;
/** Hosts of the store that are contacted in one interval, at most. */
const MAX_LISTED_CONTACTS = 8;
/** Milliseconds for which a host of the store is contacted beyond its turn. */
const CONTACT_PATIENCE_MILLISECONDS = 5_000;

/** A host that the store names. */
interface ListedHost {
  readonly host: HostAddress;
  readonly outbound: OutboundConnection;
  /** Monotonic milliseconds until which it is contacted. */
  readonly until: number;
  /** Whether it has a share of the limits until then. */
  readonly hasShare: boolean;
}

/** A host that the store names and that this one does not reach. */
export interface HostToContact {
  readonly host: HostAddress;
  /** Whether it may be up, as it has not yet been tried for long. */
  readonly isNew: boolean;
}

/** The hosts to contact, and the connections to them. */
export class Contacts {
  private seeds: readonly OutboundConnection[] = [];
  private listed: ReadonlyMap<string, ListedHost> = new Map();
  private contactedAt = -Infinity;
  private rounds = 0;

  constructor(
    private readonly self: HostAddress,
    private readonly clock: Clock,
  ) {}

  /** Replaces the addresses of the seeds. */
  setSeeds(addresses: readonly string[]): void {
    const before = new Map(this.seeds.map(seed => [seed.address, seed]));
    const others = new Set(addresses);
    others.delete(this.self.address);
    this.seeds = [...others].map(
      address =>
        before.get(address) ?? new OutboundConnection(address, this.clock),
    );
    for (const [address, seed] of before)
      if (!others.has(address)) seed.reset();
  }

  /** Adds hosts that the store names; they are contacted in turn. */
  addListed(hosts: readonly HostToContact[]): void {
    const turns = Math.ceil(hosts.length / MAX_LISTED_CONTACTS);
    const duration =
      CONTACT_PATIENCE_MILLISECONDS + turns * CONTACT_INTERVAL_MILLISECONDS;
    const until = this.clock.monotonic() + duration;
    const listed = new Map(this.listed);
    for (const {host, isNew: hasShare} of hosts) {
      listed.get(host.name)?.outbound.reset();
      const outbound = new OutboundConnection(host.address, this.clock);
      listed.set(host.name, {host, outbound, until, hasShare});
    }
    this.listed = listed;
    this.contactedAt = -Infinity;
  }

  /**
   * Names of hosts of the store that may be up and have not been reached, which
   * until then count as hosts that share the limits.
   */
  sharingNames(now: number): string[] {
    return [...this.listed.values()]
      .filter(({hasShare, until}) => hasShare && now < until)
      .map(({host}) => host.name);
  }

  /** Who named the host at an address, if it was contacted. */
  sourceOf(address: string): ContactSource | undefined {
    if (this.seeds.some(seed => seed.address === address)) return 'seed';
    const isListed = [...this.listed.values()].some(
      ({host}) => host.address === address,
    );
    return isListed ? 'store' : undefined;
  }

  /**
   * Sends a message to each seed that is not reachable, and to some of the hosts
   * of the store; drops the connections to the others.
   */
  contact(
    reachable: readonly HostAddress[],
    createMessage: () => GossipMessage,
  ): void {
    const now = this.clock.monotonic();
    if (now - this.contactedAt < CONTACT_INTERVAL_MILLISECONDS) return;
    this.contactedAt = now;
    const known = new Set(reachable.map(({address}) => address));
    for (const seed of this.seeds) {
      if (known.has(seed.address)) seed.reset();
      else seed.send(createMessage());
    }
    this.dropListed(known, now);
    for (const {outbound} of this.nextListed()) outbound.send(createMessage());
  }

  /** Closes all connections. */
  reset(): void {
    for (const seed of this.seeds) seed.reset();
    for (const {outbound} of this.listed.values()) outbound.reset();
  }

  /** Drops the hosts of the store that are reachable or have had their time. */
  private dropListed(known: ReadonlySet<string>, now: number): void {
    const kept = new Map(this.listed);
    for (const [name, {host, outbound, until}] of this.listed) {
      if (now < until && !known.has(host.address)) continue;
      outbound.reset();
      kept.delete(name);
    }
    this.listed = kept;
  }

  /** The hosts whose turn it is; each host contacts them in its own order. */
  private nextListed(): ListedHost[] {
    const names = rendezvousOrder(this.self.name, [...this.listed.keys()]);
    const turn = this.rounds++ * MAX_LISTED_CONTACTS;
    const start = turn % Math.max(names.length, 1);
    return [...names.slice(start), ...names.slice(0, start)]
      .slice(0, MAX_LISTED_CONTACTS)
      .flatMap(name => this.listed.get(name) ?? []);
  }
}
