#!/usr/bin/env node
/** arbutusslipd, the daemon of one host. */
import {argumentDefinitionsFor, settingsSchema} from '../settings/index.js';
import {defineCommand, renderUsage} from 'citty';

import {runDaemon} from './run.js';

const daemon = defineCommand({
  meta: {name: 'arbutusslipd', description: 'One host of arbutusslip.'},
  args: argumentDefinitionsFor(settingsSchema),
});

const flags = process.argv.slice(2);
if (flags.includes('--help')) {
  process.stdout.write(`${await renderUsage(daemon)}\n`);
} else {
  await runDaemon(flags, process.env);
}
