#!/usr/bin/env node
/**
 * arbutusslipd, the daemon of one host. Handles signals before it loads the rest
 * of the program. While that loads there is nothing to end in order, so a signal
 * to stop ends the process at once.
 */
import {DaemonSignals} from './signals.js';

const signals = new DaemonSignals(process, () => process.exit(0));
const {startDaemon} = await import('./start.js');
await startDaemon(signals);
