/**
 * Exchanges state between the hosts of a platform: that they are alive, how
 * far they know the store, what load they have at each endpoint, and records
 * that the store has not delivered to every host. A pulse is the heartbeat that
 * every host sends to every other. The more hosts there are, the longer its
 * period, so that the cost to one host does not grow with the fleet.
 */
import {createServer} from 'node:net';

import {rendezvousOrder} from '../balance/index.js';
import type {Cancel} from '../clock/index.js';
import type {SharingHosts} from '../membership/index.js';
import {Port} from '../ports/index.js';
import {isBefore} from '../store/index.js';
import type {HostToContact} from './contacts.js';
import {InboundConnections} from './inbound.js';
import {
  applyHostList,
  applyPulse,
  isOutdated,
  removeSilent,
  reachableMembers,
  activeHosts,
  type Member,
  type Members,
} from './members.js';
import {
  gossipSchema,
  incarnationOf,
  type GossipMessage,
  type HostAddress,
  type Pulse,
} from './message.js';
import {MembershipView} from './membershipview.js';
import {MissingRecords} from './missingrecords.js';
import type {GossipOptions} from './options.js';
import {OutboundConnection} from './outbound.js';
import {Peer} from './peer.js';
import {createPulse, type OwnState} from './pulse.js';
import {
  compressRecords,
  createRecordsMessage,
  toRecordPage,
} from './records.js';

/** Least time between two pulses to one host. */
const MIN_PERIOD_MILLISECONDS = 200;
/**
 * The period is at least this long for each known host: with many hosts each
 * gets fewer pulses, so that a host sends at most 25 a second.
 */
const PERIOD_PER_HOST_MILLISECONDS = 40;
/** Periods without an acknowledgement after which a connection is replaced. */
const ACKNOWLEDGEMENT_TIMEOUT_PERIODS = 5;
/** Periods for which recent events are repeated, since pulses may be lost. */
const EVENT_REPEAT_PERIODS = 1.25;

