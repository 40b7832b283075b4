/**
 * Measures the decisions under load and faults, beside a naive baseline, under
 * a virtual clock and a fixed seed: text, or JSON with `--json=yes`.
 */
import {z} from 'zod';

import {ManualClock} from '../source/clock/index.js';
import {
  applyNote,
  emptyConfiguration,
  releaseNoteSchema,
  type Configuration,
} from '../source/configuration/index.js';
import {readSettings} from '../source/settings/index.js';
import {ModelEngine, serviceTime} from './policy/engines.js';
import {NaivePolicy} from './policy/naive.js';
import {OurPolicy} from './policy/ours.js';
import type {Outcome, Policy, Site} from './policy/policy.js';
import {makeTrace, TOKENS_MEAN, type Burst, type Load} from './policy/trace.js';

const settingsSchema = z.strictObject({
  seed: z.coerce.number().int().default(1),
  seconds: z.coerce.number().default(60),
  only: z.string().optional().describe('Rows whose name has this in it.'),
  json: z.string().optional(),
});
const settings = readSettings(process.argv.slice(2), {}, settingsSchema);
const DURATION = settings.seconds * 1_000;
const WARM_UP = 5_000;
const DRAIN = 40_000;

/** A deployment as the measurement sees it. */
interface Shape {
  readonly name: string;
  readonly zones: readonly string[];
  readonly hosts: number;
  readonly engines: number;
  readonly cheap: number;
  readonly slots: number;
}

const SHAPES: readonly Shape[] = [
  {
    name: 'consorzio',
    zones: ['palermo', 'catania', 'siracusa'],
    hosts: 7,
    engines: 6,
    cheap: 2,
    slots: 16,
  },
  {
    name: 'munteco',
    zones: ['brussel-a', 'brussel-b', 'brussel-c'],
    hosts: 6,
    engines: 13,
    cheap: 4,
    slots: 12,
  },
];

/** What happens in a row, at which moments. */
interface Row {
  readonly name: string;
  /** Total demand, as a share of the capacity. */
  readonly demand: number;
  readonly bursts?: readonly Burst[];
  readonly loud?: number;
  /** Milliseconds by which load reports are late. */
  readonly reportLag?: number;
  readonly faults?: (world: World) => void;
}

interface World {
  readonly clock: ManualClock;
  readonly engines: ModelEngine[];
  readonly zones: readonly string[];
  setZone(zone: string, state: 'in' | 'out'): void;
}

const FAULT_AT = WARM_UP + 15_000;
const FAULT_UNTIL = WARM_UP + 40_000;

function at(world: World, time: number, run: () => void): void {
  world.clock.after(time, run);
}

function slowEngine(world: World): void {
  at(world, FAULT_AT, () => set(world.engines[0], {slowdown: 3}));
  at(world, FAULT_UNTIL, () => set(world.engines[0], {slowdown: 1}));
}

function set(
  engine: ModelEngine | undefined,
  change: Partial<ModelEngine>,
): void {
  if (engine) Object.assign(engine, change);
}

function zoneOutAndBack(world: World): void {
  const zone = world.zones[1] ?? '';
  at(world, FAULT_AT, () => world.setZone(zone, 'out'));
  at(world, FAULT_UNTIL, () => world.setZone(zone, 'in'));
}

function reclaim(world: World): void {
  const cheap = world.engines.filter(({endpoint}) => endpoint.cheap);
  at(world, FAULT_AT, () =>
    cheap.forEach(engine => set(engine, {state: 'leaving'})),
  );
  at(world, FAULT_AT + 5_000, () => cheap.forEach(engine => engine.crash()));
}

function turnCold(world: World): void {
  at(world, FAULT_AT, () =>
    set(world.engines[0], {state: 'cold', slowdown: 4}),
  );
  at(world, FAULT_UNTIL, () =>
    set(world.engines[0], {state: 'warm', slowdown: 1}),
  );
}

function burst(className: string, times: number): Burst[] {
  return [{className, times, from: FAULT_AT, until: FAULT_UNTIL}];
}

const ROWS: readonly Row[] = [
  {name: 'steady at 70 %', demand: 0.7},
  {
    name: 'tier 3 bursts, 1.5 x capacity',
    demand: 0.7,
    bursts: burst('bulk', 3.6),
  },
  {
    name: 'tier 3 bursts, 3 x capacity',
    demand: 0.7,
    bursts: burst('bulk', 8.7),
  },
  {
    name: 'loud team, 1.5 x capacity',
    demand: 0.8,
    loud: 10,
    bursts: burst('bulk', 3),
  },
  {name: 'slow engine', demand: 0.7, faults: slowEngine},
  {
    name: 'engine crash',
    demand: 0.6,
    faults: world => at(world, FAULT_AT, () => world.engines[0]?.crash()),
  },
  {name: 'cheap engines reclaimed', demand: 0.5, faults: reclaim},
  {name: 'warm turns cold', demand: 0.6, faults: turnCold},
  {name: 'zone out and back', demand: 0.5, faults: zoneOutAndBack},
  {name: 'reports 2 s late', demand: 0.7, reportLag: 2_000},
  {
    name: 'burst 1.5 x, slow engine, late',
    demand: 0.7,
    bursts: burst('bulk', 3.6),
    reportLag: 2_000,
    faults: slowEngine,
  },
];

