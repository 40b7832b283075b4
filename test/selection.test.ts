/**
 * The selector remembers which endpoints are eligible and how they rank. It must
 * choose as one that derives everything anew for each request, whatever has
 * happened in between.
 */
import test from 'ava';

import {
  EligibleSet,
  EndpointSelector,
  OwnLoads,
  rendezvousOrder,
  RendezvousRanking,
  type Prompt,
  type Reservation,
  type SentRequest,
} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import type {KnownEndpoint} from '../source/directory/index.js';
import {seededRandom, type RandomSource} from '../source/random/index.js';
import {readyEndpoint} from './support/directories.js';
import {PlainSelector} from './support/plainselector.js';

const ENGINES = 'drafting';
const PLAIN = 'register';
const ZONES = ['palermo', 'catania', 'siracusa'];
const REGIONS = {palermo: 'west', catania: 'east', siracusa: 'east'};
const FLEET_SIZES = [1, 2, 6, 40];
const SEEDS = 40;
const STEPS = 400;
const LARGE_PART_TOKENS = 2_000;
const SMALL_PART_TOKENS = 60;

function knownEndpoint(id: string, zone = 'palermo'): KnownEndpoint {
  return readyEndpoint({id, service: ENGINES, zone, slots: 4});
}

/** Both selectors, and the random events that happen to them alike. */
class Comparison {
  readonly clock = new ManualClock();
  readonly selector: EndpointSelector;
  readonly plain: PlainSelector;
  private readonly random: RandomSource;
  private readonly held: Reservation[] = [];
  private directory = new Map<string, KnownEndpoint>();
  private readonly size: number;

  constructor(seed: number) {
    this.random = seededRandom(seed);
    this.size = this.oneOf(FLEET_SIZES);
    const context = {
      host: 'host-0',
      zone: 'palermo',
      clock: this.clock,
      regions: REGIONS,
    };
    this.selector = new EndpointSelector(context);
    this.plain = new PlainSelector(context);
    this.changeServices();
    for (let index = 0; index < this.size; index++) this.enter(index);
    this.applyDirectory();
  }

  /** Lets something happen; returns what it shows of both selectors, if any. */
  step(): [unknown, unknown] {
    const happen = this.oneOf([
      () => this.clock.advance(this.below(60)),
      () => this.clock.advance(this.below(3_000) + 0.5),
      () => this.changeDirectory(),
      () => this.changeHosts(),
      () => this.report(),
      () => this.oneOf([() => this.changeZones(), () => {}, () => {}])(),
      () => this.oneOf([() => this.changeServices(), () => {}, () => {}])(),
      () => this.continueRequest(),
      () => this.continueRequest(),
      () => this.continueRequest(),
    ]);
    happen();
    return this.below(2) === 0 ? this.reserve() : this.capacity();
  }

  private capacity(): [unknown, unknown] {
    const {selector, plain} = this;
    const homes = this.homes();
    const group = {
      pool: PLAIN,
      className: PLAIN,
      tier: 1,
      floorShare: 0,
      cheapShare: 0,
      repeatable: true,
      homes,
    };
    return [
      [selector.hasCapacity(group), selector.slotCount(ENGINES)],
      [plain.hasPlainCapacity(PLAIN, homes), plain.slotCount(ENGINES)],
    ];
  }

  private reserve(): [unknown, unknown] {
    const service = this.oneOf([ENGINES, ENGINES, PLAIN]);
    const prompt = service === ENGINES ? this.prompt() : undefined;
    const failed = this.below(3) === 0 ? this.ids(this.below(4)) : [];
    const homes = this.homes();
    const requirements = {
      service,
      prompt,
      tier: 0,
      failedEndpoints: new Set(failed),
      ...(homes ? {homes} : {}),
    };
    const reservation = this.selector.reserve(requirements);
    const choice = this.plain.reserve(requirements);
    if (reservation) this.held.push(reservation);
    return [reservation?.choice, choice];
  }

