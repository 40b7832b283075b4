/** Starts many hosts at once, so many times, and prints what came of it. */
import {loadavg} from 'node:os';

import * as z from 'zod';

import {readSettings} from '../source/settings/index.js';
import {DRAWS, PORT_NAMES} from '../soak/ports.js';
import {Starts, type StartsReport} from './hoststarts.js';

const settingsSchema = z.strictObject({
  program: z.string().default('dist/arbutusslip-edge.js'),
  hosts: z.coerce.number().int().default(24),
  seconds: z.coerce.number().default(10),
  requests: z.coerce.number().int().default(200),
  runs: z.coerce.number().int().default(1),
  seed: z.coerce.number().int().default(1),
  draw: z.enum(DRAWS).default('distinct'),
  /** Which port of every host a stranger holds at the first start. */
  held: z.enum(PORT_NAMES).optional(),
  /** Seconds for which it is held; as long as the run where it is absent. */
  heldSeconds: z.coerce.number().optional(),
  signal: z.enum(['SIGHUP', 'SIGTERM', 'SIGINT']).optional(),
  /** Milliseconds after a start within which the signal comes. */
  signalWithin: z.coerce.number().default(60),
  /** Requests in progress at the first host when it is told to stop. */
  stopsWith: z.coerce.number().int().default(0),
});
const {runs, seconds, heldSeconds, ...options} = readSettings(
  process.argv.slice(2),
  {},
  settingsSchema,
);

for (let run = 0; run < runs; run++) {
  const starts = new Starts({
    ...options,
    seed: options.seed + run,
    lasts: seconds * 1_000,
    ...(heldSeconds !== undefined && {heldFor: heldSeconds * 1_000}),
  });
  const end = () => {
    starts.end();
    process.exit(1);
  };
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
  const report = await starts.play();
  process.off('SIGTERM', end);
  process.off('SIGINT', end);
  const [load] = loadavg();
  console.log(new Date().toISOString(), `load ${load}`, summaryOf(report));
  console.log(JSON.stringify(report));
}
process.exit(0);

function summaryOf(report: StartsReport): string {
  const {ready, neverReady, ends, taken, starts, repeated} = report;
  const {asked, unanswered, aliveNotServing, cutAtStop} = report;
  const ports = taken.map(({port}) => port).join(' ');
  return (
    `${repeated} ports drawn twice, ${ready} ready, ${neverReady.length} never, ` +
    `${starts} starts, ${ends.length} ends by themselves, ` +
    `EADDRINUSE ${taken.length} (${ports}), ${unanswered} of ${asked} unanswered, ` +
    `${aliveNotServing.length} alive and not serving, ${cutAtStop} cut at the stop`
  );
}
