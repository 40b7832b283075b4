/**
 * What control costs a host, by the number of hosts in its zone, of endpoints,
 * of teams and of changes. Every host is a real process without callers.
 */
import * as z from 'zod';

import {
  releaseNoteSchema,
  type ReleaseNote,
} from '../source/configuration/index.js';
import {createKey, publish} from '../source/operator/index.js';
import {HttpPlatform} from '../source/platform/index.js';
import {readSettings} from '../source/settings/index.js';
import {ask, startProgram, until, type Program} from './fleet.js';
import {freeAddress} from './ports.js';
import {readProcess, type Reading} from './process.js';

const settingsSchema = z.strictObject({
  hosts: z.string().default('3,6,12,24,49'),
  endpoints: z.string().default('10,40,93'),
  teams: z.string().default('100,1900'),
  seconds: z.coerce.number().default(10),
  /** Milliseconds from the start of the hosts to the first reading. */
  settle: z.coerce.number().default(8_000),
});
const settings = readSettings(process.argv.slice(2), {}, settingsSchema);

/** One size of a zone. */
interface Size {
  readonly hosts: number;
  readonly endpoints: number;
  readonly teams: number;
  /** Changes of configuration a second. */
  readonly changes: number;
}

/** What one host of a zone of that size costs. */
interface Cost extends Size {
  /** Percent of a core, mean and most over the hosts. */
  readonly processor: number;
  readonly processorMost: number;
  readonly residentMegabytes: number;
  /** Kilobytes a second, in and out together. */
  readonly kilobytes: number;
  readonly kilobytesMost: number;
}

/** Milliseconds that each host of a zone may take to link up. */
const LINK_MILLISECONDS = 400;
const programs: Program[] = [];

function stopAll(): void {
  for (const program of programs.splice(0)) program.process.kill('SIGKILL');
}

async function startStandin(program: string): Promise<Program> {
  const address = await freeAddress();
  const started = startProgram(program, program, address, [
    `--listen=${address}`,
  ]);
  programs.push(started);
  const path = program === 'standin-platform' ? '/ready' : '/load';
  await until(program, () => ask(address, 'GET', path));
  return started;
}

interface HostProcess {
  readonly program: Program;
  readonly operators: string;
}

async function startHost(
  index: number,
  platform: string,
): Promise<HostProcess> {
  const [callers, operators, peers] = await Promise.all([
    freeAddress(),
    freeAddress(),
    freeAddress(),
  ]);
  const program = startProgram('arbutusslipd', `host-${index}`, callers, [
    `--name=host-${index}`,
    '--zone=zone',
    '--region=region',
    `--callers=${callers}`,
    `--operators=${operators}`,
    `--peers=${peers}`,
    `--platform=${platform}`,
    '--peer-secret=the-secret-of-a-measurement',
    '--log-level=error',
  ]);
  programs.push(program);
  await until(`host ${index}`, () => ask(operators, 'GET', '/ready'));
  return {program, operators};
}

function noteOf({endpoints, teams}: Size, address: string): ReleaseNote {
  const names = Array.from({length: teams}, (_, index) => `team-${index}`);
  return releaseNoteSchema.parse({
    id: 'first',
    added: {
      zones: [{name: 'zone', region: 'region'}],
      teams: names.map(name => ({name})),
      keys: names.map(team => ({name: team, team, digest: createKey().digest})),
      classes: [1, 2, 3].map(tier => ({name: `class-${tier}`, tier})),
      routes: [1, 2, 3, 4].map(number => ({
        name: `route-${number}`,
        kind: 'chat',
        model: `model-${number}`,
        pool: `pool-${number}`,
        class: 'class-1',
      })),
      endpoints: Array.from({length: endpoints}, (_, index) => ({
        name: `endpoint-${index}`,
        zone: 'zone',
        address,
        pool: `pool-${(index % 4) + 1}`,
        kind: 'engine',
        slots: 64,
      })),
    },
  });
}

const statusSchema = z.object({
  peers: z.array(z.string()),
  configuration: z.number(),
});

async function linked(hosts: readonly HostProcess[]): Promise<void> {
  // Large zones take their time to start on one machine.
  await sleep(hosts.length * LINK_MILLISECONDS);
  await until('links', async () => {
    for (const {operators} of hosts) {
      const status = statusSchema.parse(await ask(operators, 'GET', '/status'));
      if (status.peers.length < hosts.length - 1) return undefined;
      if (status.configuration < 0) return undefined;
    }
    return true;
  });
}

function sleep(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}

