/**
 * Entry point of arbutusslip-edge, the daemon of one host on the users' platform.
 * Handles signals before it loads the rest of the program, since a signal without
 * a listener would end the process. While the program loads there is nothing to
 * end in order, so a signal to stop ends the process at once.
 */
import {writeSync} from 'node:fs';

import {ProcessSignals, type StopSignal} from './signals.js';

const STDOUT_FILE_DESCRIPTOR = 1;

const stopWhileLoading = (signal: StopSignal) => {
  const time = new Date().toISOString();
  const line = {time, level: 'info', event: 'stop', fields: {signal}};
  // Once the stream exists, a write to a pipe that is full fails and does not wait.
  void process.stdout;
  try {
    writeSync(STDOUT_FILE_DESCRIPTOR, `${JSON.stringify(line)}\n`);
  } finally {
    // Also where nobody reads the log.
    process.exit(0);
  }
};

const signals = new ProcessSignals(process, stopWhileLoading);
const {startEdge} = await import('./start.js');
await startEdge(signals);