function teams(prefix: string): string[] {
  return Array.from({length: 5}, (_, index) => `${prefix}-${index}`);
}

/** Loads that together ask for a share of the capacity: 40, 30 and 30 in 100. */
function loadsOf(shape: Shape, {demand, loud}: Row): Load[] {
  const capacity =
    (shape.engines * shape.slots * 1_000) / serviceTime(TOKENS_MEAN);
  const rate = (share: number) => demand * share * capacity;
  const base = {betweenTokensTarget: 68, repeatable: true};
  return [
    {
      ...base,
      className: 'counter',
      tier: 1,
      teams: teams('counter'),
      rate: rate(0.4),
      cheapShare: 0,
      firstTokenTarget: 1_600,
      queueBound: 5_000,
    },
    {
      ...base,
      className: 'lookup',
      tier: 2,
      teams: teams('lookup'),
      rate: rate(0.3),
      cheapShare: 0.3,
      firstTokenTarget: 1_600,
      queueBound: 5_000,
    },
    {
      ...base,
      className: 'bulk',
      tier: 3,
      teams: teams('bulk'),
      rate: rate(0.3),
      cheapShare: 0.9,
      firstTokenTarget: 10_000,
      betweenTokensTarget: 200,
      queueBound: 30_000,
      ...(loud ? {loud} : {}),
    },
  ];
}

function configurationOf({zones, engines, cheap, slots}: Shape): Configuration {
  const note = releaseNoteSchema.parse({
    id: 'first',
    added: {
      zones: zones.map(name => ({name, region: 'region'})),
      classes: [1, 2, 3].map(tier => ({
        name: ['counter', 'lookup', 'bulk'][tier - 1],
        tier,
        floorShare: 0.05,
      })),
      endpoints: Array.from({length: engines}, (_, index) => ({
        name: `engine-${index}`,
        zone: zones[index % zones.length],
        address: `127.0.0.1:${7_000 + index}`,
        pool: 'pool',
        kind: 'engine',
        slots,
        cheap: index >= engines - cheap,
      })),
    },
  });
  return applyNote(emptyConfiguration(), note, 0).configuration;
}

async function run(
  shape: Shape,
  row: Row,
  make: (site: Site) => Policy,
): Promise<Figures> {
  const clock = new ManualClock();
  let configuration = configurationOf(shape);
  const engines = [...configuration.tables.endpoints.values()].flatMap(
    ({object}) => (object ? [new ModelEngine(object, clock)] : []),
  );
  const outcomes: Outcome[] = [];
  const hosts = Array.from(
    {length: shape.hosts},
    (_, index) => shape.zones[index % shape.zones.length] ?? '',
  );
  const policy = make({
    clock,
    configuration,
    engines: new Map(engines.map(engine => [engine.endpoint.name, engine])),
    hosts,
    done: outcome => outcomes.push(outcome),
  });
  const report = () => {
    for (const engine of engines) {
      const {state, crashed} = engine;
      const seen = Object.assign(Object.create(engine) as ModelEngine, {});
      Object.defineProperty(seen, 'state', {value: state});
      Object.defineProperty(seen, 'crashed', {value: crashed});
      clock.after(row.reportLag ?? 0, () => policy.report(seen));
    }
  };
  report();
  clock.every(500, report);
  let changes = 0;
  row.faults?.({
    clock,
    engines,
    zones: shape.zones,
    setZone: (zone, state) => {
      const present = configuration.tables.zones.get(zone);
      const object = {name: zone, region: 'region', state};
      const changed = {zones: [{revision: present?.revision ?? 1, object}]};
      const note = releaseNoteSchema.parse({id: `zone-${++changes}`, changed});
      ({configuration} = applyNote(configuration, note, changes));
      clock.after(100, () => policy.configure(configuration));
    },
  });
  const trace = makeTrace(
    settings.seed,
    loadsOf(shape, row),
    row.bursts ?? [],
    DURATION + WARM_UP,
    hosts.length,
  );
  let next = 0;
  for (let now = 0; now < DURATION + WARM_UP + DRAIN; now++) {
    for (let due = trace[next]; due && due.at <= now; due = trace[next]) {
      policy.arrive(due);
      next++;
    }
    clock.advance(1);
    await new Promise(resolve => setImmediate(resolve));
  }
  return figuresOf(
    outcomes.filter(({arrival}) => arrival.at >= WARM_UP),
    trace.filter(arrival => arrival.at >= WARM_UP).length,
    engines,
  );
}

