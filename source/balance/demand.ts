/**
 * The demand of callers by service, in engine time: that of this host’s own
 * callers, which it measures, and that of the other hosts, which they report.
 * Scaling, the split of the engines by prompt size and the limit on a host’s
 * slots all depend on it.
 */
import type {Clock} from '../clock/index.js';
import type {ServiceRates} from '../servicerates/index.js';
import {
  addPrompt,
  NO_DEMAND,
  unbiasedDemand,
  type EngineDemand,
} from './partition.js';
import {
  estimateEngineMilliseconds,
  isLargePrompt,
  type Prompt,
} from './prompt.js';

/**
 * Recent demand on a service, as an exponentially decaying sum of milliseconds
 * of engine time, for large and for small prompts.
 */
export interface ServiceDemand {
  readonly service: string;
  readonly large: number;
  readonly small: number;
}

/** Miss rate of the prefix caches that is assumed before the first request. */
const INITIAL_MISS_RATE = 1;
/** Shared tokens sent after which an observed miss rate has half its weight. */
const MISS_RATE_HALF_LIFE_TOKENS = 60_000;

/**
 * Time after the first prompt of a service within which the other hosts’ reports
 * may be older than the demand: callers of all hosts tend to begin together.
 */
const REPORTS_EXPECTED_MILLISECONDS = 5_000;

/** The demand of all other hosts on a service, as they report it. */
interface OtherDemand extends ServiceDemand {
  /** How many hosts report some. */
  readonly hosts: number;
}

/** Tracks the demand of the callers of all hosts. */
export class DemandTracker {
  /**
   * By service: fraction of shared prompt tokens that engines had not cached.
   */
  private readonly missRates = new Map<string, number>();
  private readonly own = new Map<string, EngineDemand>();
  private others: ReadonlyMap<string, OtherDemand> = new Map();

  /** `rates` has the typical rates of the services where they are in use. */
  constructor(
    private readonly clock: Clock,
    private readonly rates?: ServiceRates,
  ) {}

  /** Adds a request of this host to a service whose engines have `slots`. */
  recordArrival(
    service: string,
    prompt: Prompt,
    slots: number,
    isLarge = isLargePrompt(prompt),
  ): void {
    const before = this.own.get(service) ?? NO_DEMAND;
    const now = this.clock.monotonic();
    const duration = estimateEngineMilliseconds(
      prompt,
      slots,
      this.missRate(service),
      this.rates?.typicalRate(service, now),
    );
    this.own.set(service, addPrompt(before, isLarge, duration, now));
  }

  /**
   * Records how many tokens of shared parts a sent request has, and how many of
   * them its engine has not cached. Engines that have just started have cached
   * nothing, so the same callers then cause several times the demand.
   */
  recordSend(
    service: string,
    sharedTokens: number,
    uncachedTokens: number,
  ): void {
    if (sharedTokens === 0) return;
    const before = this.missRate(service);
    const decay = 0.5 ** (sharedTokens / MISS_RATE_HALF_LIFE_TOKENS);
    const missRate = Math.min(uncachedTokens / sharedTokens, 1);
    this.missRates.set(service, before * decay + missRate * (1 - decay));
  }

  /** Replaces the demand that the other hosts report. */
  setReports(reports: readonly ServiceDemand[]): void {
    const others = new Map<string, OtherDemand>();
    for (const {service, large, small} of reports) {
      const sum = others.get(service);
      others.set(service, {
        service,
        large: (sum?.large ?? 0) + large,
        small: (sum?.small ?? 0) + small,
        hosts: (sum?.hosts ?? 0) + (large + small > 0 ? 1 : 0),
      });
    }
    this.others = others;
  }

  /**
   * Fraction of shared tokens that the service’s engines have to prefill again.
   */
  private missRate(service: string): number {
    return this.missRates.get(service) ?? INITIAL_MISS_RATE;
  }

  /** The demand of this host’s callers on each service, for the other hosts. */
  ownDemands(): ServiceDemand[] {
    return [...this.own.keys()].map(service => {
      const {large, small} = this.ownDemand(service);
      return {service, large: Math.round(large), small: Math.round(small)};
    });
  }

  /** The demand of this host’s callers on a service. */
  ownDemand(service: string): EngineDemand {
    const before = this.own.get(service) ?? NO_DEMAND;
    return unbiasedDemand(before, this.clock.monotonic());
  }

  /**
   * The demand of the callers of all hosts on a service. Shortly after its own
   * first prompt, this host takes hosts that have not reported any demand to have
   * as much as itself; `hosts` is the number of all, this one included.
   */
  fleetDemand(service: string, hosts = 1): EngineDemand {
    const own = this.ownDemand(service);
    const others = this.others.get(service);
    const isNew =
      this.clock.monotonic() - own.since < REPORTS_EXPECTED_MILLISECONDS;
    const silentHosts = Math.max(hosts - 1 - (others?.hosts ?? 0), 0);
    const ownShares = isNew ? 1 + silentHosts : 1;
    return {
      ...own,
      large: own.large * ownShares + (others?.large ?? 0),
      small: own.small * ownShares + (others?.small ?? 0),
    };
  }
}
