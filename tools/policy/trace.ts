/** Who asks for what, and when: a seeded trace that every policy gets alike. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** One kind of request. */
export interface Load {
  readonly className: string;
  readonly tier: number;
  readonly teams: readonly string[];
  /** Requests a second. */
  readonly rate: number;
  /** Times the rate of the first team, where it sends more than the others. */
  readonly loud?: number;
  readonly repeatable: boolean;
  readonly cheapShare: number;
  /** Milliseconds. */
  readonly firstTokenTarget: number;
  readonly betweenTokensTarget: number;
  readonly queueBound: number;
}

/** A time in which a class sends more. */
export interface Burst {
  readonly className: string;
  readonly times: number;
  /** Milliseconds. */
  readonly from: number;
  readonly until: number;
}

/** One request of a trace. */
export interface Arrival {
  readonly at: number;
  readonly load: Load;
  readonly team: string;
  readonly host: number;
  readonly tokens: number;
}

const SCALE = 1_000_000;
const TOKENS_LEAST = 20;
const TOKENS_MOST = 140;

/** Mean tokens of a request. */
export const TOKENS_MEAN = (TOKENS_LEAST + TOKENS_MOST) / 2;

/** A trace with exponential gaps, in order of time. */
export function makeTrace(
  seed: number,
  loads: readonly Load[],
  bursts: readonly Burst[],
  duration: number,
  hosts: number,
): Arrival[] {
  const random = xoroshiro128plus(seed);
  const unit = () => uniformInt(random, 1, SCALE) / SCALE;
  const arrivals: Arrival[] = [];
  for (const load of loads) {
    for (const [index, team] of load.teams.entries()) {
      const times = index === 0 ? (load.loud ?? 1) : 1;
      const rate = (times * load.rate) / load.teams.length;
      for (let at = 0; at < duration;) {
        const burst = bursts.find(
          ({className, from, until}) =>
            className === load.className && at >= from && at < until,
        );
        at += (-Math.log(unit()) / (rate * (burst?.times ?? 1))) * 1_000;
        const host = uniformInt(random, 0, hosts - 1);
        const tokens = uniformInt(random, TOKENS_LEAST, TOKENS_MOST);
        arrivals.push({at, load, team, host, tokens});
      }
    }
  }
  return arrivals.sort((one, other) => one.at - other.at);
}
