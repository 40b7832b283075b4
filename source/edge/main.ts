/**
 * Entry point of arbutusslip-edge, the daemon of one host on the users' platform.
 * Listens for reload signals before it loads the rest of the program, since a
 * signal without a listener would end the process.
 */
import {ReloadSignals} from './signals.js';

const signals = new ReloadSignals(process);
const {startEdge} = await import('./start.js');
await startEdge(signals);
