/**
 * Measures the decisions under load and faults, beside a naive baseline, under
 * a virtual clock and a fixed seed: text, or JSON with `--json=yes`.
 */
import * as z from 'zod';

import {ManualClock} from '../source/clock/index.js';
import {applyNote, releaseNoteSchema} from '../source/configuration/index.js';
import {readSettings} from '../source/settings/index.js';
import {ModelEngine} from './policy/engines.js';
import {figuresOf, type Figures} from './policy/figures.js';
import {NaivePolicy} from './policy/naive.js';
import {OurPolicy} from './policy/ours.js';
import type {Outcome, Policy, Site} from './policy/policy.js';
import {
  configurationOf,
  DRAIN,
  loadsOf,
  ROWS,
  SHAPES,
  WARM_UP,
  type Row,
  type Shape,
} from './policy/rows.js';
import {makeTrace} from './policy/trace.js';

const settingsSchema = z.strictObject({
  seed: z.coerce.number().int().default(1),
  seconds: z.coerce.number().default(60),
  only: z.string().optional().describe('Rows whose name has this in it.'),
  json: z.string().optional(),
});
const settings = readSettings(process.argv.slice(2), {}, settingsSchema);
const DURATION = settings.seconds * 1_000;

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
