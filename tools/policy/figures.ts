/** What came of a row, in figures. */
import type {ModelEngine} from './engines.js';
import type {Outcome} from './policy.js';

export interface Figures {
  /** Share of requests that met their class’s targets, by tier. */
  readonly attained: readonly number[];
  /** Share of the tokens asked for that callers got within their targets. */
  readonly goodput: number;
  /** Share of the generated tokens that no caller got. */
  readonly wasted: number;
  /** The worst team of the lowest class against the mean of its class. */
  readonly worstTeam: number;
  readonly coldMost: number;
  /** Share of the lowest class’s served tokens that ran on cheap engines. */
  readonly cheap: number;
  /** Requests that never came to an outcome; always zero. */
  readonly open: number;
  /** Higher tiers’ refusals for want of a place. */
  readonly refusedFirst: number;
}

function met({served, first, gap, arrival}: Outcome): boolean {
  const {firstTokenTarget, betweenTokensTarget} = arrival.load;
  return served && first <= firstTokenTarget && gap <= betweenTokensTarget;
}

function share(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

export function figuresOf(
  outcomes: readonly Outcome[],
  asked: number,
  engines: readonly ModelEngine[],
): Figures {
  const ofTier = (tier: number) =>
    outcomes.filter(({arrival}) => arrival.load.tier === tier);
  const wasted = sum(outcomes.map(outcome => outcome.wasted));
  const got = sum(outcomes.map(outcome => outcome.tokens));
  const lowest = ofTier(3).filter(({served}) => served);
  const perTeam = new Map<string, number>();
  for (const {arrival, tokens} of ofTier(3)) {
    perTeam.set(arrival.team, (perTeam.get(arrival.team) ?? 0) + tokens);
  }
  // The first team may ask for more than its share; the others ask for equal ones.
  const equal = [...perTeam]
    .filter(([team]) => !team.endsWith('-0'))
    .map(([, tokens]) => tokens);
  const refusedForPlace = new Set([
    'queue-timeout',
    'queue-full',
    'target-unreachable',
    'shed',
  ]);
  return {
    attained: [1, 2, 3].map(tier =>
      share(ofTier(tier).filter(met).length, ofTier(tier).length),
    ),
    goodput: share(
      sum(outcomes.filter(met).map(({tokens}) => tokens)),
      sum(outcomes.map(({arrival}) => arrival.tokens)),
    ),
    wasted: share(wasted, wasted + got),
    worstTeam: share(Math.min(...equal), sum(equal) / equal.length),
    coldMost: Math.max(...engines.map(engine => engine.coldMost)),
    cheap: share(
      sum(lowest.filter(({cheap}) => cheap).map(({tokens}) => tokens)),
      sum(lowest.map(({tokens}) => tokens)),
    ),
    open: asked - outcomes.length,
    refusedFirst: ofTier(1).filter(({refusal}) => refusedForPlace.has(refusal))
      .length,
  };
}
