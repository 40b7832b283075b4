/** The deployments and the rows that the policy is measured in. */
import type {ManualClock} from '../../source/clock/index.js';
import {
  applyNote,
  emptyConfiguration,
  releaseNoteSchema,
  type Configuration,
} from '../../source/configuration/index.js';
import {serviceTime, type ModelEngine} from './engines.js';
import {TOKENS_MEAN, type Burst, type Load} from './trace.js';

export const WARM_UP = 5_000;
export const DRAIN = 40_000;

/** A deployment as the measurement sees it. */
export interface Shape {
  readonly name: string;
  readonly zones: readonly string[];
  readonly hosts: number;
  readonly engines: number;
  readonly cheap: number;
  readonly slots: number;
}

export const SHAPES: readonly Shape[] = [
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
export interface Row {
  readonly name: string;
  /** Total demand, as a share of the capacity. */
  readonly demand: number;
  readonly bursts?: readonly Burst[];
  readonly loud?: number;
  /** Milliseconds by which load reports are late. */
  readonly reportLag?: number;
  readonly faults?: (world: World) => void;
}

export interface World {
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

export const ROWS: readonly Row[] = [
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
export function loadsOf(shape: Shape, {demand, loud}: Row): Load[] {
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

export function configurationOf({
  zones,
  engines,
  cheap,
  slots,
}: Shape): Configuration {
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
