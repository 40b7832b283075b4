/**
 * A fleet whose hosts follow one keyed topic with the real feeder and follower, on a
 * manual clock: a store that comes back from copies and forgets its history, hosts
 * that are cut off from it or from each other and start again, and messages that
 * are lost.
 */
import {ManualClock} from '../../source/clock/index.js';
import {
  createRecordsMessage,
  Feeder,
  toRecordPage,
  type GossipMessage,
  type HostAddress,
} from '../../source/gossip/index.js';
import {encodeFrame} from '../../source/peers/index.js';
import {Metrics} from '../../source/metrics/index.js';
import {seededRandom} from '../../source/random/index.js';
import {
  isBefore,
  KeyedFollower,
  StoreError,
  type KeyedPage,
  type KeyedRecord,
} from '../../source/store/index.js';
import {SILENT} from './silent.js';
import {UnusedStore} from './unusedstore.js';

const TOPIC = 'endpoints';
const ZONES = ['palermo', 'catania'];
const MESSAGE_DELAY_MILLISECONDS = 2;
const STEP_MILLISECONDS = 50;
/** Turns of the event loop in which promises that depend on each other settle. */
const TURNS_PER_STEP = 3;

/** The topic, as all hosts share it. */
class TopicLog {
  log: KeyedRecord[] = [];
  era = 1;
  /** The oldest offset that is kept. */
  first = 0;
  private readonly waiting = new Set<() => void>();

  append(key: string, value: string | undefined): void {
    const bytes = value === undefined ? undefined : Buffer.from(value);
    this.log.push({key, value: bytes, offset: this.log.length});
    for (const wake of [...this.waiting]) wake();
  }

  /** The newest record of each key that exists. */
  newest(): KeyedRecord[] {
    const newest = new Map(this.log.map(record => [record.key, record]));
    return [...newest.values()].filter(({value}) => value !== undefined);
  }

  /** Resolves when something is appended or the time has passed. */
  change(clock: ManualClock, wait: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        stopTimer();
        this.waiting.delete(wake);
        resolve();
      };
      const stopTimer = clock.after(wait, wake);
      this.waiting.add(wake);
    });
  }
}

/** The store as one host reaches it. */
class ReachedStore extends UnusedStore {
  isCut = false;
  calls = 0;

  constructor(
    private readonly topic: TopicLog,
    private readonly clock: ManualClock,
  ) {
    super();
  }

  override async readNewest(): Promise<KeyedPage> {
    this.calls++;
    this.checkReached();
    const {log, era} = this.topic;
    return {records: this.topic.newest(), end: log.length, era};
  }

  override async readKeyed(
    _?: string,
    {from, wait} = {from: 0, wait: 0},
  ): Promise<KeyedPage> {
    this.calls++;
    this.checkReached();
    const {topic} = this;
    if (from >= topic.log.length && wait > 0)
      await topic.change(this.clock, wait);
    this.checkReached();
    if (from < topic.first) throw new StoreError('expired', 'forgotten');
    const {log, era} = topic;
    return {records: log.slice(from), end: log.length, era};
  }

  private checkReached(): void {
    if (this.isCut) throw new StoreError('unreachable', 'cut off');
  }
}

interface SimulatedHost {
  readonly address: HostAddress;
  readonly store: ReachedStore;
  readonly feeder: Feeder;
  readonly follower: KeyedFollower;
  readonly belief: Map<string, string>;
  /** Whether it reaches other hosts. */
  isApart: boolean;
  /** Messages to it that will be lost. */
  losses: number;
}

/** The hosts, the topic and the network. */
export class BeliefWorld {
  readonly clock = new ManualClock();
  private readonly topic = new TopicLog();
  private readonly addresses: HostAddress[];
  private readonly hosts: SimulatedHost[] = [];
  private starts = 0;
  /** Bytes of all messages that hosts have sent. */
  bytesSent = 0;

  /** Hosts of `older` run a program that does not say where its pages start. */
  constructor(
    count: number,
    private readonly older: readonly number[] = [],
  ) {
    this.addresses = Array.from({length: count}, (_, index) => ({
      name: `host-${index}`,
      started: 1,
      address: `10.0.0.${index}:1`,
      zone: ZONES[index % ZONES.length] ?? '',
    }));
    this.topic.append('first', 'value');
    for (const address of this.addresses) this.hosts.push(this.start(address));
  }

  write(key: string, value: string | undefined): void {
    this.topic.append(key, value);
  }

  cutFromStore(index: number, isCut: boolean): void {
    this.host(index).store.isCut = isCut;
  }

  setApart(index: number, isApart: boolean): void {
    this.host(index).isApart = isApart;
  }

  loseMessages(index: number, count: number): void {
    this.host(index).losses += count;
  }

  /** A host starts again; it reaches the store as it did before. */
  restart(index: number): void {
    const former = this.host(index);
    this.stopHost(former);
    const {address, store, isApart} = former;
    const host = this.start(address, store.isCut);
    this.hosts[index] = {...host, isApart};
  }

  /** The store forgets its history; the newest record of each key is kept. */
  forgetHistory(): void {
    this.topic.first = this.topic.log.length;
  }

