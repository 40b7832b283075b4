/**
 * What hosts tell each other: that they live, how far they know the store, what
 * they have at each endpoint, and records that the store does not give to all.
 * Every host pulses to every other; with many hosts the pulses are fewer, so
 * that what a host spends on them does not grow with the fleet.
 */
import {createServer, type Server, type Socket} from 'node:net';

import {
  rendezvousOrder,
  type EndpointLoadReport,
  type CachedPart,
  type ServiceDemand,
} from '../balance/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {FrameReader} from '../peers/index.js';
import type {Sheet} from '../platform/index.js';
import type {PassedOn} from '../store/index.js';
import {listen} from '../wire/index.js';
import {
  afterHearsay,
  afterPulse,
  afterSilence,
  inReach,
  sharers,
  staying,
  type Member,
  type Members,
} from './members.js';
import {
  gossipSchema,
  startOf,
  type Feed,
  type Gossip,
  type HostAddress,
  type Pulse,
  type TopicPosition,
} from './message.js';
import {Outbox} from './outbox.js';
import {pageOf, positionOf, recordsMessage} from './records.js';

/** Least time between two pulses to one host. */
const PERIOD_MILLISECONDS = 200;
/** With many hosts each gets fewer, so that a host sends at most 25 a second. */
const PERIOD_MILLISECONDS_PER_HOST = 40;
/** Pulses between two that name the other hosts. */
const HOSTS_EVERY = 5;
/** Hosts that a pulse names at the most. */
const NAMED_MOST = 12;
/** Periods without an echo after which a connection is made anew. */
const ECHO_PERIODS = 5;
/** Periods for which news is told again, since pulses may be lost. */
const NEWS_PERIODS = 1.25;
/** Milliseconds for which another host may be ahead before it is asked. */
const BEHIND_MILLISECONDS = 250;
const SEED_MILLISECONDS = 1_000;

/** What a host tells of itself. */
export interface OwnState {
  readonly leaving: boolean;
  readonly positions: readonly TopicPosition[];
  readonly uses: readonly EndpointLoadReport[];
  readonly work: readonly ServiceDemand[];
  readonly unreachable: readonly string[];
  readonly kept: readonly CachedPart[];
}

/** What gossip is made from. */
export interface GossipOptions {
  readonly self: HostAddress;
  /** Addresses of hosts that may be asked for the others. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** What to tell; of news, those of the last `period` milliseconds. */
  readonly state: (period: number) => OwnState;
  /** This host's usage that may not be in the store yet. */
  readonly sheets: () => readonly Sheet[];
  /** The records of a topic from an offset. */
  readonly records: (topic: string, position: number) => PassedOn;
  /** Called with records that another host has passed on. */
  readonly received: (topic: string, page: PassedOn) => void;
  /** Called with each word of a host that follows the store for others. */
  readonly fed: (feed: Feed) => void;
  /** Called with each pulse that has come. */
  readonly changed: (pulse: Pulse) => void;
  /** Called when a host has fallen silent or has started anew. */
  readonly lost: (host: HostAddress) => void;
}

interface Correspondence {
  readonly outbox: Outbox;
  sequence: number;
  /** The last pulse that the other side has echoed, and when. */
  echoed: number;
  echoedAt: number;
}

