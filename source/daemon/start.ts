/** The command line of arbutusslipd. */
import {defineCommand, renderUsage} from 'citty';

import {argumentDefinitionsFor, settingsSchema} from '../settings/index.js';
import {runDaemon} from './run.js';
import type {DaemonSignals} from './signals.js';

const daemon = defineCommand({
  meta: {name: 'arbutusslipd', description: 'One host of arbutusslip.'},
  args: argumentDefinitionsFor(settingsSchema),
});

/** Starts the daemon, or prints what its flags are. */
export async function startDaemon(signals: DaemonSignals): Promise<void> {
  const flags = process.argv.slice(2);
  if (flags.includes('--help'))
    process.stdout.write(`${await renderUsage(daemon)}\n`);
  else await runDaemon(flags, process.env, signals);
}
