/** Plays soaks of one seed after another and prints what came of each. */
import * as z from 'zod';

import {readSettings} from '../source/settings/index.js';
import {Soak} from './soak.js';

const settingsSchema = z.strictObject({
  /** The first seed; a fresh one where it is absent. */
  first: z.coerce.number().int().optional(),
  seeds: z.coerce.number().int().default(1),
  hosts: z.coerce.number().int().default(3),
  endpoints: z.coerce.number().int().default(4),
  callers: z.coerce.number().int().default(3),
  seconds: z.coerce.number().default(12),
  /** Whether the machine and its neighbours do wrong as well. */
  machine: z.enum(['on', 'off']).default('on'),
  /** Path of the program of the hosts. */
  program: z.string().optional(),
});
const {first, seeds, seconds, machine, program, ...size} = readSettings(
  process.argv.slice(2),
  {},
  settingsSchema,
);
const FRESH = 1_000_000;
const start = first ?? Math.floor(Math.random() * FRESH);

let broken = 0;
for (let seed = start; seed < start + seeds; seed++) {
  const lasts = seconds * 1_000;
  const soak = new Soak({
    ...size,
    seed,
    lasts,
    hasMachineFaults: machine === 'on',
    ...(program && {program}),
  });
  const end = (cause: unknown) => {
    console.log(cause);
    console.log(`kept in ${soak.keepOutput()}`);
    soak.end();
    process.exit(1);
  };
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
  process.once('uncaughtException', end);
  const report = await soak.play();
  process.off('SIGTERM', end);
  process.off('SIGINT', end);
  process.off('uncaughtException', end);
  const {asked, served, violations, faults} = report;
  const {turnedAway, queued, scrapes} = report;
  console.log(
    `seed ${seed}: ${faults.length} faults, ${served} of ${asked} served, ` +
      `${turnedAway} turned away, ${queued} queued, ${scrapes} scrapes, ` +
      `at most ${Math.round(report.peakMegabytes)} MB, ` +
      `${violations.length} promises broken`,
  );
  if (violations.length === 0) continue;
  broken++;
  console.log(`kept in ${report.output}`);
  console.log(JSON.stringify({violations: violations.slice(0, 20), faults}));
}
console.log(`${seeds - broken} passed, ${broken} failed`);
process.exit(broken > 0 ? 1 : 0);