/** This host's talk with the others. */
export class GossipDesk {
  private members: Members = new Map();
  private readonly letters = new Map<string, Correspondence>();
  private readonly server: Server;
  private readonly inbound = new Set<Socket>();
  private readonly behindSince = new Map<string, number>();
  private readonly seeds: readonly Outbox[];
  private seededAt = -Infinity;
  /** The hosts that were in reach at the last beat. */
  private present: readonly Member[] = [];
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: GossipOptions) {
    const {clock, seeds, self} = options;
    this.seeds = seeds
      .filter(address => address !== self.address)
      .map(address => new Outbox(address, clock));
    this.server = createServer(socket => this.adopt(socket));
  }

  /** Listens for the others and begins to pulse. Throws a SettingsError. */
  async start(): Promise<void> {
    await listen(this.server, this.options.self.address);
    this.beat();
  }

  stop(): void {
    this.stopTimer();
    this.server.close();
    for (const socket of this.inbound) socket.destroy();
    for (const {outbox} of this.letters.values()) outbox.renew();
    for (const outbox of this.seeds) outbox.renew();
  }

  /** The other hosts that are in reach. */
  get reached(): Member[] {
    return inReach(this.members, this.options.clock.monotonic());
  }

  /** The names among which shared limits are dealt out. */
  get sharers(): string[] {
    return sharers(this.members, this.options.self.name);
  }

  /** The other hosts that live, as far as is known. */
  get others(): HostAddress[] {
    return staying(this.members);
  }

  /** Sends a message to a host, if it is known. */
  send(name: string, message: Gossip): void {
    const member = this.members.get(name);
    if (member) this.letterTo(member).outbox.send(message);
  }

  /** Tells all others at once, as when this host leaves. */
  tell(): void {
    const own = this.ownState();
    for (const name of this.members.keys()) this.pulseTo(name, own);
  }

  private get period(): number {
    const paced = this.members.size * PERIOD_MILLISECONDS_PER_HOST;
    return Math.max(PERIOD_MILLISECONDS, paced);
  }

  private beat(): void {
    const {clock} = this.options;
    const now = clock.monotonic();
    this.noteLost(now);
    this.members = afterSilence(this.members, now);
    for (const name of this.letters.keys()) {
      if (!this.members.has(name)) this.close(name);
    }
    this.tell();
    this.greetSeeds(now);
    this.askWhereBehind(now);
    this.stopTimer = clock.after(this.period, () => this.beat());
  }

  private noteLost(now: number): void {
    const reached = inReach(this.members, now);
    const starts = new Set(reached.map(({host}) => startOf(host)));
    for (const {host} of this.present) {
      if (starts.has(startOf(host))) continue;
      this.options.logger.info('host-lost', {name: host.name});
      this.options.lost(host);
    }
    this.present = reached;
  }

  /** The host that keeps this one's usage: near, and the same until it goes. */
  private keeper(): string | undefined {
    const {self} = this.options;
    const near = this.present.filter(({host}) => host.zone === self.zone);
    const names = (near.length > 0 ? near : this.present).map(
      ({host}) => host.name,
    );
    return rendezvousOrder(self.name, names)[0];
  }

  private close(name: string): void {
    this.letters.get(name)?.outbox.renew();
    this.letters.delete(name);
  }

  private ownState(): OwnState {
    return this.options.state(this.period * NEWS_PERIODS);
  }

  private pulseTo(name: string, own: OwnState): void {
    const member = this.members.get(name);
    if (!member) return;
    const letter = this.letterTo(member);
    const now = this.options.clock.monotonic();
    letter.sequence++;
    if (now - letter.echoedAt > ECHO_PERIODS * this.period) {
      letter.outbox.renew();
      letter.echoedAt = now;
      this.options.metrics.count('gossip-renewed');
    }
    const heard = member.pulse?.sequence ?? 0;
    const pulse = this.pulse(own, letter.sequence, heard);
    const sheets = name === this.keeper() ? this.options.sheets() : [];
    letter.outbox.send({...pulse, sheets: [...sheets]});
  }

  private letterTo({host}: Member): Correspondence {
    const present = this.letters.get(host.name);
    if (present?.outbox.address === host.address) return present;
    this.close(host.name);
    const {clock} = this.options;
    const outbox = new Outbox(host.address, clock);
    const echoedAt = clock.monotonic();
    const letter = {outbox, sequence: 0, echoed: 0, echoedAt};
    this.letters.set(host.name, letter);
    return letter;
  }

  private pulse(own: OwnState, sequence: number, heard: number): Pulse {
    const {self} = this.options;
    const {leaving, positions, uses, work, kept, unreachable} = own;
    const named = sequence % HOSTS_EVERY === 1;
    return {
      kind: 'pulse',
      from: self,
      sequence,
      heard,
      period: this.period,
      leaving,
      positions: [...positions],
      uses: [...uses],
      work: [...work],
      unreachable: [...unreachable],
      kept: [...kept],
      sheets: [],
      hosts: named ? this.named(sequence) : [],
    };
  }

  /** Some of the hosts in reach, others each time. */
  private named(sequence: number): HostAddress[] {
    const hosts = this.reached.map(({host}) => host);
    if (hosts.length <= NAMED_MOST) return hosts;
    const start = (sequence * NAMED_MOST) % hosts.length;
    return [...hosts, ...hosts].slice(start, start + NAMED_MOST);
  }

  /** Seeds are greeted until they are known by name, and when alone. */
  private greetSeeds(now: number): void {
    if (now - this.seededAt < SEED_MILLISECONDS) return;
    this.seededAt = now;
    const known = new Set(this.reached.map(({host}) => host.address));
    for (const outbox of this.seeds) {
      if (!known.has(outbox.address))
        outbox.send(this.pulse(this.ownState(), 1, 0));
      else outbox.renew();
    }
  }

  private adopt(socket: Socket): void {
    const reader = new FrameReader();
    this.inbound.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.inbound.delete(socket));
    socket.on('data', bytes => {
      try {
        for (const value of reader.push(bytes)) this.take(value);
      } catch (error) {
        const detail = error instanceof Error ? error.message : '';
        this.options.logger.warn('gossip-malformed', {detail});
        socket.destroy();
      }
    });
  }

  private take(value: unknown): void {
    const parsed = gossipSchema.safeParse(value);
    if (!parsed.success) {
      this.options.metrics.count('gossip-malformed');
      return;
    }
    const message = parsed.data;
    if (message.from.name === this.options.self.name) return;
    switch (message.kind) {
      case 'pulse':
        return this.takePulse(message);
      case 'wanted':
        return this.takeWanted(message);
      case 'feed':
        return this.options.fed(message);
      case 'records':
        return this.options.received(message.topic, pageOf(message));
    }
  }

  private takePulse(pulse: Pulse): void {
    const {clock, self, changed, logger} = this.options;
    const {name, started, zone} = pulse.from;
    const now = clock.monotonic();
    const before = this.members.get(name);
    this.members = afterPulse(this.members, pulse, now);
    this.members = afterHearsay(this.members, pulse.hosts, self.name, now);
    if (before?.host.started !== started || !before.pulse) {
      logger.info('host-found', {name, zone, hosts: this.members.size + 1});
      this.pulseTo(name, this.ownState());
    }
    const letter = this.letters.get(name);
    if (letter && pulse.heard > letter.echoed) {
      letter.echoed = pulse.heard;
      letter.echoedAt = now;
    }
    changed(pulse);
  }

  private takeWanted({from, topic, position}: Wanted): void {
    const {records, self} = this.options;
    const page = records(topic, position);
    if (page.end <= position) return;
    const member = this.members.get(from.name);
    if (!member) return;
    this.letterTo(member).outbox.send(recordsMessage(self, topic, page));
  }

  /** Asks another host for records that the store has not given to this one. */
  private askWhereBehind(now: number): void {
    const {state, self, logger} = this.options;
    for (const {topic, position} of state(0).positions) {
      const ahead = this.reached.find(
        ({pulse}) => positionOf(pulse?.positions ?? [], topic) > position,
      );
      if (!ahead) {
        this.behindSince.delete(topic);
        continue;
      }
      const since = this.behindSince.get(topic) ?? now;
      this.behindSince.set(topic, since);
      if (now - since < BEHIND_MILLISECONDS) continue;
      const {name} = ahead.host;
      logger.info('records-asked', {topic, position, host: name});
      const wanted = {kind: 'wanted', from: self, topic, position} as const;
      this.letterTo(ahead).outbox.send(wanted);
    }
  }
}

type Wanted = Extract<Gossip, {kind: 'wanted'}>;
