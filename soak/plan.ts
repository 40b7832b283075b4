/**
 * What a soak does wrong and when, from its seed alone. Faults come in series
 * and overlap; every fault ends before the calm at the end.
 */
import type {RandomSource} from '../source/random/index.js';
import type {Fault, PlannedFault, SoakSize} from './faults.js';
import type {ProxyMode} from './proxy.js';

const MODES: readonly ProxyMode[] = ['delay', 'reset', 'silent', 'one-way'];
const FIRST_MILLISECONDS = 500;
const GAP_MILLISECONDS_MOST = 900;
const LASTS_MILLISECONDS_LEAST = 300;
const LASTS_MILLISECONDS_MOST = 2_500;
const SERIES_SHARE = 0.25;
const SECOND_SIGNAL_MILLISECONDS_MOST = 4_000;
const LOAD_GAP_MILLISECONDS_MOST = 5_000;
const OVERLOAD_SHARE = 0.6;
const RESTORE_GAP_MILLISECONDS_MOST = 9_000;
const RESTORED_AGE_MILLISECONDS_MOST = 6_000;
const REWRITE_MILLISECONDS_MOST = 1_200;
const DEADLY_GAP_MILLISECONDS_MOST = 9_000;

/**
 * The faults of a run.
 *
 * ```ts
 * const plan = planOf(seededRandom(7), {hosts: 3, endpoints: 4, lasts: 8_000});
 * ```
 */
export function planOf(random: RandomSource, size: SoakSize): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let at = FIRST_MILLISECONDS;
  while (at < size.lasts) {
    const fault = faultOf(random, size);
    plan.push({at, fault});
    // A series: the same again, soon.
    if (random.next() < SERIES_SHARE) plan.push({at: at + 100, fault});
    at += random.next() * GAP_MILLISECONDS_MOST;
  }
  return plan;
}

/**
 * Phases of overload, and stops with a second signal, beside the faults of a run.
 *
 * ```ts
 * const plan = loadPlanOf(seededRandom(8), {hosts: 3, endpoints: 4, lasts: 8_000});
 * ```
 */
export function loadPlanOf(
  random: RandomSource,
  {hosts, lasts: end}: SoakSize,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let at = FIRST_MILLISECONDS;
  while (at < end) {
    const isOverload = random.next() < OVERLOAD_SHARE;
    const host = Math.floor(random.next() * hosts);
    const gap = random.next() * SECOND_SIGNAL_MILLISECONDS_MOST;
    const lasts = random.next() * LASTS_MILLISECONDS_MOST;
    const fault: Fault = isOverload
      ? {kind: 'overload', lasts}
      : {kind: 'stop-twice', host, gap};
    plan.push({at, fault});
    at += random.next() * LOAD_GAP_MILLISECONDS_MOST;
  }
  return plan;
}

/**
 * Restores of the store from an older copy, beside the faults of a run.
 *
 * ```ts
 * const plan = restorePlanOf(seededRandom(9), {hosts: 3, endpoints: 4, lasts: 8_000});
 * ```
 */
export function restorePlanOf(
  random: RandomSource,
  {lasts: end}: SoakSize,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  const nextAt = (at: number) =>
    at + random.next() * RESTORE_GAP_MILLISECONDS_MOST;
  for (let at = nextAt(FIRST_MILLISECONDS); at < end; at = nextAt(at)) {
    const age = random.next() * RESTORED_AGE_MILLISECONDS_MOST;
    const lasts = random.next() * LASTS_MILLISECONDS_MOST;
    const rewrittenAfter = random.next() * REWRITE_MILLISECONDS_MOST;
    const kind = 'store-restored';
    plan.push({at, fault: {kind, age, lasts, rewrittenAfter}});
  }
  return plan;
}

/**
 * Times in which a request that crashes endpoints comes, beside the faults of a run.
 *
 * ```ts
 * const plan = deadlyPlanOf(seededRandom(4), {hosts: 3, endpoints: 4, lasts: 8_000});
 * ```
 */
export function deadlyPlanOf(
  random: RandomSource,
  {lasts: end}: SoakSize,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  const nextAt = (at: number) =>
    at + random.next() * DEADLY_GAP_MILLISECONDS_MOST;
  for (let at = nextAt(FIRST_MILLISECONDS); at < end; at = nextAt(at)) {
    const lasts = random.next() * LASTS_MILLISECONDS_MOST;
    plan.push({at, fault: {kind: 'deadly', lasts}});
  }
  return plan;
}

function faultOf(random: RandomSource, {hosts, endpoints}: SoakSize): Fault {
  const pick = (count: number) => Math.floor(random.next() * count);
  const host = pick(hosts);
  const endpoint = pick(endpoints);
  const mode = MODES[pick(MODES.length)] ?? 'reset';
  const range = LASTS_MILLISECONDS_MOST - LASTS_MILLISECONDS_LEAST;
  const lasts = LASTS_MILLISECONDS_LEAST + random.next() * range;
  const faults: readonly Fault[] = [
    {kind: 'kill', host},
    {kind: 'stop', host},
    {kind: 'reload', host},
    {kind: 'freeze', host, lasts},
    {kind: 'store-cut', host, mode, lasts},
    {kind: 'store-cut', host, mode, lasts},
    {kind: 'endpoint-cut', endpoint, mode, lasts},
    {kind: 'store-away', lasts},
    {kind: 'store-busy', lasts},
    {kind: 'store-loses', answers: 1 + pick(3)},
    {kind: 'store-forgets'},
    {kind: 'endpoint-leaves', endpoint},
    {kind: 'endpoint-crashes', endpoint},
    {kind: 'keys-change'},
  ];
  return faults[pick(faults.length)] ?? {kind: 'store-forgets'};
}