  /** Lets something happen to a request that is in progress. */
  private continueRequest(): void {
    const reservation = this.held.shift();
    if (!reservation) return;
    const {id, prefillMilliseconds} = reservation.choice;
    const isCurrent =
      this.directory.get(id)?.knownAt === reservation.endpoint.knownAt;
    const now = this.clock.monotonic();
    const {plain} = this;
    if (!isCurrent) return;
    const end = this.below(4);
    if (end === 0) {
      reservation.failed();
      plain.update(id, {kind: 'failed', now});
    } else if (end === 1) {
      reservation.unreachable();
      plain.update(id, {kind: 'unreachable', now});
    } else {
      const reportedLoad = {running: this.below(4), waiting: 0, slots: 4};
      reservation.answered(reportedLoad);
      plain.update(id, {kind: 'prefilled', prefillMilliseconds});
      plain.update(id, {kind: 'answered', reportedLoad, now});
      reservation.release();
      plain.update(id, {kind: 'ended'});
    }
  }

  private report(): void {
    const now = this.clock.monotonic();
    const {selector, plain} = this;
    const unreachable = this.ids(this.below(4));
    selector.setUnreachableReports(unreachable);
    plain.unreachableReports = unreachable;
    const cached = this.ids(this.below(8)).map(endpoint => ({
      part: this.partId(this.below(3)),
      endpoint,
    }));
    selector.prefixCache.addReports(cached, now);
    plain.prefixCache.addReports(cached, now);
    const demands = [
      {service: ENGINES, large: this.below(9_000), small: this.below(9_000)},
    ];
    selector.setHostReports([], demands);
    plain.demand.setReports(demands);
    for (const id of this.directory.keys()) {
      if (plain.load(id).otherRequests === 0) continue;
      const none = {requests: 0, prefillMilliseconds: 0};
      plain.update(id, {kind: 'reported', ...none, now});
    }
    const [back = ''] = this.ids(1);
    selector.markReachable(back);
    plain.update(back, {kind: 'reached'});
  }

  private changeDirectory(): void {
    const index = this.below(this.size);
    const id = `i-${index}`;
    const change = this.oneOf([
      () => this.directory.delete(id),
      () => this.enter(index),
      () => this.lapse([id]),
      () => this.lapse([...this.directory.keys()]),
    ]);
    change();
    this.applyDirectory();
  }

  private enter(index: number): void {
    const id = `i-${index}`;
    const known = knownEndpoint(id, ZONES[index % ZONES.length]);
    const entry = {
      ...known.entry,
      service: index % 4 === 3 ? PLAIN : ENGINES,
      slots: 1 + this.below(4),
      leaving: this.below(12) === 0,
    };
    const coldUntil = this.below(3) === 0 ? this.soon(4_000) : -Infinity;
    const knownAt = this.clock.monotonic();
    this.directory.set(id, {...known, entry, knownAt, coldUntil});
  }

  /** Lets entries lapse, or return. */
  private lapse(ids: readonly string[]): void {
    for (const id of ids) {
      const known = this.directory.get(id);
      if (!known) continue;
      const removeAt = known.removeAt ? undefined : this.soon(2_000);
      this.directory.set(id, {...known, removeAt});
    }
  }

  private applyDirectory(): void {
    const directory = new Map(this.directory);
    this.selector.setDirectory(directory);
    this.plain.setDirectory(directory);
  }

  private changeHosts(): void {
    const count = 1 + this.below(8);
    const hosts = Array.from({length: count}, (_, index) => `host-${index}`);
    this.selector.setHosts(hosts);
    this.plain.hosts = hosts;
  }

  private changeZones(): void {
    const zones = new Set(this.below(2) === 0 ? [this.oneOf(ZONES)] : []);
    this.selector.setZonesOut(zones);
    this.plain.zonesOut = zones;
  }

  private changeServices(): void {
    const engine = {slots: 4, memory: 1};
    const common = {healthPath: '/health', coldRate: this.below(6)};
    const services = new Map([
      [ENGINES, {name: ENGINES, ...common, engine}],
      [PLAIN, {name: PLAIN, ...common}],
    ]);
    this.selector.setServices(services);
    this.plain.services = services;
  }

