/**
 * The quickstart: starts a deployment at its present size, publishes its
 * release note with the operators' tool, drives traffic, withdraws a key and
 * takes a zone out meanwhile, and prints what came of it.
 */
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

import * as z from 'zod';

import {readSettings} from '../source/settings/index.js';
import {DEPLOYMENTS} from './deployments.js';
import {ask, Fleet, until} from './fleet.js';
import {ledgerEntries, printTable} from './summary.js';
import {makeTraffic, type Result} from './traffic.js';

const settingsSchema = z.strictObject({
  deployment: z.enum(['consorzio', 'munteco']).default('consorzio'),
  serve: z.string().optional().describe('Stay up and print a line to try.'),
  seed: z.coerce.number().int().default(1),
  concurrency: z.coerce.number().int().min(1).default(40),
  seconds: z.coerce.number().min(3).default(20),
});

const execute = promisify(execFile);
const toolPath = fileURLToPath(new URL('./arbutusslip.js', import.meta.url));

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function tool(fleet: Fleet, ...flags: string[]): Promise<string> {
  const platform = `--platform=${fleet.platform.address}`;
  const {stdout} = await execute(process.execPath, [
    toolPath,
    ...flags,
    platform,
  ]);
  return stdout.trim();
}

async function publishFirst(fleet: Fleet): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'arbutusslip-'));
  const file = join(folder, 'note.json');
  await writeFile(file, JSON.stringify(fleet.note()));
  say(await tool(fleet, 'release', 'publish', file));
  await rm(folder, {recursive: true});
}

const warmSchema = z.object({
  endpoints: z.array(z.object({state: z.string()})),
});

async function whenWarm(fleet: Fleet): Promise<void> {
  await until('warm endpoints', async () => {
    for (const {operators} of fleet.hosts) {
      const status = warmSchema.parse(await ask(operators, 'GET', '/status'));
      if (status.endpoints.some(({state}) => state !== 'warm'))
        return undefined;
    }
    return true;
  });
}

/** What the operators do while traffic runs. */
async function operate(fleet: Fleet, milliseconds: number): Promise<number> {
  const {zones, teams} = fleet.deployment;
  const wait = (share: number) =>
    new Promise(resolve => setTimeout(resolve, share * milliseconds));
  const zone = zones[1] ?? '';
  const team = teams.at(-2)?.name ?? '';
  await wait(0.25);
  say(`taking zone ${zone} out`);
  say(await tool(fleet, 'zone', 'out', zone));
  await wait(0.25);
  say(`withdrawing the key of ${team}`);
  say(await tool(fleet, 'key', 'withdraw', `${team}-first`));
  const withdrawnAt = performance.now();
  await wait(0.25);
  say(`bringing zone ${zone} back`);
  say(await tool(fleet, 'zone', 'in', zone));
  return withdrawnAt;
}

async function drive(
  fleet: Fleet,
  seed: number,
  concurrency: number,
  seconds: number,
): Promise<Result[]> {
  let count = 0;
  const progress = setInterval(() => say(`${count} requests done`), 4_000);
  const duration = seconds * 1_000;
  const [results] = await Promise.all([
    makeTraffic(fleet, {
      seed,
      concurrency,
      duration,
      hosts: () => fleet.hosts,
      done: () => count++,
    }),
    operate(fleet, duration),
  ]);
  clearInterval(progress);
  return results;
}

async function main(): Promise<number> {
  const flags = process.argv
    .slice(2)
    .map(flag => (flag === '--serve' ? '--serve=yes' : flag));
  const settings = readSettings(flags, {}, settingsSchema);
  const deployment = DEPLOYMENTS[settings.deployment];
  say(
    `starting ${deployment.name}: ${deployment.zones.join(', ')} (seed ${settings.seed})`,
  );
  const fleet = await Fleet.start(deployment, {
    hostFlags: ['--usage-window-milliseconds=4000'],
  });
  try {
    say(
      `${fleet.hosts.length} hosts, ${fleet.endpoints.size} endpoints, 1 platform`,
    );
    await publishFirst(fleet);
    await whenWarm(fleet);
    if (settings.serve) return await serve(fleet);
    const {seed, concurrency, seconds} = settings;
    const results = await drive(fleet, seed, concurrency, seconds);
    const once = await ledgerEntries(fleet);
    return printTable(deployment, results, once, say) ? 0 : 1;
  } finally {
    fleet.stop();
  }
}

function serve(fleet: Fleet): Promise<number> {
  const [host] = fleet.hosts;
  const [key] = fleet.keys.values();
  const model = fleet.deployment.routes.find(
    ({kind}) => kind === 'chat',
  )?.model;
  const body = {
    model,
    stream: true,
    messages: [{role: 'user', content: 'Ciao!'}],
  };
  say('try this, and end with Ctrl-C:');
  say(
    `curl -N http://${host?.address}/v1/chat/completions ` +
      `-H 'authorization: Bearer ${key}' -d '${JSON.stringify(body)}'`,
  );
  return new Promise(resolve => {
    process.once('SIGINT', () => resolve(0));
    process.once('SIGTERM', () => resolve(0));
  });
}

process.exit(await main());
