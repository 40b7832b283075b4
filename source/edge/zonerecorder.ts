/**
 * The host of a zone that appends to the store for the others of its zone, in a
 * large fleet, and the messages to it. All hosts derive the same one. In a small
 * fleet each host appends itself.
 */
import {rendezvousOrder} from '../balance/index.js';
import {
  MAX_DIRECT_HOSTS,
  type GossipMessage,
  type HostAddress,
  type SheetDelivery,
} from '../gossip/index.js';
import type {BegunGroup} from '../versions/index.js';

/** Ranks the hosts of a zone as the one that appends for the others. */
const RANKING_KEY = 'recorder';

/** What a zone recorder is created from. */
export interface ZoneRecorderOptions {
  readonly self: HostAddress;
  /** The other hosts that are believed to be up and not leaving. */
  readonly hosts: () => readonly HostAddress[];
  readonly send: (host: string, message: GossipMessage) => void;
}

/** Finds the host that appends for this one, and sends to it. */
export class ZoneRecorder {
  constructor(private readonly options: ZoneRecorderOptions) {}

  /** Name of the host that appends for this one; undefined for itself. */
  get name(): string | undefined {
    const {self, hosts} = this.options;
    const others = hosts();
    if (others.length < MAX_DIRECT_HOSTS) return undefined;
    const sameZone = others.filter(({zone}) => zone === self.zone);
    const names = [self.name, ...sameZone.map(({name}) => name)];
    const [first] = rendezvousOrder(RANKING_KEY, names);
    return first === self.name ? undefined : first;
  }

  /** Sends streams that have begun. */
  sendStreams(host: string, groups: readonly BegunGroup[]): void {
    const {self: from, send} = this.options;
    send(host, {kind: 'streams', from, groups: [...groups]});
  }

  /** Sends usage sheets. */
  sendSheets(host: string, {number, sheets}: SheetDelivery): void {
    const {self: from, send} = this.options;
    send(host, {kind: 'sheets', from, number, sheets: [...sheets]});
  }

  /** Tells a host that the usage sheets which it sent are stored. */
  confirmSheets(host: string, number: number): void {
    const {self: from, send} = this.options;
    send(host, {kind: 'sheets-stored', from, number});
  }
}
