/**
 * arbutusslip-edge, the daemon of one host on the users' platform. It listens for
 * signals before it loads the rest.
 */
import {ReloadSignals} from './signals.js';

const signals = new ReloadSignals(process);
const {startEdge} = await import('./start.js');
await startEdge(signals);
