/**
 * What the router costs, beside a bare pass-through of our own: whole requests
 * and streamed events a second on one core, added time, and memory over many
 * requests. Both are measured in turns in the same run.
 */
import {readFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {createHistogram} from 'node:perf_hooks';

import * as z from 'zod';

import {releaseNoteSchema} from '../source/configuration/index.js';
import {createKey, publish} from '../source/operator/index.js';
import {HttpPlatform} from '../source/platform/index.js';
import {readSettings} from '../source/settings/index.js';
import {partsOf} from '../source/wire/index.js';
import {ask, startProgram, until, type Program} from './fleet.js';
import {freeAddress} from './ports.js';

const settingsSchema = z.strictObject({
  seconds: z.coerce.number().default(3),
  rounds: z.coerce.number().int().default(3),
  connections: z.coerce.number().int().default(50),
  requests: z.coerce.number().int().default(100_000),
});
const settings = readSettings(process.argv.slice(2), {}, settingsSchema);
const programs: Program[] = [];
const key = createKey();

async function start(
  program: string,
  flags: readonly string[],
): Promise<Program> {
  const address = await freeAddress();
  const started = startProgram(program, program, address, [
    `--listen=${address}`,
    ...flags,
  ]);
  programs.push(started);
  const path = program === 'standin-platform' ? '/ready' : '/load';
  await until(program, () => ask(address, 'GET', path));
  return started;
}

/** A router before one endpoint, with a platform of its own. */
async function startRouter(endpoint: string): Promise<Program> {
  const platform = await start('standin-platform', []);
  const [callers, operators, peers] = await Promise.all([
    freeAddress(),
    freeAddress(),
    freeAddress(),
  ]);
  const router = startProgram('arbutusslipd', 'router', callers, [
    '--name=router',
    '--zone=zone',
    '--region=region',
    `--callers=${callers}`,
    `--operators=${operators}`,
    `--peers=${peers}`,
    `--platform=${platform.address}`,
    '--peer-secret=the-secret-of-a-measurement',
    '--log-level=warn',
  ]);
  programs.push(router);
  await until('router', () => ask(operators, 'GET', '/ready'));
  const name = 'm';
  const note = releaseNoteSchema.parse({
    id: 'first',
    added: {
      zones: [{name: 'zone', region: 'region'}],
      teams: [{name: 'team'}],
      keys: [{name: 'key', team: 'team', digest: key.digest}],
      classes: [{name: 'class', tier: 1}],
      routes: [
        {
          name,
          kind: 'chat',
          model: 'm',
          pool: 'pool',
          class: 'class',
          repeatable: true,
        },
      ],
      endpoints: [
        {
          name: 'e',
          zone: 'zone',
          address: endpoint,
          pool: 'pool',
          kind: 'engine',
          slots: 4096,
        },
      ],
    },
  });
  await publish(new HttpPlatform(platform.address), note);
  await until('served', async () => {
    const agent = new Agent();
    const {status} = await once(callers, agent, false);
    return status === 200 || undefined;
  });
  return router;
}

interface Answered {
  readonly status: number;
  /** Milliseconds to the first byte of the body. */
  readonly first: number;
  /** Milliseconds between the arrivals of events. */
  readonly gaps: readonly number[];
  readonly events: number;
}

const END = 'data: [DONE]';
const EVENT = 'data: ';

function once(
  address: string,
  agent: Agent,
  stream: boolean,
): Promise<Answered> {
  const messages = [{role: 'user', content: 'ciao'}];
  const body = JSON.stringify({model: 'm', messages, stream});
  return new Promise((resolve, reject) => {
    const began = performance.now();
    const outgoing = request(
      {
        ...partsOf(address),
        agent,
        method: 'POST',
        path: '/v1/chat/completions',
        headers: {
          authorization: `Bearer ${key.text}`,
          'content-type': 'application/json',
          'content-length': body.length,
        },
      },
      answer => {
        let first = 0;
        let last = 0;
        let events = 0;
        let ended = false;
        const gaps: number[] = [];
        answer.setEncoding('latin1');
        answer.on('data', (text: string) => {
          const now = performance.now();
          if (first === 0) first = now - began;
          else gaps.push(now - last);
          last = now;
          for (
            let at = text.indexOf(EVENT);
            at >= 0;
            at = text.indexOf(EVENT, at + 1)
          ) {
            events++;
          }
          if (text.includes(END)) ended = true;
        });
        answer.on('end', () => {
          if (stream && !ended) reject(new Error('not whole'));
          else resolve({status: answer.statusCode ?? 0, first, gaps, events});
        });
      },
    );
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

/** Requests, or events of streams, a second over some connections. */
async function throughput(address: string, stream: boolean): Promise<number> {
  const agent = new Agent({keepAlive: true, maxSockets: settings.connections});
  const end = performance.now() + settings.seconds * 1_000;
  let count = 0;
  const worker = async () => {
    while (performance.now() < end) {
      const {events} = await once(address, agent, stream);
      count += stream ? events : 1;
    }
  };
  const began = performance.now();
  await Promise.all(Array.from({length: settings.connections}, worker));
  agent.destroy();
  return (1_000 * count) / (performance.now() - began);
}

function newHistogram() {
  return createHistogram({lowest: 1, highest: 60_000_000, figures: 3});
}

/** Percentiles of the first token and of gaps, in milliseconds. */
async function latencies(
  address: string,
): Promise<{first: number; gap: number}> {
  const agent = new Agent({keepAlive: true});
  const firsts = newHistogram();
  const gaps = newHistogram();
  const micro = (value: number) => Math.max(Math.round(value * 1_000), 1);
  for (let round = 0; round < 4; round++) {
    const streams = Array.from(
      {length: settings.connections},
      async (_, index) => {
        await new Promise(resolve => setTimeout(resolve, index * 7));
        return once(address, agent, true);
      },
    );
    for (const answered of await Promise.all(streams)) {
      firsts.record(micro(answered.first));
      for (const gap of answered.gaps) gaps.record(micro(gap));
    }
  }
  agent.destroy();
  return {
    first: firsts.percentile(99) / 1_000,
    gap: gaps.percentile(99) / 1_000,
  };
}

function residentMegabytes(program: Program): number {
  const status = readFileSync(`/proc/${program.process.pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
}

function median(values: readonly number[]): number {
  return [...values].sort((one, other) => one - other)[values.length >> 1] ?? 0;
}

async function compare(
  router: Program,
  bare: Program,
  stream: boolean,
): Promise<Record<string, number>> {
  const routed: number[] = [];
  const passed: number[] = [];
  await throughput(router.address, stream);
  await throughput(bare.address, stream);
  for (let round = 0; round < settings.rounds; round++) {
    passed.push(await throughput(bare.address, stream));
    routed.push(await throughput(router.address, stream));
  }
  const [ours, theirs] = [median(routed), median(passed)];
  return {router: ours, passThrough: theirs, share: ours / theirs};
}

async function memory(router: Program): Promise<Record<string, number>> {
  const agent = new Agent({keepAlive: true, maxSockets: settings.connections});
  const samples: number[] = [];
  let left = settings.requests;
  const worker = async () => {
    while (left-- > 0) {
      await once(router.address, agent, false);
      if (left % (settings.requests / 10) === 0)
        samples.push(residentMegabytes(router));
    }
  };
  await Promise.all(Array.from({length: settings.connections}, worker));
  agent.destroy();
  return {
    requests: settings.requests,
    afterTenth: samples[0] ?? 0,
    afterHalf: samples[4] ?? 0,
    atEnd: samples.at(-1) ?? 0,
  };
}

async function main(): Promise<void> {
  const fast = await start('standin-fast', []);
  const slow = await start('standin-fast', ['--interval=20', '--events=50']);
  const bareFast = await start('standin-fast', [`--target=${fast.address}`]);
  const bareSlow = await start('standin-fast', [`--target=${slow.address}`]);
  const router = await startRouter(fast.address);
  const idle = residentMegabytes(router);
  const slowRouter = await startRouter(slow.address);
  const whole = await compare(router, bareFast, false);
  const events = await compare(router, bareFast, true);
  const passed = await latencies(bareSlow.address);
  const routed = await latencies(slowRouter.address);
  const figures = {
    whole,
    events,
    addedFirstP99: routed.first - passed.first,
    addedGapP99: routed.gap - passed.gap,
    routed,
    passed,
    residentIdle: idle,
    memory: await memory(router),
  };
  process.stdout.write(`${JSON.stringify(figures, undefined, 2)}\n`);
}

try {
  await main();
} finally {
  for (const program of programs) program.process.kill('SIGKILL');
}
process.exit(0);
