/** Keeps the pauses of running streams within their routes' limits. */
export {countPauses, PauseMeter} from './meter.js';
export {isLargeForPauses, pauseCost, type PauseSituation} from './decide.js';
export {EnginePauses, type RunningStream} from './streams.js';