interface Figures {
  /** Share of requests that met their class’s targets, by tier. */
  readonly attained: readonly number[];
  /** Share of the tokens asked for that callers got within their targets. */
  readonly goodput: number;
  /** Share of the generated tokens that no caller got. */
  readonly wasted: number;
  /** The worst team of the lowest class against the mean of its class. */
  readonly worstTeam: number;
  readonly coldMost: number;
  /** Share of the lowest class’s served tokens that ran on cheap engines. */
  readonly cheap: number;
  /** Requests that never came to an outcome; always zero. */
  readonly open: number;
  /** Higher tiers’ refusals for want of a place. */
  readonly refusedFirst: number;
}

function met({served, first, gap, arrival}: Outcome): boolean {
  const {firstTokenTarget, betweenTokensTarget} = arrival.load;
  return served && first <= firstTokenTarget && gap <= betweenTokensTarget;
}

function share(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function figuresOf(
  outcomes: readonly Outcome[],
  asked: number,
  engines: readonly ModelEngine[],
): Figures {
  const ofTier = (tier: number) =>
    outcomes.filter(({arrival}) => arrival.load.tier === tier);
  const wasted = sum(outcomes.map(outcome => outcome.wasted));
  const got = sum(outcomes.map(outcome => outcome.tokens));
  const lowest = ofTier(3).filter(({served}) => served);
  const perTeam = new Map<string, number>();
  for (const {arrival, tokens} of ofTier(3)) {
    perTeam.set(arrival.team, (perTeam.get(arrival.team) ?? 0) + tokens);
  }
  // The first team may ask for more than its share; the others ask for equal ones.
  const equal = [...perTeam]
    .filter(([team]) => !team.endsWith('-0'))
    .map(([, tokens]) => tokens);
  const refusedForPlace = new Set([
    'queue-timeout',
    'queue-full',
    'target-unreachable',
    'shed',
  ]);
  return {
    attained: [1, 2, 3].map(tier =>
      share(ofTier(tier).filter(met).length, ofTier(tier).length),
    ),
    goodput: share(
      sum(outcomes.filter(met).map(({tokens}) => tokens)),
      sum(outcomes.map(({arrival}) => arrival.tokens)),
    ),
    wasted: share(wasted, wasted + got),
    worstTeam: share(Math.min(...equal), sum(equal) / equal.length),
    coldMost: Math.max(...engines.map(engine => engine.coldMost)),
    cheap: share(
      sum(lowest.filter(({cheap}) => cheap).map(({tokens}) => tokens)),
      sum(lowest.map(({tokens}) => tokens)),
    ),
    open: asked - outcomes.length,
    refusedFirst: ofTier(1).filter(({refusal}) => refusedForPlace.has(refusal))
      .length,
  };
}

function percent(value: number): string {
  return (100 * value).toFixed(1).padStart(6);
}

const POLICIES: ReadonlyArray<readonly [string, (site: Site) => Policy]> = [
  ['naive', site => new NaivePolicy(site)],
  ['router', site => new OurPolicy(site)],
];

const all: unknown[] = [];
if (!settings.json) {
  process.stdout.write(
    `seed ${settings.seed}, ${settings.seconds} s; percent of requests within targets by tier, ` +
      'goodput, wasted, worst team against mean, cheap share; refusals of tier 1\n',
  );
}
for (const shape of SHAPES) {
  for (const row of ROWS) {
    if (settings.only && !row.name.includes(settings.only)) continue;
    for (const [policy, make] of POLICIES) {
      const figures = await run(shape, row, make);
      all.push({deployment: shape.name, row: row.name, policy, ...figures});
      if (settings.json) continue;
      const {
        attained,
        goodput,
        wasted,
        worstTeam,
        cheap,
        coldMost,
        open,
        refusedFirst,
      } = figures;
      process.stdout.write(
        `${shape.name.padEnd(10)}${row.name.padEnd(32)}${policy.padEnd(8)}` +
          `${attained.map(percent).join('')}  |${percent(goodput)}${percent(wasted)}` +
          `${percent(worstTeam)}${percent(cheap)}  | ${refusedFirst}` +
          `${coldMost > 0 ? ` cold ${coldMost}` : ''}${open > 0 ? ` open ${open}` : ''}\n`,
      );
    }
  }
}
if (settings.json)
  process.stdout.write(`${JSON.stringify(all, undefined, 2)}\n`);
process.exit(0);
