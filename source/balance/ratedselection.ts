/**
 * Chooses endpoints where it is known how fast each one serves requests. The
 * cost of an endpoint then follows from what it can do, its load is believed to
 * age towards what is usual there, and the choice is spread among the endpoints
 * that are about equally cheap.
 */
import {seededRandom, type RandomSource} from '../random/index.js';
import type {ServiceRates} from '../servicerates/index.js';
import {rankCostFor, type Candidate, type Choice} from './choose.js';
import type {DemandTracker} from './demand.js';
import type {EligibleSet} from './eligibleset.js';
import type {EndpointLoad} from './load.js';
import {Beliefs, type BelievedLoad} from './loadhistory.js';
import {busyEngineCount} from './partition.js';
import type {PauseRoom} from './pauseroom.js';
import type {Prompt} from './prompt.js';
import {engineEstimate, plainEstimate, type Estimate} from './ratedcost.js';
import {hashToUnitInterval} from './rendezvous.js';
import {chooseSpread} from './spread.js';

/** What choices are made with. */
export interface RatedSelectionOptions {
  /** Name of this host. */
  readonly host: string;
  readonly rates: ServiceRates;
  readonly demand: DemandTracker;
  readonly room: PauseRoom;
  /** How many hosts there are, this one included. */
  readonly hostCount: () => number;
  /** By default one that differs from host to host. */
  readonly random: RandomSource | undefined;
}

/** What a request asks for, as far as its cost at an endpoint depends on it. */
export interface RatedRequest {
  readonly service: string;
  /** Undefined for a request without a prompt. */
  readonly prompt: Prompt | undefined;
  /** Whether its prompt belongs to the engines for large ones. */
  readonly isLarge: boolean;
  readonly pauseTarget: number | undefined;
}

/** Requests that may have to wait, and the engines that they wait for. */
export interface WaitingGroup {
  /** Name of their service. */
  readonly pool: string;
  readonly tier: number;
  readonly engines: EligibleSet;
  /** Whether an engine, by its index, is set aside for large prompts. */
  readonly isForLarge: (index: number) => boolean;
  /** What is known of the load of an endpoint, by its id. */
  readonly loadOf: (id: string) => EndpointLoad;
}

/** The load that an endpoint is believed to have, by its id. */
type LoadAt = (id: string, load: EndpointLoad) => BelievedLoad;

/**
 * Mean age of a host’s reports for each host of the fleet: half of the time by
 * which the period of the pulses grows with it.
 */
const REPORT_AGE_MILLISECONDS_PER_HOST = 20;
/** Mean age of reports in a fleet of two hosts. */
const MIN_REPORT_AGE_MILLISECONDS = 100;
/** Age at which half of an engine’s requests are expected to have changed. */
const ENGINE_HALF_LIFE_MILLISECONDS = 1_000;
/**
 * Difference in believed cost among which a choice is spread. Below 50 ms hosts
 * still choose the same engines at 61 and 200 hosts; at 80 ms waits are shorter
 * than with any lower bound (docs/design/even-load.md). It is less than the cost
 * of a place in the order for cached parts, so those are still found.
 */
const MAX_SPREAD_MILLISECONDS = 80;
const SEED_RANGE = 2 ** 31;

/** Chooses endpoints of services whose rates are known. */
export class RatedSelection {
  private readonly random: RandomSource;

  constructor(private readonly options: RatedSelectionOptions) {
    const seed = Math.floor(hashToUnitInterval(options.host) * SEED_RANGE);
    this.random = options.random ?? seededRandom(seed);
  }

  /**
   * Whether a request should wait for the sake of more urgent streams, until
   * prefill that is queued at the engines has ended.
   */
  mustWait(
    {pool, tier, engines, isForLarge, loadOf}: WaitingGroup,
    now: number,
  ): boolean {
    const beliefs = this.engineBeliefs(now);
    const loadAt = (id: string) => {
      const load = loadOf(id);
      const believed = beliefs.of(load);
      const otherRequests = believed.requests - load.ownRequests;
      return {...believed, otherRequests};
    };
    const request = {service: pool, tier, engines, isForLarge, loadAt};
    return this.options.room.mustWait(request, now);
  }

  /** Returns the requests that an endpoint of a service is believed to have. */
  requestsAt(
    isEngine: boolean,
    now: number,
  ): (id: string, load: EndpointLoad) => number {
    if (!isEngine) {
      const loadAt = this.plainLoads(now);
      return (id, load) => loadAt(id, load).requests;
    }
    const beliefs = this.engineBeliefs(now);
    return (_id, load) => beliefs.of(load).requests;
  }