async function publishChanges(
  platform: HttpPlatform,
  changes: number,
): Promise<void> {
  const end = performance.now() + settings.seconds * 1_000;
  for (let index = 0; changes > 0 && performance.now() < end; index++) {
    const added = {teams: [{name: `added-${index}`}]};
    const note = releaseNoteSchema.parse({id: `change-${index}`, added});
    await platform.append([{kind: 'release-note', note}]);
    await sleep(1_000 / changes);
  }
}

async function measure(size: Size): Promise<Cost> {
  try {
    const platform = await startStandin('standin-platform');
    const endpoint = await startStandin('standin-fast');
    const client = new HttpPlatform(platform.address);
    await publish(client, noteOf(size, endpoint.address));
    const hosts: HostProcess[] = [];
    for (let index = 0; index < size.hosts; index++) {
      hosts.push(await startHost(index, platform.address));
    }
    await linked(hosts);
    await sleep(settings.settle);
    const read = () =>
      hosts.map(({program}) => readProcess(program.process.pid ?? 0));
    const before = read();
    const began = performance.now();
    await Promise.all([
      sleep(settings.seconds * 1_000),
      publishChanges(client, size.changes),
    ]);
    const after = read();
    return costOf(size, before, after, (performance.now() - began) / 1_000);
  } finally {
    stopAll();
  }
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function costOf(
  size: Size,
  before: readonly Reading[],
  after: readonly Reading[],
  seconds: number,
): Cost {
  const differences = (field: 'processor' | 'bytes') =>
    after.map(
      (reading, index) => reading[field] - (before[index]?.[field] ?? 0),
    );
  const processor = differences('processor').map(
    used => (100 * used) / seconds,
  );
  const bytes = differences('bytes').map(used => used / 1_024 / seconds);
  return {
    ...size,
    processor: mean(processor),
    processorMost: Math.max(...processor),
    residentMegabytes: mean(after.map(reading => reading.residentMegabytes)),
    kilobytes: mean(bytes),
    kilobytesMost: Math.max(...bytes),
  };
}

/** Least squares: what each more costs, the rest, and the error of the fit. */
function fit(points: ReadonlyArray<readonly [number, number]>) {
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const over = points.reduce(
    (sum, [x, y]) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const under = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = over / under;
  const rest = meanY - slope * meanX;
  const errors = points.map(([x, y]) => (y - rest - slope * x) ** 2);
  return {slope, rest, error: Math.sqrt(mean(errors))};
}

function numbers(list: string): number[] {
  return list.split(',').filter(Boolean).map(Number);
}

function say(cost: Cost): Cost {
  const {hosts, endpoints, teams, changes} = cost;
  process.stdout.write(
    `hosts ${hosts} endpoints ${endpoints} teams ${teams} changes/s ${changes}: ` +
      `${cost.processor.toFixed(2)} % of a core (most ${cost.processorMost.toFixed(2)}), ` +
      `${cost.residentMegabytes.toFixed(1)} MB resident, ` +
      `${cost.kilobytes.toFixed(1)} KB/s (most ${cost.kilobytesMost.toFixed(1)})\n`,
  );
  return cost;
}

async function series(sizes: readonly Size[]): Promise<Cost[]> {
  const costs: Cost[] = [];
  for (const size of sizes) costs.push(say(await measure(size)));
  return costs;
}

function report(
  name: string,
  costs: readonly Cost[],
  by: 'hosts' | 'endpoints' | 'teams' | 'changes',
): void {
  for (const figure of [
    'processor',
    'kilobytes',
    'residentMegabytes',
  ] as const) {
    const {slope, rest, error} = fit(
      costs.map(cost => [cost[by], cost[figure]]),
    );
    process.stdout.write(
      `fit ${name} ${figure}: ${rest.toFixed(3)} + ${slope.toFixed(5)} each, ` +
        `error ${error.toFixed(3)}\n`,
    );
  }
}

const base: Size = {hosts: 6, endpoints: 10, teams: 10, changes: 0};
const byHosts = await series(
  numbers(settings.hosts).map(hosts => ({...base, hosts})),
);
report('hosts', byHosts, 'hosts');
const byEndpoints = await series(
  numbers(settings.endpoints).map(endpoints => ({...base, endpoints})),
);
report('endpoints', byEndpoints, 'endpoints');
const byTeams = await series(
  numbers(settings.teams).map(teams => ({...base, teams})),
);
report('teams', byTeams, 'teams');
const byChanges = await series(
  [0, 5].map(changes => ({...base, teams: 1_900, changes})),
);
report('changes', byChanges, 'changes');
process.exit(0);