/** Exchanges gossip with the other hosts. */
export class GossipNode {
  private members: Members = new Map();
  private readonly peers = new Map<string, Peer>();
  /** The port for the other hosts, which is opened by `start`. */
  readonly port: Port;
  private readonly inbound: InboundConnections;
  private readonly missing = new MissingRecords();
  private readonly view: MembershipView;
  /** Monotonic milliseconds. */
  private readonly createdAt: number;
  /** The hosts that were reachable at the last tick. */
  private lastReachable: readonly Member[] = [];
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: GossipOptions) {
    const {clock, logger, metrics, self} = options;
    this.createdAt = clock.monotonic();
    this.view = new MembershipView(options, () => this.members);
    this.inbound = new InboundConnections(logger, value =>
      this.handleMessage(value),
    );
    const server = createServer(socket => this.inbound.accept(socket));
    // The other half is for the connections that this host opens.
    if (options.descriptors)
      server.maxConnections = Math.ceil(options.descriptors.hosts / 2);
    this.port = new Port({
      role: 'control',
      address: self.address,
      server,
      isRequired: true,
      clock,
      logger,
      metrics,
    });
  }

  /**
   * Listens for the other hosts as soon as the port is free, and then starts to
   * send pulses; does not if it was stopped before. Rejects with a PortError if
   * waiting does not open the port.
   */
  async start(): Promise<void> {
    if (!(await this.port.open())) return;
    this.view.start();
    this.tick();
  }

  /** Replaces the addresses of the hosts through which this one finds others. */
  setSeeds(addresses: readonly string[]): void {
    this.view.contacts.setSeeds(addresses);
  }

  /** Contacts hosts that the store names; with them it has told of all others. */
  contactListed(hosts: readonly HostToContact[]): void {
    this.view.handleList(hosts);
  }

  stop(): void {
    this.stopTimer();
    this.port.close();
    this.inbound.destroy();
    for (const {outbound} of this.peers.values()) outbound.reset();
    this.view.contacts.reset();
  }

  /** The other hosts that are reachable. */
  get reachableMembers(): Member[] {
    return reachableMembers(this.members, this.options.clock.monotonic());
  }

  /** The other hosts that are reachable and not leaving. */
  get stayingHosts(): HostAddress[] {
    return this.reachableMembers
      .filter(({pulse}) => !pulse?.leaving)
      .map(({host}) => host);
  }

  /** The hosts that share the limits, this one among them. */
  get sharing(): SharingHosts {
    return this.view.sharing;
  }

  /**
   * The other hosts that have sent a pulse, have not been silent for long and
   * are not leaving.
   */
  get activeHosts(): HostAddress[] {
    return activeHosts(this.members, this.options.clock.monotonic());
  }

  /** Sends a message to a host; does nothing if the host is unknown. */
  send(name: string, message: GossipMessage): void {
    const member = this.members.get(name);
    if (!member) return;
    const isCompressed = message.kind === 'records' && member.pulse?.inflates;
    const sent = isCompressed ? compressRecords(message) : message;
    this.peerFor(member).outbound.send(sent);
  }

  /** Sends a message to all other hosts. */
  broadcast(message: GossipMessage): void {
    for (const name of this.members.keys()) this.send(name, message);
  }

  /** Sends a pulse to all other hosts at once, as when this host leaves. */
  sendPulses(): void {
    const own = this.ownState();
    const replicaHost = this.usageReplicaHost();
    for (const name of this.members.keys())
      this.sendPulse(name, own, replicaHost);
  }

  private get period(): number {
    const scaled = this.members.size * PERIOD_PER_HOST_MILLISECONDS;
    return Math.max(MIN_PERIOD_MILLISECONDS, scaled);
  }

  private tick(): void {
    const {clock} = this.options;
    const now = clock.monotonic();
    this.reportLostHosts(now);
    const {isStoreInTouch} = this.view;
    this.members = removeSilent(this.members, now, this.period, isStoreInTouch);
    for (const name of this.peers.keys()) {
      if (!this.members.has(name)) this.disconnect(name);
    }
    this.sendPulses();
    this.view.contacts.contact(
      this.reachableMembers.map(({host}) => host),
      () => this.createPulse(this.ownState(), 1, 0),
    );
    this.requestMissingRecords(now);
    this.view.update();
    this.stopTimer = clock.after(this.period, () => this.tick());
  }

  private reportLostHosts(now: number): void {
    const reached = reachableMembers(this.members, now);
    const incarnations = new Set(reached.map(({host}) => incarnationOf(host)));
    for (const {host} of this.lastReachable) {
      if (incarnations.has(incarnationOf(host))) continue;
      this.options.logger.info('host-lost', {name: host.name});
      this.options.onHostLost(host);
    }
    this.lastReachable = reached;
  }

  /**
   * The host that keeps the replica of this one's usage sheets: in the same
   * zone where possible, and by rendezvous order, so that it stays the same
   * until it goes.
   */
  private usageReplicaHost(): string | undefined {
    const {self} = this.options;
    const sameZone = this.lastReachable.filter(
      ({host}) => host.zone === self.zone,
    );
    const names = (sameZone.length > 0 ? sameZone : this.lastReachable).map(
      ({host}) => host.name,
    );
    return rendezvousOrder(self.name, names)[0];
  }

  private disconnect(name: string): void {
    this.peers.get(name)?.outbound.reset();
    this.peers.delete(name);
  }

  private ownState(): OwnState {
    return this.options.state(this.period * EVENT_REPEAT_PERIODS);
  }

  /** Sends a pulse, with the usage sheets if it goes to `replicaHost`. */
  private sendPulse(
    name: string,
    own: OwnState,
    replicaHost: string | undefined,
  ): void {
    const member = this.members.get(name);
    if (!member) return;
    const peer = this.peerFor(member);
    const now = this.options.clock.monotonic();
    const timeout = ACKNOWLEDGEMENT_TIMEOUT_PERIODS * this.period;
    if (peer.renewIfSilent(timeout, now))
      this.options.metrics.count('gossip-renewed');
    const heard = member.pulse?.sequence ?? 0;
    const pulse = this.createPulse(own, peer.takeSequence(), heard);
    const sheets = name === replicaHost ? this.options.sheets() : [];
    peer.outbound.send({...pulse, sheets: [...sheets]});
  }

  private peerFor({host}: Member): Peer {
    const existing = this.peers.get(host.name);
    if (existing?.outbound.address === host.address) return existing;
    this.disconnect(host.name);
    const {clock} = this.options;
    const outbound = new OutboundConnection(host.address, clock);
    const peer = new Peer(outbound, clock.monotonic());
    this.peers.set(host.name, peer);
    return peer;
  }

  private createPulse(own: OwnState, sequence: number, heard: number): Pulse {
    const {self, clock} = this.options;
    return createPulse(own, {
      self,
      sequence,
      heard,
      period: this.period,
      time: clock.now().getTime(),
      uptime: Math.floor(clock.monotonic() - this.createdAt),
      isConfirmed: this.view.wasTold,
      reachableHosts: () => this.reachableMembers.map(({host}) => host),
    });
  }

  private handleMessage(value: unknown): void {
    const parsed = gossipSchema.safeParse(value);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      const detail = `${issue?.path.join('.')}: ${issue?.message}`;
      this.options.metrics.count('gossip-malformed');
      this.options.logger.warn('gossip-malformed', {detail});
      return;
    }
    const message = parsed.data;
    if (message.from.name === this.options.self.name) return;
    switch (message.kind) {
      case 'pulse':
        return this.handlePulse(message);
      case 'wanted':
        return this.handleRecordsRequest(message);
      case 'feed':
        return this.options.onFeedReport(message);
      case 'records':
        return this.options.onRecords(message.topic, toRecordPage(message));
      case 'crash':
        return this.options.onCrashReport(message.report);
      case 'begun':
        return this.options.onBegunSuspects(message.parts);
      case 'limits':
        return this.options.onLimits(message.limits);
      case 'streams':
        return this.options.onBegunStreams(
          message.from,
          message.groups,
          message.number,
        );
      case 'streams-stored':
        return this.options.onBegunStreamsStored(message.number);
      case 'sheets':
        return this.options.onSheets(message.from, {
          number: message.number,
          items: message.sheets,
        });
      case 'sheets-stored':
        return this.options.onSheetsStored(message.number);
      case 'rollout-share':
        return this.options.onRolloutShare(message.from, message.share);
      case 'rollout-report':
        return this.options.onRolloutReport(message.from, message.report);
    }
  }

  private handlePulse(pulse: Pulse): void {
    const {clock, self, onPulse, logger, metrics} = this.options;
    const {name, started, zone} = pulse.from;
    const now = clock.monotonic();
    const before = this.members.get(name);
    if (isOutdated(pulse, before)) return metrics.count('gossip-outdated');
    this.members = applyPulse(this.members, pulse, now);
    this.members = applyHostList(this.members, pulse.hosts, self.name, now);
    if (before?.host.started !== started || !before.pulse) {
      const source = this.view.sourceOf(pulse.from, before);
      const hosts = this.members.size + 1;
      logger.info('host-found', {name, zone, hosts, source});
      this.sendPulse(name, this.ownState(), this.usageReplicaHost());
      this.options.onHostFound(pulse.from);
      this.view.update();
    }
    this.peers.get(name)?.acknowledge(pulse.heard, now);
    onPulse(pulse);
  }

  private handleRecordsRequest(request: RecordsRequest): void {
    const {records, self} = this.options;
    const {from, topic} = request;
    const position = {offset: request.position, era: request.era};
    const page = records(topic, position);
    if (!isBefore(position, {offset: page.end, era: page.era})) return;
    this.send(from.name, createRecordsMessage(self, topic, page));
  }

  /**
   * Requests records that the store has not delivered to this host from a host
   * that is ahead.
   */
  private requestMissingRecords(now: number): void {
    const {state, self, logger} = this.options;
    const {positions} = state(0);
    const missing = this.missing.update(positions, this.reachableMembers, now);
    for (const {own, ahead} of missing) {
      const {topic, position, era} = own;
      const {name} = ahead.host;
      logger.info('records-asked', {topic, position, host: name});
      const kind = 'wanted';
      const request = {kind, from: self, topic, position, era} as const;
      this.peerFor(ahead).outbound.send(request);
    }
  }
}

type RecordsRequest = Extract<GossipMessage, {kind: 'wanted'}>;
