/**
 * The callers of a soak: those that never rest, and those that come for a while
 * with more, larger or deadly requests or that read no answer. Enters what they
 * ask and get in the ledger.
 */
import {Agent} from 'node:http';

import {seededRandom, type RandomSource} from '../source/random/index.js';
import type {EdgeFleet} from '../test/support/edgeprocess.js';
import {openDeafCallers, openUnfinished} from './burdens.js';
import {askHost, MAX_BODY_BYTES} from './caller.js';
import type {Sender} from './endpoints.js';
import type {SoakHosts} from './hosts.js';
import type {Asked, Got, Ledger} from './ledger.js';
import type {Station} from './station.js';
import type {Troubles} from './troubles.js';
import {wait} from './wait.js';

const ROUTES = ['read', 'record', 'draft'] as const;
/** Share of requests that bear a key which may be withdrawn. */
const OLD_KEY_SHARE = 0.2;
/** Keeps what callers do apart from the plan of the faults. */
const CALLERS_SEED = 1_000_003;
const DEADLY_INTERVAL_MILLISECONDS = 120;
const WORK_MILLISECONDS = 20;
const OVERLOAD_WORK_MILLISECONDS = 150;
/** Callers that an overload adds for each host. */
const OVERLOAD_CALLERS = 16;
/** Callers that send large bodies to one host. */
const LARGE_CALLERS = 120;
const LARGE_WORK_MILLISECONDS = 300;
/** Bodies of at least this share of the most that the configuration allows. */
const LARGE_SHARE_LEAST = 0.5;
const RETRY_MILLISECONDS = 40;
const PAUSE_MILLISECONDS_MOST = 60;

type Question = Pick<
  Asked,
  'key' | 'route' | 'work' | 'isDeadly' | 'bodyBytes'
>;

/** What the callers are created from. */
export interface SoakCallersOptions {
  readonly fleet: EdgeFleet;
  readonly ledger: Ledger;
  readonly hosts: SoakHosts;
  readonly troubles: Troubles;
  readonly seed: number;
}

/** All callers. */
export class SoakCallers {
  private readonly random: RandomSource;
  private keyList: string[] = ['key-0'];
  private keyCount = 1;
  private attempts = 0;
  private over = false;

  constructor(private readonly options: SoakCallersOptions) {
    this.random = seededRandom(options.seed + CALLERS_SEED);
  }

  /** The keys that are not withdrawn. */
  get keys(): readonly string[] {
    return this.keyList;
  }

  /** Lets all callers end. */
  stop(): void {
    this.over = true;
  }

  /** More requests at once than the endpoints have slots. */
  async overload(lasts: number): Promise<void> {
    const end = performance.now() + lasts;
    const isOver = () => this.over || performance.now() > end;
    const asking = this.options.hosts.stations.flatMap((_, index) =>
      Array.from({length: OVERLOAD_CALLERS}, () =>
        this.callUntil(index, isOver, OVERLOAD_WORK_MILLISECONDS),
      ),
    );
    await Promise.all(asking);
  }

  /** Many callers send large bodies to one host. */
  async sendLarge(host: number, lasts: number): Promise<void> {
    this.options.troubles.begin();
    const end = performance.now() + lasts;
    const isOver = () => this.over || performance.now() > end;
    const send = async () => {
      const agent = new Agent({keepAlive: true, maxSockets: 1});
      while (!isOver()) {
        const share = this.random.next() * (1 - LARGE_SHARE_LEAST);
        const bodyBytes = Math.round((1 - share) * MAX_BODY_BYTES);
        const route = this.random.next() < 1 / 2 ? 'read' : 'record';
        const {newestKey: key} = this;
        const work = LARGE_WORK_MILLISECONDS;
        const asked = {key, route, work, bodyBytes} as const;
        await this.askFor(host, asked, agent);
      }
      agent.destroy();
    };
    await Promise.all(Array.from({length: LARGE_CALLERS}, send));
    this.options.troubles.end();
  }

  /** Connections to a host never finish a request head. */
  async openUnfinished(host: number, lasts: number): Promise<void> {
    this.options.troubles.begin();
    const {callers} = this.options.hosts.at(host).process;
    const close = openUnfinished(callers);
    await wait(lasts);
    close();
    this.options.troubles.end();
  }

  /** Callers ask a host for large answers and read none. */
  async openDeaf(host: number, lasts: number): Promise<void> {
    this.options.troubles.begin();
    const {callers} = this.options.hosts.at(host).process;
    const {newestKey: key} = this;
    const ids: string[] = [];
    const close = openDeafCallers(callers, () => {
      const {id} = this.enter(host, {key, route: 'read', work: 0});
      ids.push(id);
      return {key, id};
    });
    await wait(lasts);
    ids.forEach(id => this.options.ledger.leave(id));
    close();
    this.options.troubles.end();
  }

