/**
 * The host of a zone that appends to the store for the others of its zone, in a
 * large fleet, and the messages to it. All hosts derive the same one. In a small
 * fleet each host appends itself.
 */
import {rendezvousOrder} from '../balance/index.js';
import type {Clock} from '../clock/index.js';
import {
  incarnationOf,
  MAX_DIRECT_HOSTS,
  type GossipMessage,
  type HostAddress,
} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
import type {Sheet} from '../platform/index.js';
import type {Delivery} from '../recorder/index.js';
import type {BegunGroup} from '../versions/index.js';

/** Ranks the hosts of a zone as the one that appends for the others. */
const RANKING_KEY = 'recorder';
/** Time for which a host that has not confirmed what it got appends for nobody. */
const DISTRUST_MILLISECONDS = 10_000;

/** What a zone recorder is created from. */
export interface ZoneRecorderOptions {
  readonly self: HostAddress;
  readonly clock: Clock;
  /** The other hosts that are reachable and not leaving. */
  readonly hosts: () => readonly HostAddress[];
  readonly send: (host: string, message: GossipMessage) => void;
  readonly logger: Logger;
}

/** Finds the host that appends for this one, and sends to it. */
export class ZoneRecorder {
  /** Until when hosts are not used, monotonic milliseconds, by incarnation. */
  private readonly distrusted = new Map<string, number>();

  constructor(private readonly options: ZoneRecorderOptions) {}

  /** Name of the host that appends for this one; undefined for itself. */
  get name(): string | undefined {
    const {self, hosts} = this.options;
    const others = hosts();
    if (others.length < MAX_DIRECT_HOSTS) return undefined;
    const sameZone = others.filter(
      host => host.zone === self.zone && !this.isDistrusted(host),
    );
    const names = [self.name, ...sameZone.map(({name}) => name)];
    const [first] = rendezvousOrder(RANKING_KEY, names);
    return first === self.name ? undefined : first;
  }

  /**
   * Notes that a host has not confirmed what it got, though this one could store
   * it. The next host in order is used until it has started anew, or for a while.
   */
  noteMissed(name: string): void {
    const {clock, hosts, logger} = this.options;
    const host = hosts().find(other => other.name === name);
    if (!host || this.isDistrusted(host)) return;
    const now = clock.monotonic();
    for (const [incarnation, until] of this.distrusted)
      if (now >= until) this.distrusted.delete(incarnation);
    const until = now + DISTRUST_MILLISECONDS;
    this.distrusted.set(incarnationOf(host), until);
    logger.warn('recorder-missed', {name, next: this.name ?? ''});
  }

  /** Sends streams that have begun. */
  sendStreams(
    host: string,
    {number, items: groups}: Delivery<BegunGroup>,
  ): void {
    const {self: from, send} = this.options;
    send(host, {kind: 'streams', from, number, groups: [...groups]});
  }

  /** Tells a host that the begun streams which it sent are stored. */
  confirmStreams(host: string, number: number): void {
    const {self: from, send} = this.options;
    send(host, {kind: 'streams-stored', from, number});
  }

  /** Sends usage sheets. */
  sendSheets(host: string, {number, items: sheets}: Delivery<Sheet>): void {
    const {self: from, send} = this.options;
    send(host, {kind: 'sheets', from, number, sheets: [...sheets]});
  }

  /** Tells a host that the usage sheets which it sent are stored. */
  confirmSheets(host: string, number: number): void {
    const {self: from, send} = this.options;
    send(host, {kind: 'sheets-stored', from, number});
  }

  private isDistrusted(host: HostAddress): boolean {
    const until = this.distrusted.get(incarnationOf(host)) ?? -Infinity;
    return this.options.clock.monotonic() < until;
  }
}