  private prompt(): Prompt {
    const large = this.below(2) === 0;
    const tokens = large ? LARGE_PART_TOKENS : SMALL_PART_TOKENS;
    const shared = Array.from({length: this.below(4)}, (_, level) => ({
      id: this.partId(level),
      tokens,
    }));
    const parts = [...shared, {id: 'own', tokens: large ? 2_600 : 500}];
    const total = parts.reduce((sum, part) => sum + part.tokens, 0);
    return {model: 'm', parts, tokens: total, output: 50};
  }

  private partId(level: number): string {
    return `${level}-${this.below(level === 0 ? 3 : 30)}`;
  }

  private homes(): string[] | undefined {
    return this.oneOf([undefined, undefined, ['west'], ['east', 'west']]);
  }

  private ids(count: number): string[] {
    return Array.from({length: count}, () => `i-${this.below(this.size)}`);
  }

  private soon(most: number): number {
    return this.clock.monotonic() + this.below(most);
  }

  private below(limit: number): number {
    return Math.floor(this.random.next() * limit);
  }

  private oneOf<T>(items: readonly T[]): T {
    return items[this.below(items.length)] as T;
  }
}

test('a remembered evaluation is not used after a change or past its time', t => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const comparison = new Comparison(seed);
    for (let step = 0; step < STEPS; step++) {
      const [actual, expected] = comparison.step();
      t.deepEqual(actual, expected, `seed ${seed}, step ${step}`);
    }
  }
});

test('a ranking of hashed names has the rendezvous order, also of equal names', t => {
  const random = seededRandom(1);
  for (const count of [0, 1, 2, 98, 650]) {
    const names = Array.from({length: count}, (_, index) => `i-${index}`);
    const ranking = new RendezvousRanking(names);
    for (let round = 0; round < 20; round++) {
      const key = `part-${random.next()}`;
      const ranks = ranking.ranks(key);
      const order = names.map((_, index) => names[ranks.indexOf(index)]);
      t.deepEqual(order, rendezvousOrder(key, names));
    }
  }
  const ranks = new RendezvousRanking(['same', 'same', 'same']).ranks('key');
  t.deepEqual([...ranks], [0, 1, 2]);
});

test('the requests and their prefill at a set of endpoints are the sums of those that are as urgent', t => {
  const random = seededRandom(1);
  const oneOf = <T>(items: readonly T[]) =>
    items[Math.floor(random.next() * items.length)] as T;
  const ids = Array.from({length: 6}, (_, index) => `i-${index}`);
  const set = new EligibleSet(ids.slice(2).map(id => knownEndpoint(id)));
  const loads = new OwnLoads();
  let sent: Array<{id: string; request: SentRequest; isPrefilled: boolean}> =
    [];
  for (let step = 0; step < 2_000; step++) {
    const id = oneOf(ids);
    const change = random.next();
    const some = sent.length > 0 ? oneOf(sent) : undefined;
    if (step % 50 === 0) {
      loads.remove(id);
      sent = sent.filter(other => other.id !== id);
    } else if (change < 0.5 || !some) {
      const request = {tier: oneOf([0, 1, 4]), prefillMilliseconds: 1};
      loads.recordSend(id, request, 0);
      sent.push({id, request, isPrefilled: false});
    } else {
      if (!some.isPrefilled) loads.recordPrefilled(some.id, some.request);
      some.isPrefilled = true;
      if (change > 0.75) {
        loads.recordEnd(some.id, some.request);
        sent = sent.filter(other => other !== some);
      }
    }
    const tier = oneOf([0, 1, 3, 4]);
    const counted = sent.filter(
      ({id: at, request}) => set.has(at) && request.tier <= tier,
    );
    t.deepEqual(loads.upToTier(tier, set, 0), {
      requests: counted.length,
      moreUrgentRequests: counted.filter(({request}) => request.tier < tier)
        .length,
      prefillMilliseconds: counted.filter(({isPrefilled}) => !isPrefilled)
        .length,
    });
  }
});
