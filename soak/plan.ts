/**
 * What a soak does wrong and when, from its seed alone. Faults come in series
 * and overlap; every fault ends before the calm at the end.
 */
import type {RandomSource} from '../source/random/index.js';
import type {ProxyMode} from './proxy.js';

/** One fault, or one step of planned work. */
export type Fault =
  | {readonly kind: 'kill' | 'stop' | 'reload'; readonly host: number}
  | {readonly kind: 'freeze'; readonly host: number; readonly lasts: number}
  | {
      readonly kind: 'store-cut';
      readonly host: number;
      readonly mode: ProxyMode;
      readonly lasts: number;
    }
  | {
      readonly kind: 'endpoint-cut';
      readonly endpoint: number;
      readonly mode: ProxyMode;
      readonly lasts: number;
    }
  | {
      readonly kind: 'store-away' | 'store-busy';
      readonly lasts: number;
    }
  | {readonly kind: 'store-loses'; readonly answers: number}
  | {readonly kind: 'store-forgets'}
  | {
      readonly kind: 'store-restored';
      /** Milliseconds of writing that are lost. */
      readonly age: number;
      /** Milliseconds for which the store is away. */
      readonly lasts: number;
      /** Milliseconds after which writers have written again what is lost. */
      readonly rewrittenAfter: number;
    }
  | {
      readonly kind: 'endpoint-leaves' | 'endpoint-crashes';
      readonly endpoint: number;
    }
  | {readonly kind: 'keys-change'}
  | {
      readonly kind: 'stop-twice';
      readonly host: number;
      /** Milliseconds from the first signal to the second. */
      readonly gap: number;
    }
  | {readonly kind: 'overload'; readonly lasts: number}
  /** A request on which endpoints crash comes again and again at all hosts. */
  | {readonly kind: 'deadly'; readonly lasts: number};

/** A fault with its time, in milliseconds from the start. */
export interface PlannedFault {
  readonly at: number;
  readonly fault: Fault;
}

/** How large the deployment is. */
export interface SoakSize {
  readonly hosts: number;
  readonly endpoints: number;
  /** Milliseconds of faults. */
  readonly lasts: number;
}

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
