/**
 * What one decision among the engines of a large fleet takes, without a network:
 * prints the median and the 99th percentile of each call of the selector, in
 * microseconds.
 */
import * as z from 'zod';

import {EndpointSelector, type Prompt} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import type {Directory} from '../source/directory/index.js';
import {seededRandom} from '../source/random/index.js';
import {
  ASSUMED_RATE,
  ServiceRates,
  type ServiceRate,
} from '../source/servicerates/index.js';
import {readSettings} from '../source/settings/index.js';

const settingsSchema = z.strictObject({
  hosts: z.coerce.number().default(61),
  endpoints: z.coerce.number().default(98),
  rounds: z.coerce.number().default(20_000),
  /** Whether the endpoints state how long work takes there: 1 or 0. */
  rated: z.coerce.number().default(0),
});
const settings = readSettings(process.argv.slice(2), {}, settingsSchema);

const SLOTS = 16;
const SERVICE = {
  name: 'drafting',
  healthPath: '/health',
  coldRate: 5,
  engine: {slots: SLOTS, memory: 314_653},
};
const ZONES = ['palermo', 'catania', 'siracusa'];
const SUBJECTS = 2_156;
/** Requests that this host has in progress. */
const IN_PROGRESS = 12;
const WARM_UP_ROUNDS = 2_000;
const REPORT_INTERVAL_ROUNDS = 2;
const ROUND_MILLISECONDS = 25;
/** Engines at which another host reports requests. */
const ENGINES_REPORTED = 6;
const GROUP = {
  pool: SERVICE.name,
  className: SERVICE.name,
  tier: 1,
  floorShare: 0,
  cheapShare: 0,
  repeatable: true,
};

const random = seededRandom(1);
const clock = new ManualClock();
const ids = Array.from(
  {length: settings.endpoints},
  (_, index) => `i-${index.toString(16).padStart(10, '0')}`,
);
const directory: Directory = new Map(
  ids.map((id, index) => [
    id,
    {
      entry: {
        id,
        service: SERVICE.name,
        address: '127.0.0.1:1',
        zone: ZONES[index % ZONES.length] ?? '',
        slots: SLOTS,
        leaving: false,
        coldFor: 0,
        born: 1,
        reclaimable: false,
      },
      knownAt: 0,
      coldUntil: -Infinity,
      removeAt: undefined,
    },
  ]),
);

function below(limit: number): number {
  return Math.floor(random.next() * limit);
}

function largePrompt(): Prompt {
  const subject = below(SUBJECTS);
  const parts = [
    {id: `base-${subject % 4}`, tokens: 2_520},
    {id: `glossary-${subject}`, tokens: 3_780},
    {id: 'own', tokens: 2_890},
  ];
  return {model: 'm', parts, tokens: 9_190, output: 50};
}

function smallPrompt(): Prompt {
  const parts = [
    {id: `greeting-${below(4)}`, tokens: 119},
    {id: `style-${below(SUBJECTS)}`, tokens: 79},
    {id: 'own', tokens: 628},
  ];
  return {model: 'm', parts, tokens: 826, output: 290};
}

/** Milliseconds of each call, by name. */
const durations = new Map<string, number[]>();

function timed<T>(name: string, call: () => T): T {
  const from = process.hrtime.bigint();
  const result = call();
  const nanoseconds = Number(process.hrtime.bigint() - from);
  const known = durations.get(name) ?? [];
  known.push(nanoseconds / 1_000);
  durations.set(name, known);
  return result;
}

/** Rates that differ from engine to engine. */
class UnevenRates extends ServiceRates {
  private readonly uneven = new Map<string, ServiceRate>(
    ids.map((id, index) => [
      id,
      {...ASSUMED_RATE, workFactor: 1 + (index % 7) / 4, observedAt: 0},
    ]),
  );

  override rateOf(endpoint: string): ServiceRate {
    return this.uneven.get(endpoint) ?? ASSUMED_RATE;
  }

  override isInUse(): boolean {
    return settings.rated === 1;
  }
}

const selector = new EndpointSelector({
  host: 'host-0',
  zone: 'palermo',
  clock,
  regions: {},
  rates: new UnevenRates(),
  balancesByRates: settings.rated === 1,
});
const hosts = Array.from({length: settings.hosts}, (_, i) => `host-${i}`);
selector.setServices(new Map([[SERVICE.name, SERVICE]]));
selector.setDirectory(directory);
selector.setHosts(hosts);

function reportOtherHosts(requests: number): void {
  const count = (settings.hosts - 1) * ENGINES_REPORTED;
  const loads = Array.from({length: count}, () => ({
    id: ids[below(ids.length)] ?? '',
    requests,
    reading: 0,
  }));
  const demands = hosts
    .slice(1)
    .map(() => ({service: SERVICE.name, large: 3_000, small: 1_500}));
  timed('setHostReports', () => selector.setHostReports(loads, demands));
}

const held: Array<() => void> = [];

function reserve(name: string, prompt: Prompt): void {
  selector.recordArrival(SERVICE.name, prompt);
  const reservation = timed(`reserve, ${name}`, () =>
    selector.reserve({
      service: SERVICE.name,
      prompt,
      tier: 0,
      failedEndpoints: new Set(),
    }),
  );
  reservation?.answered({running: 3, waiting: 0, slots: SLOTS});
  held.push(() => reservation?.release());
  if (held.length > IN_PROGRESS) held.shift()?.();
}

for (let round = 0; round < WARM_UP_ROUNDS + settings.rounds; round++) {
  if (round === WARM_UP_ROUNDS) durations.clear();
  clock.advance(ROUND_MILLISECONDS);
  if (round % REPORT_INTERVAL_ROUNDS === 0) reportOtherHosts(1);
  timed('slotCount', () => selector.slotCount(SERVICE.name));
  timed('hasCapacity, some free', () => selector.hasCapacity(GROUP));
  reserve('large prompt', largePrompt());
  reserve('small prompt', smallPrompt());
  if (round % REPORT_INTERVAL_ROUNDS === 0) {
    reportOtherHosts(SLOTS);
    timed('hasCapacity, none free', () => selector.hasCapacity(GROUP));
  }
}

for (const [name, samples] of durations) {
  samples.sort((one, other) => one - other);
  const at = (part: number) =>
    (samples[Math.floor(samples.length * part)] ?? 0).toFixed(1);
  console.log(`${name}: ${at(0.5)} us median, ${at(0.99)} us 99th percentile`);
}
