/**
 * What the machine of a soak does wrong beside its other faults, and what
 * neighbours do that read nothing or send much, from the seed alone.
 */
import {seededRandom, type RandomSource} from '../source/random/index.js';
import type {
  CommonStart,
  MachineFault,
  PlannedFault,
  SoakSize,
} from './faults.js';
import {PORT_NAMES} from './ports.js';

const START_SPREAD_MILLISECONDS = 300;
const FIRST_MILLISECONDS = 500;
const GAP_MILLISECONDS_MOST = 4_000;
const LASTS_MILLISECONDS_MOST = 2_500;
/** Of large bodies, at least. */
const LARGE_MILLISECONDS = 2_000;
/** From the first millisecond until well behind the end of a start. */
const SIGNAL_MILLISECONDS_MOST = 900;
const MISSING_SHARE = 0.5;

/** Mixes a seed, as the first numbers of seeds in a row are much alike. */
const SEED_FACTOR = 0x9e3779b1;

/** The generator of the machine’s faults, apart from that of others. */
export function machineRandomOf(seed: number): RandomSource {
  return seededRandom(Math.imul(seed, SEED_FACTOR));
}

/**
 * When the hosts start, and what is missing then.
 *
 * ```ts
 * const start = commonStartOf(machineRandomOf(5), 3);
 * ```
 */
export function commonStartOf(
  random: RandomSource,
  hosts: number,
): CommonStart {
  const delays = Array.from(
    {length: hosts},
    () => random.next() * START_SPREAD_MILLISECONDS,
  );
  const isAway = random.next() < MISSING_SHARE;
  const isHeld = random.next() < MISSING_SHARE;
  const away = random.next() * LASTS_MILLISECONDS_MOST;
  const held = {
    host: Math.floor(random.next() * hosts),
    port:
      PORT_NAMES[Math.floor(random.next() * PORT_NAMES.length)] ?? 'control',
    lasts: random.next() * LASTS_MILLISECONDS_MOST,
  };
  return {delays, storeAway: isAway ? away : 0, ...(isHeld && {held})};
}

/**
 * The faults of the machine and of such neighbours.
 *
 * ```ts
 * const plan = machinePlanOf(machineRandomOf(5), {hosts: 3, endpoints: 4, lasts: 8_000});
 * ```
 */
export function machinePlanOf(
  random: RandomSource,
  size: SoakSize,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  const nextAt = (at: number) => at + random.next() * GAP_MILLISECONDS_MOST;
  for (let at = nextAt(FIRST_MILLISECONDS); at < size.lasts; at = nextAt(at))
    plan.push({at, fault: machineFaultOf(random, size)});
  return plan;
}

function machineFaultOf(
  random: RandomSource,
  {hosts, endpoints}: SoakSize,
): MachineFault {
  const pick = (count: number) => Math.floor(random.next() * count);
  const host = pick(hosts);
  const endpoint = pick(endpoints);
  const port = PORT_NAMES[pick(PORT_NAMES.length)] ?? 'control';
  const how = pick(2) === 0 ? 'kill' : 'stop';
  const signal = pick(2) === 0 ? 'SIGHUP' : 'SIGTERM';
  const lasts = random.next() * LASTS_MILLISECONDS_MOST;
  const after = random.next() * SIGNAL_MILLISECONDS_MOST;
  const isUnread = pick(2) === 0;
  const start = commonStartOf(random, hosts);
  const faults: readonly MachineFault[] = [
    {kind: 'port-held', host, how, port, lasts},
    {kind: 'port-held', host, how, port, lasts},
    {kind: 'signal-at-start', host, signal, after},
    {kind: 'signal-at-start', host, signal, after},
    {kind: 'early-successor', host},
    {kind: 'all-started', start},
    {kind: 'large-bodies', host, lasts: LARGE_MILLISECONDS + lasts, isUnread},
    {kind: 'deaf-callers', host, lasts},
    {kind: 'deaf-endpoint', endpoint, lasts},
  ];
  return faults[pick(faults.length)] ?? {kind: 'early-successor', host};
}
