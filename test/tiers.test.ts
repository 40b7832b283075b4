/**
 * Bursts of small, urgent requests and of large, less urgent ones at a few hosts
 * whose callers are unequally many. Every host decides alone, from its own
 * requests and from reports of the others, before engines that preempt. Guards
 * against urgent requests that get nothing, or are put back at an engine, while
 * larger, less urgent ones begin or run on.
 */
import test from 'ava';

import {Admission} from '../source/admission/index.js';
import {EndpointSelector, type Prompt} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import {admissionRequestFor} from '../source/forward/index.js';
import {seededRandom, type RandomSource} from '../source/random/index.js';
import {tierOf, type Route, type Team} from '../source/routing/index.js';
import {directoryOfEngines} from './support/directories.js';
import {SimulatedEngine, type EngineSizes} from './support/simulatedengine.js';

/** Each host’s share of the callers. */
const HOST_SHARES = [0.06, 0.08, 0.12, 0.16, 0.22, 0.36];
const ENGINES = 9;
const ENGINE_SIZES = {slots: 64, memory: 349_373};
const SERVICE = {
  name: 'model',
  healthPath: '/health',
  coldRate: 0,
  engine: ENGINE_SIZES,
};
/** The priority that operators give to all teams but a few. */
const TEAM = {name: 'team', tier: 1, keys: [], homes: []} as Team;
const STEP_MILLISECONDS = 5;
const REPORT_INTERVAL_MILLISECONDS = 200;
const REDISPATCH_MILLISECONDS = 25;
const RETRY_DELAY_MILLISECONDS = 400;
const WINDOW_MILLISECONDS = 5_000;
const WINDOW_STEP_MILLISECONDS = 1_000;
/** Urgent requests of a window that may get nothing, and as a share of all. */
const MAX_UNSERVED = 9;
const MAX_UNSERVED_SHARE = 1 / 12;
const SEEDS = [1, 2, 3];

interface Kind {
  readonly route: Route;
  readonly output: number;
  /** Requests a second, before the burst and in it. */
  readonly rates: readonly [number, number];
  readonly prompt: (request: number, random: RandomSource) => Prompt;
}

const SUGGESTION: Kind = {
  route: {name: 'suggestion', target: 300, timeout: 12_000, tier: 0} as Route,
  output: 294,
  rates: [18, 147],
  prompt: (request, random) => {
    const subject = Math.floor(random.next() * 123);
    const parts = [
      {id: `tone-${subject % 8}`, tokens: 119},
      {id: `member-${subject}`, tokens: 79},
      {id: `own-${request}`, tokens: 628},
    ];
    return {model: 'm', parts, tokens: 826, output: 294};
  },
};

const DRAFT: Kind = {
  route: {name: 'draft', target: 600, timeout: 4_000, tier: 1} as Route,
  output: 52,
  rates: [14.6, 44],
  prompt: (request, random) => {
    const subject = Math.floor(random.next() * 147);
    const parts = [
      {id: `style-${subject % 4}`, tokens: 2_520},
      {id: `glossary-${subject}`, tokens: 3_780},
      {id: `own-${request}`, tokens: 2_890},
    ];
    return {model: 'm', parts, tokens: 9_190, output: 52};
  },
};

/** What became of the requests: times in milliseconds, by arrival. */
interface Outcome {
  readonly urgentArrivals: number[];
  readonly urgentUnserved: number[];
  readonly draftsBegun: number[];
  readonly engines: readonly SimulatedEngine[];
}

/** The hosts, their callers and the engines. */
class Fleet {
  readonly clock = new ManualClock();
  readonly outcome: Outcome;
  private readonly engines = new Map<string, SimulatedEngine>();
  private readonly caches = new Map<string, Set<string>>();
  private readonly hosts;
  private requests = 0;

  constructor(
    sizes: EngineSizes,
    private readonly random: RandomSource,
  ) {
    const directory = directoryOfEngines(ENGINES, SERVICE);
    for (const id of directory.keys()) {
      this.engines.set(id, new SimulatedEngine(sizes));
      this.caches.set(id, new Set());
    }
    this.outcome = {
      urgentArrivals: [],
      urgentUnserved: [],
      draftsBegun: [],
      engines: [...this.engines.values()],
    };
    const names = HOST_SHARES.map((_, index) => `host-${index}`);
    const {clock} = this;
    this.hosts = names.map(host => {
      const selector = new EndpointSelector({
        host,
        zone: 'palermo',
        clock,
        regions: {},
      });
      selector.setDirectory(directory);
      selector.setServices(new Map([[SERVICE.name, SERVICE]]));
      selector.setHosts(names);
      const maxQueued = 2_000;
      const admission = new Admission({clock, capacity: selector, maxQueued});
      return {selector, admission};
    });
  }

  /** Plays callers; the bursts last from `burstAt` to the end. */
  async play(duration: number, burstAt: number): Promise<Outcome> {
    const due = new Map<Kind, number>();
    for (let now = 0; now < duration + SUGGESTION.route.timeout;) {
      for (const kind of [SUGGESTION, DRAFT]) {
        const rate = now < duration ? kind.rates[now < burstAt ? 0 : 1] : 0;
        let owed = (due.get(kind) ?? 0) + (rate * STEP_MILLISECONDS) / 1_000;
        for (; owed >= 1; owed--) this.send(kind);
        due.set(kind, owed);
      }
      if (now % REPORT_INTERVAL_MILLISECONDS === 0) this.report();
      if (now % REDISPATCH_MILLISECONDS === 0)
        for (const {admission} of this.hosts) admission.dispatch();
      this.clock.advance(STEP_MILLISECONDS);
      now += STEP_MILLISECONDS;
      for (const engine of this.engines.values()) engine.advanceTo(now);
      await new Promise(resolve => setImmediate(resolve));
    }
    return this.outcome;
  }