  /** The store comes back from a copy; what it lacks is written again. */
  restore(lost: number): void {
    const {topic} = this;
    const kept = Math.max(topic.log.length - lost, 1);
    const rewritten = topic.log.slice(kept);
    topic.log = topic.log.slice(0, kept);
    topic.first = Math.min(topic.first, kept);
    topic.era++;
    for (const {key, value} of rewritten)
      topic.append(key, value && String(value));
  }

  async pass(milliseconds: number): Promise<void> {
    for (
      let elapsed = 0;
      elapsed < milliseconds;
      elapsed += STEP_MILLISECONDS
    ) {
      this.clock.advance(STEP_MILLISECONDS);
      for (let turn = 0; turn < TURNS_PER_STEP; turn++)
        await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** All is reached again. */
  heal(): void {
    for (const host of this.hosts) {
      host.store.isCut = false;
      host.isApart = false;
      host.losses = 0;
    }
  }

  /** What hosts believe that differs from the store, as text. */
  wrongBeliefs(): string[] {
    const actual = textOf(
      new Map(this.topic.newest().map(({key, value}) => [key, String(value)])),
    );
    return this.hosts
      .filter(({belief}) => textOf(belief) !== actual)
      .map(({address, belief}) => `${address.name} ${textOf(belief)}`);
  }

  /** Calls to the store, of each host. */
  get storeCalls(): number[] {
    return this.hosts.map(({store}) => store.calls);
  }

  /** Whether a host says that it has read all of the topic. */
  hasLoaded(index: number): boolean {
    return this.host(index).follower.isLoaded;
  }

  stop(): void {
    for (const host of this.hosts) this.stopHost(host);
  }

  private stopHost({feeder, follower}: SimulatedHost): void {
    feeder.stop();
    follower.stop();
  }

  private host(index: number): SimulatedHost {
    const host = this.hosts[index];
    if (!host) throw new Error(`no host ${index}`);
    return host;
  }

  private start(address: HostAddress, isCut = false): SimulatedHost {
    const {clock} = this;
    const store = new ReachedStore(this.topic, clock);
    store.isCut = isCut;
    const belief = new Map<string, string>();
    const follower: KeyedFollower = new KeyedFollower({
      store,
      topic: TOPIC,
      clock,
      logger: SILENT,
      metrics: new Metrics(),
      random: seededRandom(++this.starts),
      onChanges: records => {
        for (const {key, value} of records) {
          if (value) belief.set(key, String(value));
          else belief.delete(key);
        }
        feeder.handleNewRecords();
      },
      fed: () => feeder.isFed,
      feeds: () => feeder.isFeeding,
      heard: () => {},
    });
    const feeder: Feeder = new Feeder({
      self: address,
      clock,
      hosts: () => this.reachedFrom(address),
      send: (to, message) => this.send(address, to, message),
      positions: () => {
        const {offset: position, era} = follower.position;
        return [{topic: TOPIC, position, era}];
      },
      records: (_, position) => follower.recordsFrom(position),
      digests: () => (follower.digest ? [follower.digest] : []),
      onDigests: (digests, from) => {
        for (const digest of digests) follower.compare(digest, from);
      },
      answeredAt: () => follower.answeredAt,
      storeLostAt: () => -Infinity,
      onStoreLost: () => {},
    });
    feeder.start();
    void follower.run();
    const isApart = false;
    return {address, store, feeder, follower, belief, isApart, losses: 0};
  }

  private reachedFrom({name}: HostAddress): HostAddress[] {
    if (this.byName(name)?.isApart) return [];
    return this.addresses.filter(
      other => other.name !== name && !this.byName(other.name)?.isApart,
    );
  }

  private byName(name: string): SimulatedHost | undefined {
    return this.hosts.find(({address}) => address.name === name);
  }

  private send(from: HostAddress, to: string, message: GossipMessage): void {
    const isLost = () => {
      const host = this.byName(to);
      if (!host || host.isApart || this.byName(from.name)?.isApart) return true;
      if (host.losses === 0) return false;
      host.losses--;
      return true;
    };
    if (isLost()) return;
    const sent = this.isOlder(from) ? withoutStart(message) : message;
    this.bytesSent += encodeFrame(sent).length;
    this.clock.after(MESSAGE_DELAY_MILLISECONDS, () => {
      const host = this.byName(to);
      if (host) this.receive(host, sent);
    });
  }

  private isOlder({name}: HostAddress): boolean {
    return this.older.some(index => this.addresses[index]?.name === name);
  }

  private receive(host: SimulatedHost, message: GossipMessage): void {
    const {feeder, follower, address} = host;
    if (message.kind === 'feed') feeder.handleReport(message);
    if (message.kind === 'records')
      follower.applyRecords(toRecordPage(message));
    if (message.kind !== 'wanted') return;
    const position = {offset: message.position, era: message.era};
    const page = follower.recordsFrom(position);
    if (!isBefore(position, {offset: page.end, era: page.era})) return;
    const answer = createRecordsMessage(address, TOPIC, page);
    this.send(address, message.from.name, answer);
  }
}

/** A message as an older program sends it. */
function withoutStart(message: GossipMessage): GossipMessage {
  if (message.kind !== 'records') return message;
  return {...message, start: undefined};
}

function textOf(entries: ReadonlyMap<string, string>): string {
  return [...entries]
    .map(([key, value]) => `${key}=${value}`)
    .sort()
    .join(' ');
}