  /** Sends such requests for so many milliseconds. */
  sendDeadlyFor(lasts: number): Promise<void> {
    return this.sendDeadly(lasts / DEADLY_INTERVAL_MILLISECONDS);
  }

  /** Sends a request on which endpoints crash so many times, to each host in turn. */
  async sendDeadly(count: number): Promise<void> {
    const agent = new Agent({keepAlive: false});
    const asked = {
      route: 'read',
      work: WORK_MILLISECONDS,
      isDeadly: true,
    } as const;
    for (let number = 0; number < count; number++) {
      const index = number % this.options.hosts.stations.length;
      void this.askFor(index, {...asked, key: this.newestKey}, agent);
      await wait(DEADLY_INTERVAL_MILLISECONDS);
    }
  }

  /** Whether a host answers a read. */
  async isServed(index: number, agent: Agent): Promise<boolean> {
    const {newestKey: key} = this;
    const asked = {key, route: 'read', work: WORK_MILLISECONDS} as const;
    return (await this.askFor(index, asked, agent)).status === 200;
  }

  /** Gives a new key; the one before the last is withdrawn. */
  changeKeys(): void {
    this.keyList = [...this.keyList, `key-${this.keyCount++}`].slice(-2);
    this.options.fleet.configure(this.keyList);
  }

  /** Whether a host has said that it knows the newest configuration. */
  private isCurrent({process: {lines}}: Station): boolean {
    const known = lines.findLast(({event}) => event === 'configuration');
    return known?.fields['version'] === this.options.fleet.configured;
  }

  /** Asks a host until the callers are stopped. */
  call(index: number): Promise<void> {
    return this.callUntil(index, () => this.over, WORK_MILLISECONDS);
  }

  /** Asks on one kept connection, again and again. */
  private async callUntil(
    index: number,
    isOver: () => boolean,
    work: number,
  ): Promise<void> {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    while (!isOver()) {
      const known = Math.floor(this.random.next() * this.keyCount);
      const old = this.random.next() < OLD_KEY_SHARE;
      const key = old ? `key-${known}` : this.newestKey;
      const route = ROUTES[Math.floor(this.random.next() * ROUTES.length)];
      const asked = {key, route: route ?? 'read', work};
      const got = await this.askFor(index, asked, agent);
      const pause = this.random.next() * PAUSE_MILLISECONDS_MOST;
      await wait(got.status === 0 ? RETRY_MILLISECONDS : pause);
    }
    agent.destroy();
  }

  private get newestKey(): string {
    return this.keyList.at(-1) ?? '';
  }

  private async askFor(
    index: number,
    spec: Question,
    agent: Agent,
  ): Promise<Got> {
    const asked = this.enter(index, spec);
    const got = await this.ask(this.options.hosts.at(index), asked, agent);
    this.options.ledger.get(asked, got);
    return got;
  }

  /** Enters a request in the ledger before it is sent. */
  private enter(index: number, spec: Question): Asked {
    const station = this.options.hosts.at(index);
    const {key} = spec;
    const asked = {
      ...spec,
      id: `${index}.${this.attempts++}.${this.options.seed}`,
      host: station.process.name,
      withdrawn: !this.keyList.includes(key) && this.isCurrent(station),
    };
    this.options.ledger.ask(asked);
    return asked;
  }

  /** Asks, and notes whether anything but a planned stop can have cut it. */
  private async ask(
    station: Station,
    asked: Asked,
    agent: Agent,
  ): Promise<Got> {
    const {process} = station;
    const {troubles} = this.options;
    const before = troubles.disturbancesOf(station);
    const calmBefore = troubles.isCalm(station);
    const reply = await askHost(process.callers, asked, agent);
    const stopped = station.stopping || process !== station.process;
    const undisturbed =
      calmBefore &&
      troubles.isCalm(station) &&
      troubles.disturbancesOf(station) === before;
    const plannedOnly = stopped && undisturbed && !reply.overdue;
    const excused = reply.overdue || this.options.hosts.wasKilled(process);
    return {...reply, plannedOnly, excused};
  }

  /** The host that sends a request. */
  senderOf(request: string): Sender {
    const [host = ''] = request.split('.');
    const station = this.options.hosts.at(Number(host));
    const {process} = station;
    const {troubles} = this.options;
    return {process, disturbances: troubles.disturbancesOf(station)};
  }
}