  private send(kind: Kind): void {
    const prompt = kind.prompt(this.requests++, this.random);
    const arrived = this.clock.monotonic();
    if (kind === SUGGESTION) this.outcome.urgentArrivals.push(arrived);
    this.attempt(kind, prompt, () => {
      this.clock.after(RETRY_DELAY_MILLISECONDS, () =>
        this.attempt(kind, prompt, () => {
          if (kind === SUGGESTION) this.outcome.urgentUnserved.push(arrived);
        }),
      );
    });
  }

  private attempt(kind: Kind, prompt: Prompt, onRefused: () => void): void {
    const {route} = kind;
    const {selector, admission} = this.pickHost();
    const arrived = this.clock.monotonic();
    const tier = tierOf(route, TEAM);
    selector.recordArrival(SERVICE.name, prompt);
    const waiting = {
      route,
      service: SERVICE.name,
      team: TEAM.name,
      tier,
      homes: undefined,
      prompt,
      arrived,
      isRetry: false,
      deadline: arrived + route.timeout,
    };
    const work = () => this.runAtEngine(kind, prompt, selector, tier);
    admission
      .run(admissionRequestFor(waiting, arrived), work, () => {})
      .done.catch(onRefused);
  }

  private runAtEngine(
    kind: Kind,
    prompt: Prompt,
    selector: EndpointSelector,
    tier: number,
  ): Promise<number> {
    const reservation = selector.reserve({
      service: SERVICE.name,
      prompt,
      failedEndpoints: new Set(),
      tier,
    });
    if (!reservation) return Promise.reject(new Error('no engine'));
    const {id} = reservation.endpoint.entry;
    const engine = this.engines.get(id);
    return new Promise(resolve => {
      engine?.add({
        priority: Math.min(tier, 9),
        urgency: kind.route.tier,
        promptTokens: prompt.tokens,
        uncachedTokens: this.takeUncached(prompt, id),
        outputTokens: kind.output,
        onFirstToken: at => {
          if (kind === DRAFT) this.outcome.draftsBegun.push(at);
          reservation.answered(engine.load);
        },
        onEnd: () => {
          reservation.release();
          resolve(0);
        },
      });
    });
  }

  /** The tokens that an engine has not cached; it caches the shared ones. */
  private takeUncached({parts}: Prompt, id: string): number {
    const cache = this.caches.get(id) ?? new Set();
    let tokens = 0;
    for (const [index, part] of parts.entries()) {
      if (cache.has(part.id)) continue;
      tokens += part.tokens;
      if (index < parts.length - 1) cache.add(part.id);
    }
    return tokens;
  }

  private pickHost(): {selector: EndpointSelector; admission: Admission} {
    let point = this.random.next();
    const index = HOST_SHARES.findIndex(share => (point -= share) < 0);
    return this.hosts.at(index)!;
  }

  private report(): void {
    const now = this.clock.monotonic();
    const reports = this.hosts.map(({selector}) => ({
      loads: selector.loadReports(),
      demands: selector.ownDemands(),
      prefills: selector.prefixCache.prefillsSince(
        now - REPORT_INTERVAL_MILLISECONDS,
      ),
    }));
    for (const [index, {selector}] of this.hosts.entries()) {
      const others = reports.filter((_, other) => other !== index);
      selector.setHostReports(
        others.flatMap(({loads}) => loads),
        others.flatMap(({demands}) => demands),
      );
      for (const {prefills} of others)
        selector.prefixCache.addReports(prefills, now);
    }
  }
}

/** The windows in which urgent requests got nothing while others began. */
function windowsOutOfOrder(outcome: Outcome, duration: number): string[] {
  const {urgentArrivals, urgentUnserved, draftsBegun} = outcome;
  const found: string[] = [];
  const last = duration - WINDOW_MILLISECONDS;
  for (let from = 0; from <= last; from += WINDOW_STEP_MILLISECONDS) {
    const inWindow = (at: number) =>
      at >= from && at < from + WINDOW_MILLISECONDS;
    const arrived = urgentArrivals.filter(inWindow).length;
    const unserved = urgentUnserved.filter(inWindow).length;
    const begun = draftsBegun.filter(inWindow).length;
    const isExcessive =
      unserved > MAX_UNSERVED && unserved > arrived * MAX_UNSERVED_SHARE;
    if (isExcessive && begun > 0)
      found.push(`${from} ms: ${unserved} of ${arrived}, ${begun} begun`);
  }
  return found;
}

for (const seed of SEEDS) {
  test(`urgent requests are not refused while larger, less urgent ones begin, seed ${seed}`, async t => {
    const fleet = new Fleet(ENGINE_SIZES, seededRandom(seed));
    const outcome = await fleet.play(12_000, 4_000);
    t.deepEqual(windowsOutOfOrder(outcome, 12_000), []);
  });

  test(`an engine whose memory runs out puts no urgent request back while less urgent ones run, seed ${seed}`, async t => {
    const sizes = {...ENGINE_SIZES, memory: 60_000};
    const fleet = new Fleet(sizes, seededRandom(seed));
    const {engines} = await fleet.play(8_000, 4_000);
    const preempted = engines.map(engine => engine.preempted);
    t.true(Math.max(...preempted) > 0, 'memory ran out nowhere');
    const wrong = engines.map(engine => engine.preemptedBeforeLessUrgent);
    t.deepEqual(Math.max(...wrong), 0, wrong.join());
  });
}