  /**
   * Chooses the endpoint for a request; undefined if there are no candidates.
   * Deterministic for one state of the random source.
   *
   * ```ts
   * const choice = selection.choose(candidates, {service, prompt}, now);
   * ```
   */
  choose(
    candidates: readonly Candidate[],
    request: RatedRequest,
    now: number,
  ): Choice | undefined {
    const {service, prompt} = request;
    const count = candidates.length;
    const costs = new Float64Array(count);
    const speeds = new Float64Array(count);
    const estimates: Estimate[] = [];
    const estimateAt = this.estimator(prompt, now);
    const placeCostAt = this.placeCostFor(request, now);
    for (const candidate of candidates) {
      const estimate = estimateAt(candidate);
      const index = estimates.push(estimate) - 1;
      costs[index] = estimate.cost + placeCostAt(candidate, estimate);
      speeds[index] = estimate.speed;
    }
    const index = chooseSpread(
      {
        costs,
        speeds,
        expectedWork: this.expectedWork(service, prompt),
        maxDifference: MAX_SPREAD_MILLISECONDS,
      },
      this.random,
    );
    const chosen = candidates[index];
    const estimate = estimates[index];
    if (!chosen || !estimate) return undefined;
    return {
      id: chosen.id,
      cost: costs[index] ?? estimate.cost,
      prefillMilliseconds: estimate.prefill,
      waitMilliseconds: estimate.wait,
      expectedRequests: estimate.load.requests,
    };
  }

  /** Returns what the request would find at a candidate. */
  private estimator(
    prompt: Prompt | undefined,
    now: number,
  ): (candidate: Candidate) => Estimate {
    const {rates} = this.options;
    if (!prompt) {
      const loadAt = this.plainLoads(now);
      return candidate => {
        const {id, load} = candidate;
        const rate = rates.rateOf(id, now);
        return plainEstimate(candidate, rate, loadAt(id, load));
      };
    }
    const beliefs = this.engineBeliefs(now);
    return candidate => {
      const rate = rates.rateOf(candidate.id, now);
      return engineEstimate(
        candidate,
        prompt,
        rate,
        beliefs.of(candidate.load),
      );
    };
  }

  /**
   * Returns what it costs to run a prompt away from where its shared parts are,
   * or beside streams that it delays.
   */
  private placeCostFor(
    request: RatedRequest,
    now: number,
  ): (candidate: Candidate, estimate: Estimate) => number {
    const {prompt} = request;
    if (!prompt) return () => 0;
    const rankCostAt = rankCostFor(prompt);
    const pauseCostAt = this.options.room.costFor(request, now);
    return (candidate, estimate) =>
      rankCostAt(candidate) + pauseCostAt(candidate, estimate);
  }

  /**
   * Milliseconds of work that the other hosts have likely sent since their
   * reports. Without prompts there is no measure of it; it is taken to be
   * unbounded where there are other hosts.
   */
  private expectedWork(service: string, prompt: Prompt | undefined): number {
    const {demand, hostCount} = this.options;
    const hosts = hostCount();
    if (hosts < 2) return 0;
    if (!prompt) return Infinity;
    const fleet = demand.fleetDemand(service, hosts);
    const others =
      busyEngineCount(fleet) - busyEngineCount(demand.ownDemand(service));
    return Math.max(others, 0) * this.reportAge();
  }

  /** Mean age of what the other hosts report, in milliseconds. */
  private reportAge(): number {
    return Math.max(
      this.options.hostCount() * REPORT_AGE_MILLISECONDS_PER_HOST,
      MIN_REPORT_AGE_MILLISECONDS,
    );
  }

  private engineBeliefs(now: number): Beliefs {
    const halfLife = ENGINE_HALF_LIFE_MILLISECONDS;
    return new Beliefs({reportAge: this.reportAge(), halfLife}, now);
  }

  /**
   * The loads of endpoints without prompts. Requests there end so soon that what
   * is known of a load is worth little after the time of one request.
   */
  private plainLoads(now: number): LoadAt {
    const {rates} = this.options;
    const reportAge = this.reportAge();
    return (id, load) => {
      const halfLife = rates.rateOf(id, now).plainMilliseconds;
      return new Beliefs({reportAge, halfLife}, now).of(load);
    };
  }
}
